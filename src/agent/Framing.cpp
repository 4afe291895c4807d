#include "agent/Framing.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace pollenwick::agent {
namespace {

bool isLength(std::string_view Text) {
  return !Text.empty() && std::ranges::all_of(Text, [](char Digit) {
    return Digit >= '0' && Digit <= '9';
  });
}

/// Checks the codings of all `Transfer-Encoding` lines, in their order.
Framing checkCodings(const HeaderFields &Headers) {
  bool LastIsChunked = false;
  bool HasOther = false;
  const auto Lines = Headers.equal_range(http::field::transfer_encoding);
  for (auto Line = Lines.first; Line != Lines.second; ++Line) {
    const absl::string_view Value(Line->value().data(), Line->value().size());
    for (absl::string_view Coding : absl::StrSplit(Value, ',')) {
      // Only spaces and tabs are optional white space.
      while (absl::ConsumePrefix(&Coding, " ") ||
             absl::ConsumePrefix(&Coding, "\t"))
        ;
      while (absl::ConsumeSuffix(&Coding, " ") ||
             absl::ConsumeSuffix(&Coding, "\t"))
        ;
      // A body is chunked at most once, and nothing follows that.
      if (Coding.empty() || LastIsChunked)
        return Framing::Malformed;
      LastIsChunked = absl::EqualsIgnoreCase(Coding, "chunked");
      HasOther |= !LastIsChunked;
    }
  }
  if (!LastIsChunked)
    return Framing::Malformed;
  return HasOther ? Framing::UnknownCoding : Framing::Valid;
}

} // namespace

Framing checkFraming(const HeaderFields &Headers, unsigned HttpVersion) {
  const std::size_t Lengths = Headers.count(http::field::content_length);
  if (Headers.count(http::field::transfer_encoding) > 0)
    // HTTP/1.0 has no transfer codings, so programs differ in what they see.
    return Lengths > 0 || HttpVersion < Http11 ? Framing::Malformed
                                               : checkCodings(Headers);
  if (Lengths == 0)
    return Framing::Valid;
  return Lengths == 1 && isLength(headerValue(Headers, "Content-Length"))
             ? Framing::Valid
             : Framing::Malformed;
}

std::optional<std::uint64_t> contentLength(const HeaderFields &Headers) {
  const std::string_view Text = headerValue(Headers, "Content-Length");
  std::uint64_t Length = 0;
  if (Headers.count(http::field::content_length) != 1 || !isLength(Text) ||
      std::from_chars(Text.data(), Text.data() + Text.size(), Length).ec !=
          std::errc{})
    return std::nullopt;
  return Length;
}

bool isBodiless(unsigned Status) {
  return Status < 200 || Status == 204 || Status == 304;
}

} // namespace pollenwick::agent
