#include "core/serverlimit/ServerNotice.h"

#include <charconv>

namespace pollenwick {
namespace {

/// Parses a decimal number without a sign or an exponent.
std::optional<double> parseRate(std::string_view Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] =
      std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
  // `from_chars` also accepts a minus sign, "inf" and "nan". These fail the
  // comparison, but for "-0".
  const bool Readable = Error == std::errc{} && Rest == End &&
                        Text.front() != '-' && Value >= 0 &&
                        Value <= MaxNamedRequestsPerS;
  return Readable ? std::optional<double>(Value) : std::nullopt;
}

} // namespace

ServerNotice parseServerNotice(std::string_view Limit,
                               std::string_view Leaving) {
  ServerNotice Notice;
  Notice.RequestsPerS = parseRate(Limit);
  Notice.LimitUnreadable = !Limit.empty() && !Notice.RequestsPerS;
  Notice.Leaving = Leaving == "1";
  return Notice;
}

} // namespace pollenwick
