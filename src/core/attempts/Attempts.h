#ifndef POLLENWICK_CORE_ATTEMPTS_ATTEMPTS_H
#define POLLENWICK_CORE_ATTEMPTS_ATTEMPTS_H

#include <cstdint>

#include "pollenwick/Time.h"

namespace pollenwick {

/// How a call to one backend server ended.
enum class CallOutcome : std::uint8_t {
  Complete, ///< The server's whole answer.
  NotRun,   ///< The call has not run and will not run.
  Unknown,  ///< The call may have run.
};

/// What is known of the attempts of one request so far.
struct AttemptHistory {
  std::uint32_t Placements = 0; ///< Calls that were sent to a node.
  std::uint32_t Arrivals = 0;   ///< Servers that may have received it.
  bool MayHaveRun = false;
};

/// What the route and the caller allow.
struct AttemptLimits {
  bool Repeatable = false;
  std::uint32_t MaxArrivals = 1;
  Instant Deadline;
};

struct AttemptResult {
  CallOutcome Outcome = CallOutcome::Unknown;
  bool ReachedServer = false; ///< The server received it, and may have refused.
  bool ServerFailed = false;  ///< Complete, but a failure that may pass.
  bool NotEnoughTime = false; ///< Not run since its time would not suffice.
};

enum class NextStep : std::uint8_t {
  ReturnAnswer, ///< Pass the server's answer on.
  PlaceAgain,   ///< Another server; no arrival is repeated.
  Retry,        ///< Another server, if the fleet's retry budget allows it.
  Fail,         ///< A final answer of our own, see `canReportNotRun`.
};

/// Takes the result of the last attempt in.
void recordAttempt(AttemptHistory &History, const AttemptResult &Result);

/// Decides what follows the last attempt. A request that may not be repeated
/// is never sent again after it may have run.
NextStep nextStep(const AttemptHistory &History, const AttemptLimits &Limits,
                  const AttemptResult &Last, Instant Now);

/// What follows when the budget denies a repeat.
NextStep stepWithoutBudget(const AttemptResult &Last);

/// Whether a final answer may say that the request has not run.
bool canReportNotRun(const AttemptHistory &History);

} // namespace pollenwick

#endif
