#ifndef POLLENWICK_AGENT_CALL_H
#define POLLENWICK_AGENT_CALL_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "agent/SharedBytes.h"
#include "core/attempts/Attempts.h"
#include "core/pace/ServerReport.h"
#include "core/placement/Placement.h"
#include "core/serverlimit/ServerNotice.h"
#include "pollenwick/Time.h"

namespace pollenwick::agent {

/// A request that is sent to one backend server.
struct CallRequest {
  std::string RequestId;
  std::string ServerId;
  std::string Route;
  Instant Deadline;
  Duration LatencyTarget{};
  int Rank = 0;           ///< Dispatch rank; 0 is the most important.
  bool Nested = false;    ///< Made by a server while it serves another request.
  bool Retryable = false; ///< Running the call more than once is safe.
  bool Redispatched = false; ///< Another node has already refused the call.
  /// Requests per second that the server takes, as far as the node of the
  /// caller has heard; 0: it knows of no limit.
  double ServerRequestsPerS = 0;
  std::uint64_t Fingerprint = 0; ///< Hash of the method, target and body.
  std::string Method;
  std::string Target;
  std::string Headers; ///< Header lines except framing and deadline.
  SharedBytes Body;
};

/// Result of one attempt to run a call on a backend server.
struct CallResult {
  CallOutcome Outcome = CallOutcome::Unknown;
  int Status = 0;    ///< HTTP status of the server; 0 without an answer.
  std::string Cause; ///< Why the call failed; empty when it is complete.
  std::string Headers;
  SharedBytes Body;
  /// Length of the body that a server has not sent, see `CallerResponse`.
  std::optional<std::uint64_t> UnsentLength;
  /// True when the request may have reached the server, even if it refused it.
  bool ReachedServer = false;
  ServerLoad Load;
  ServerReport Report; ///< Load on the server's answer; not sent to peers.
  /// Unset unless the server called has answered; not sent to peers.
  std::optional<ServerNotice> Notice;
};

/// Cause of a call, and reason of an answer, that a planned stop ended.
inline constexpr const char *NodeStoppingCause = "node-stopping";

/// Time after which a caller may come back that a stopping node has refused.
/// Another node serves it on its next connection.
inline constexpr Duration RetryAfterStop = std::chrono::milliseconds(100);

using CallResultHandler = std::function<void(CallResult &&)>;

/// Receives the notice that the node of a call's server is silent. The call may
/// be running, and its result may still arrive.
using SilenceHandler = std::function<void()>;

} // namespace pollenwick::agent

#endif
