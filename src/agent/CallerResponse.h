#ifndef POLLENWICK_AGENT_CALLERRESPONSE_H
#define POLLENWICK_AGENT_CALLERRESPONSE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "agent/SharedBytes.h"

namespace pollenwick::agent {

/// A response to a caller without what frames it on its connection: that
/// depends on the request and on the other requests there.
struct CallerResponse {
  int Status = 200;
  /// Header lines, each ended by CR LF, without `Connection` and those that
  /// frame the body.
  std::string Headers;
  SharedBytes Body;
  /// Length of the body that is not sent, in an answer to HEAD or with the
  /// status 304; unset if it is not known.
  std::optional<std::uint64_t> UnsentLength;
};

/// What a request and its connection say of the framing of the response.
struct ResponseFraming {
  bool ToHead = false;          ///< The request has the method HEAD.
  bool CloseAfterwards = false; ///< The connection closes after the response.
  bool ToHttp10 = false;        ///< The caller speaks HTTP/1.0.
};

/// Returns whether the response has a body on the wire (RFC 9112, 6.3).
bool sendsBody(const CallerResponse &Response, const ResponseFraming &Framing);

/// Returns the head of the response, up to the empty line.
std::string responseHead(const CallerResponse &Response,
                         const ResponseFraming &Framing);

/// Returns a response that the agent itself generates, with `Cause` in a JSON
/// body. Each line of `ExtraHeaders` ends with CR LF.
CallerResponse makeLocalReply(int Status, std::string_view Cause,
                              std::string_view ExtraHeaders = {});

} // namespace pollenwick::agent

#endif
