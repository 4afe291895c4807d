#ifndef POLLENWICK_AGENT_HTTPMESSAGE_H
#define POLLENWICK_AGENT_HTTPMESSAGE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace pollenwick::agent {

namespace http = boost::beast::http;

using RequestParser = http::request_parser<http::string_body>;
using ResponseParser = http::response_parser<http::string_body>;
using ResponseMessage = http::response<http::string_body>;
using HeaderFields = http::fields;

/// Whether a header concerns one connection only and is never passed on.
bool isListedInConnectionHeader(const HeaderFields &Headers,
                                std::string_view Name);

/// The header lines to pass on, each ended by CR LF: all but those that
/// concern one connection, the framing of the body and those in `DroppedNames`.
std::string forwardedHeaders(const HeaderFields &Headers,
                             const std::vector<std::string> &DroppedNames);

std::string_view headerValue(const HeaderFields &Headers,
                             std::string_view Name);

/// A header value that is a whole number; empty if it is none.
std::optional<std::int64_t> parseInteger(std::string_view Text);

/// Idle time in seconds that a `Keep-Alive` header grants.
std::optional<std::int64_t>
keepAliveTimeoutSeconds(const HeaderFields &Headers);

/// A status line and headers of an answer of our own, with a JSON body.
std::string makeLocalReply(int Status, std::string_view Cause,
                           std::string_view ExtraHeaders, bool KeepAlive);

std::string_view reasonPhrase(int Status);

inline bool isServerError(int Status) { return Status >= 500; }

} // namespace pollenwick::agent

#endif
