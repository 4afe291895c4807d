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

/// Returns whether the `Connection` header lists `Name`. Such a header applies
/// to one connection only and is not forwarded.
bool isListedInConnectionHeader(const HeaderFields &Headers,
                                std::string_view Name);

/// Returns the header lines to forward, each terminated by CR LF. Leaves out
/// hop-by-hop headers, body framing headers and those in `DroppedNames`.
std::string forwardedHeaders(const HeaderFields &Headers,
                             const std::vector<std::string> &DroppedNames);

/// Returns the value of a header; empty when it is absent.
std::string_view headerValue(const HeaderFields &Headers,
                             std::string_view Name);

/// Parses a decimal integer. Returns no value when `Text` is anything else.
std::optional<std::int64_t> parseInteger(std::string_view Text);

/// Returns the idle timeout in seconds from the `Keep-Alive` header; no value
/// when the header or its timeout is missing or invalid.
std::optional<std::int64_t>
keepAliveTimeoutSeconds(const HeaderFields &Headers);

/// Returns a complete HTTP response that the agent itself generates, with
/// `Cause` in a JSON body. Each line of `ExtraHeaders` ends with CR LF.
std::string makeLocalReply(int Status, std::string_view Cause,
                           std::string_view ExtraHeaders, bool KeepAlive);

std::string_view reasonPhrase(int Status);

inline bool isServerError(int Status) { return Status >= 500; }

} // namespace pollenwick::agent

#endif
