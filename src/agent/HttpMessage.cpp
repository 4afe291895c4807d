#include "agent/HttpMessage.h"

#include <algorithm>
#include <charconv>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include "absl/strings/str_format.h"
#include "agent/StringUtil.h"

namespace pollenwick::agent {
namespace {

std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Longer idle timeouts make no difference. It keeps sums of times in range.
constexpr std::int64_t MaxKeepAliveSeconds = 86'400;

bool isFramingHeader(http::field Name) {
  return Name == http::field::content_length ||
         Name == http::field::transfer_encoding;
}

bool isHopByHopHeader(http::field Name) {
  return Name == http::field::connection || Name == http::field::keep_alive ||
         Name == http::field::proxy_connection || Name == http::field::te ||
         Name == http::field::trailer || Name == http::field::upgrade ||
         Name == http::field::expect;
}

} // namespace

bool isListedInConnectionHeader(const HeaderFields &Headers,
                                std::string_view Name) {
  const auto Lines = Headers.equal_range(http::field::connection);
  return std::any_of(Lines.first, Lines.second, [Name](const auto &Line) {
    return http::token_list(Line.value())
        .exists(boost::beast::string_view(Name.data(), Name.size()));
  });
}

std::string forwardedHeaders(const HeaderFields &Headers,
                             const std::vector<std::string> &DroppedNames) {
  std::string Result;
  Result.reserve(512);
  for (const auto &Field : Headers) {
    if (isFramingHeader(Field.name()) || isHopByHopHeader(Field.name()))
      continue;
    const std::string_view Name = view(Field.name_string());
    if (std::ranges::any_of(DroppedNames, [Name](
                                              const std::string &DroppedName) {
          return boost::beast::iequals(
              boost::beast::string_view(DroppedName.data(), DroppedName.size()),
              boost::beast::string_view(Name.data(), Name.size()));
        }))
      continue;
    if (isListedInConnectionHeader(Headers, Name))
      continue;
    Result.append(Name).append(": ").append(view(Field.value())).append("\r\n");
  }
  return Result;
}

std::string_view headerValue(const HeaderFields &Headers,
                             std::string_view Name) {
  return view(Headers[boost::beast::string_view(Name.data(), Name.size())]);
}

std::string_view firstHeaderValue(const HeaderFields &Headers,
                                  const std::vector<std::string> &Names) {
  for (const std::string &Name : Names)
    if (const std::string_view Value = headerValue(Headers, Name);
        !Value.empty())
      return Value;
  return {};
}

std::optional<std::int64_t> parseInteger(std::string_view Text) {
  std::int64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::optional<std::int64_t>
keepAliveTimeoutSeconds(const HeaderFields &Headers) {
  const std::string_view Value = view(Headers[http::field::keep_alive]);
  constexpr std::string_view TimeoutParameter = "timeout=";
  const std::size_t At = Value.find(TimeoutParameter);
  if (At == std::string_view::npos)
    return std::nullopt;
  const std::string_view TimeoutText =
      Value.substr(At + TimeoutParameter.size());
  const auto Seconds = parseInteger(
      TimeoutText.substr(0, TimeoutText.find_first_not_of("0123456789")));
  return Seconds ? std::optional(std::min(*Seconds, MaxKeepAliveSeconds))
                 : std::nullopt;
}

std::string retryAfterHeader(Duration Time) {
  return absl::StrFormat("Retry-After: %.2f\r\n",
                         static_cast<double>(Time.count()) / 1e6);
}

std::string_view reasonPhrase(int Status) {
  return view(http::obsolete_reason(
      http::int_to_status(static_cast<unsigned>(Status))));
}

} // namespace pollenwick::agent
