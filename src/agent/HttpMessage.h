#ifndef POLLENWICK_AGENT_HTTPMESSAGE_H
#define POLLENWICK_AGENT_HTTPMESSAGE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include "agent/MessageBody.h"
#include "pollenwick/Time.h"

namespace pollenwick::agent {

namespace http = boost::beast::http;

using RequestParser = http::request_parser<MessageBody>;
using ResponseParser = http::response_parser<MessageBody>;
using ResponseMessage = http::response<MessageBody>;
using HeaderFields = http::fields;

/// HTTP/1.1 as Boost.Beast encodes versions.
inline constexpr unsigned Http11 = 11;

/// A parser of a message that arrives in pieces.
template <typename MessageParser>
class IncrementalParser : public MessageParser {
public:
  IncrementalParser() { this->eager(true); }

  /// Parses as many of `Bytes` as possible and returns their number. `Bytes`
  /// begin with those that the previous call left. Sets `Error` if the message
  /// is malformed or exceeds a limit, and clears it otherwise.
  std::size_t parse(std::string_view Bytes, boost::system::error_code &Error) {
    Error = {};
    if (Bytes.size() <= UnparsedSize)
      return 0;
    // Boost.Beast asserts that, once it has seen the length of the last chunk,
    // it is called again with at least the two line ends that follow.
    if (UnparsedSize > 0 && this->is_header_done() &&
        Bytes.size() < MinLastChunkBytes)
      return 0;
    const std::size_t Parsed =
        this->put(boost::asio::const_buffer(Bytes.data(), Bytes.size()), Error);
    if (Error == http::error::need_more)
      Error = {};
    UnparsedSize = Bytes.size() - Parsed;
    return Parsed;
  }

private:
  /// Size of "0\r\n\r\n".
  static constexpr std::size_t MinLastChunkBytes = 5;

  std::size_t UnparsedSize = 0; ///< Bytes that the previous call left.
};

/// Returns whether one of the `Connection` lines lists `Name`. Such a header
/// applies to one connection only and is not forwarded.
bool isListedInConnectionHeader(const HeaderFields &Headers,
                                std::string_view Name);

/// Returns the header lines to forward, each terminated by CR LF. Leaves out
/// hop-by-hop headers, body framing headers and those in `DroppedNames`.
std::string forwardedHeaders(const HeaderFields &Headers,
                             const std::vector<std::string> &DroppedNames);

/// Returns the value of a header; empty when it is absent.
std::string_view headerValue(const HeaderFields &Headers,
                             std::string_view Name);

/// Returns the value of the first of the headers that is present; empty if none
/// is.
std::string_view firstHeaderValue(const HeaderFields &Headers,
                                  const std::vector<std::string> &Names);

/// Parses a decimal integer. Returns no value when `Text` is anything else.
std::optional<std::int64_t> parseInteger(std::string_view Text);

/// Returns the idle timeout in seconds from the `Keep-Alive` header, from 0 to
/// one day; no value when the header or its timeout is missing or invalid.
std::optional<std::int64_t>
keepAliveTimeoutSeconds(const HeaderFields &Headers);

/// Returns a `Retry-After` header line for a time in hundredths of seconds.
std::string retryAfterHeader(Duration Time);

std::string_view reasonPhrase(int Status);

/// Returns whether a response with this status comes before the answer. 101
/// would end HTTP on the connection, which no request asks for.
inline bool isInterimStatus(unsigned Status) {
  return Status >= 100 && Status < 200 && Status != 101;
}

/// Returns whether an answer may have this status (RFC 9110, 15).
inline bool isFinalStatus(unsigned Status) {
  return Status >= 200 && Status < 600;
}

inline bool isServerError(int Status) { return Status >= 500; }

} // namespace pollenwick::agent

#endif
