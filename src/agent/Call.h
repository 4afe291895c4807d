#ifndef POLLENWICK_AGENT_CALL_H
#define POLLENWICK_AGENT_CALL_H

#include <cstdint>
#include <functional>
#include <string>

#include "core/attempts/Attempts.h"
#include "core/placement/Placement.h"
#include "pollenwick/Time.h"

namespace pollenwick::agent {

/// A request on its way to one backend server.
struct CallRequest {
  std::string RequestId;
  std::string ServerId;
  std::string Route;
  Instant Deadline;
  Duration LatencyTarget{};
  int Rank = 0;
  bool Nested = false;
  bool Retryable = false;
  bool Redispatched = false; ///< Another node has refused the call before.
  std::uint64_t Fingerprint = 0;
  std::string Method;
  std::string Target;
  std::string Headers; ///< Header lines without framing and deadline.
  std::string Body;
};

struct CallResult {
  CallOutcome Outcome = CallOutcome::Unknown;
  int Status = 0; ///< Of the server; 0 when it gave none.
  std::string Cause;
  std::string Headers;
  std::string Body;
  /// The request reached the server, which may have refused it.
  bool ReachedServer = false;
  ServerLoad Load;
};

using CallResultHandler = std::function<void(CallResult &&)>;

} // namespace pollenwick::agent

#endif
