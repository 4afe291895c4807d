#ifndef POLLENWICK_CORE_ATTEMPTS_ATTEMPTS_H
#define POLLENWICK_CORE_ATTEMPTS_ATTEMPTS_H

#include <cstdint>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Result of a call to one backend server.
enum class CallOutcome : std::uint8_t {
  Complete, ///< The complete answer of the server has arrived.
  NotRun,   ///< The call has not run and will never run.
  Unknown,  ///< The call may have run.
};

/// Summary of the attempts made so far for one request.
struct AttemptHistory {
  std::uint32_t Placements = 0; ///< Number of calls sent to nodes.
  /// Number of servers that may have received a call.
  std::uint32_t Arrivals = 0;
  bool MayHaveRun = false; ///< Whether any attempt may have run.
};

/// Limits on the attempts of one request, set by its route and its caller.
struct AttemptLimits {
  bool Repeatable = false; ///< Whether the request may run more than once.
  std::uint32_t MaxArrivals = 1; ///< Greatest number of arrivals at servers.
  Instant Deadline;
};

/// Result of one attempt.
struct AttemptResult {
  CallOutcome Outcome = CallOutcome::Unknown;
  /// The server received the call; it may have refused it.
  bool ReachedServer = false;
  bool ServerFailed = false; ///< The answer is complete but reports a failure
                             ///< that may be temporary.
  /// Not run because the remaining time is too short.
  bool NotEnoughTime = false;
};

/// Action that follows an attempt.
enum class NextStep : std::uint8_t {
  ReturnAnswer, ///< Return the server's answer to the caller.
  PlaceAgain,   ///< Send to another server; no server received the last call.
  Retry, ///< Send to another server if the fleet's retry budget allows it.
  Fail,  ///< Return a final error of this node, see `canReportNotRun`.
};

/// Adds the result of the last attempt to the history.
void recordAttempt(AttemptHistory &History, const AttemptResult &Result);

/// Decides what follows the last attempt, whose result `History` must already
/// include. A request that is not repeatable is never sent again once it may
/// have run.
NextStep nextStep(const AttemptHistory &History, const AttemptLimits &Limits,
                  const AttemptResult &Last, Instant Now);

/// Decides what follows the last attempt if no further attempt is allowed, for
/// instance because the retry budget denies it.
NextStep stepWithoutBudget(const AttemptResult &Last);

/// Returns whether a request may also be sent to another server while the node
/// of the server that has its call is silent. The call is left to run.
bool mayAttemptBeside(const AttemptHistory &History,
                      const AttemptLimits &Limits, Instant Now);

/// Returns whether the final answer may state that the request has not run.
bool canReportNotRun(const AttemptHistory &History);

} // namespace pollenwick

#endif
