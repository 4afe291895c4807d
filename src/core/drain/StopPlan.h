#ifndef POLLENWICK_CORE_DRAIN_STOPPLAN_H
#define POLLENWICK_CORE_DRAIN_STOPPLAN_H

#include <optional>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Steps of a planned stop, in the order of time. All follow from the time that
/// the platform grants, so that the last one precedes the forced exit.
struct StopPlan {
  /// New connections are accepted until here, and longer while the backend
  /// server of this host runs requests, whose calls come through this node.
  Instant ListenUntil;
  /// Latest deadline of a call that is taken or placed. Calls that still wait
  /// then are given up.
  Instant CallDeadline;
  /// Requests that are still unanswered get a final answer.
  Instant AnswerBy;
  /// The process ends, whatever is left.
  Instant ExitBy;
};

/// Returns the plan of a stop that was requested at `Requested` and is forced
/// `Grace` later.
StopPlan planStop(Instant Requested, Duration Grace);

/// Returns `Deadline`, or the latest one that a planned stop leaves.
Instant limitDeadline(const std::optional<StopPlan> &Stop, Instant Deadline);

/// Returns whether a call that begins now and usually takes `UsualTime` is
/// expected to end before calls are given up. A call of unknown length (zero)
/// counts as short.
bool mayEndBeforeStop(const StopPlan &Stop, Duration UsualTime, Instant Now);

} // namespace pollenwick

#endif
