#include "agent/HttpMessage.h"

#include <algorithm>
#include <charconv>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include "agent/Text.h"

namespace pollenwick::agent {
namespace {

std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

bool isFramingHeader(http::field Name) {
  return Name == http::field::content_length ||
         Name == http::field::transfer_encoding;
}

bool isConnectionHeader(http::field Name) {
  return Name == http::field::connection || Name == http::field::keep_alive ||
         Name == http::field::proxy_connection || Name == http::field::te ||
         Name == http::field::trailer || Name == http::field::upgrade ||
         Name == http::field::expect;
}

} // namespace

bool isHopHeader(const HeaderFields &All, std::string_view Name) {
  const auto Connection = All[http::field::connection];
  return !Connection.empty() &&
         http::token_list(Connection)
             .exists(boost::beast::string_view(Name.data(), Name.size()));
}

std::string forwardedHeaders(const HeaderFields &All,
                             const std::vector<std::string> &Dropped) {
  std::string Result;
  Result.reserve(512);
  for (const auto &Field : All) {
    if (isFramingHeader(Field.name()) || isConnectionHeader(Field.name()))
      continue;
    const std::string_view Name = view(Field.name_string());
    if (std::ranges::any_of(Dropped, [Name](const std::string &Own) {
          return boost::beast::iequals(
              boost::beast::string_view(Own.data(), Own.size()),
              boost::beast::string_view(Name.data(), Name.size()));
        }))
      continue;
    if (isHopHeader(All, Name))
      continue;
    Result.append(Name).append(": ").append(view(Field.value())).append("\r\n");
  }
  return Result;
}

std::string_view headerValue(const HeaderFields &All, std::string_view Name) {
  return view(All[boost::beast::string_view(Name.data(), Name.size())]);
}

std::optional<std::int64_t> parseNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::optional<std::int64_t> keepAliveSeconds(const HeaderFields &All) {
  const std::string_view Value = view(All[http::field::keep_alive]);
  constexpr std::string_view Word = "timeout=";
  const std::size_t At = Value.find(Word);
  if (At == std::string_view::npos)
    return std::nullopt;
  const std::string_view Rest = Value.substr(At + Word.size());
  return parseNumber(Rest.substr(0, Rest.find_first_not_of("0123456789")));
}

std::string_view reasonPhrase(int Status) {
  return view(http::obsolete_reason(
      http::int_to_status(static_cast<unsigned>(Status))));
}

std::string ownAnswer(int Status, std::string_view Cause,
                      std::string_view ExtraHeaders, bool KeepAlive) {
  const std::string Body = concat("{\"error\":\"", Cause, "\"}");
  return concat("HTTP/1.1 ", Status, " ", reasonPhrase(Status),
                "\r\nContent-Type: application/json\r\n", ExtraHeaders,
                KeepAlive ? "" : "Connection: close\r\n",
                "Content-Length: ", Body.size(), "\r\n\r\n", Body);
}

} // namespace pollenwick::agent
