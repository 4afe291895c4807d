#include "core/drain/StopPlan.h"

#include <algorithm>

namespace pollenwick {
namespace {

/// Callers notice a stop within two readiness checks of one second each.
constexpr Duration ListenTime = std::chrono::milliseconds(2600);
/// Time to write the last log lines and to end the process.
constexpr Duration ExitTime = std::chrono::milliseconds(300);
/// Time to send the final answers.
constexpr Duration FlushTime = std::chrono::milliseconds(100);
/// Time in which servers report that a deadline has passed, and peers which
/// calls they have not begun.
constexpr Duration GiveUpTime = std::chrono::milliseconds(200);
/// Largest part of the grace period for each of these steps, so that a short
/// one is not spent on them alone.
constexpr int StepsPerGrace = 10;
/// Largest part of the time for calls in which connections are accepted, in
/// quarters.
constexpr int ListenQuarters = 3;

} // namespace

StopPlan planStop(Instant Requested, Duration Grace) {
  const Duration LongestStep = Grace / StepsPerGrace;
  StopPlan Plan;
  Plan.ExitBy = Requested + Grace - std::min(ExitTime, LongestStep);
  Plan.AnswerBy = Plan.ExitBy - std::min(FlushTime, LongestStep);
  Plan.CallDeadline = Plan.AnswerBy - std::min(GiveUpTime, LongestStep);
  Plan.ListenUntil =
      Requested + std::min(ListenTime, (Plan.CallDeadline - Requested) / 4 *
                                           ListenQuarters);
  return Plan;
}

Instant limitDeadline(const std::optional<StopPlan> &Stop, Instant Deadline) {
  return Stop ? std::min(Deadline, Stop->CallDeadline) : Deadline;
}

bool mayEndBeforeStop(const StopPlan &Stop, Duration UsualTime, Instant Now) {
  return Now < Stop.CallDeadline && Now + UsualTime <= Stop.CallDeadline;
}

} // namespace pollenwick
