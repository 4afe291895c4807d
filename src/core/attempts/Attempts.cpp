#include "core/attempts/Attempts.h"

namespace pollenwick {
namespace {

/// Greatest number of placements of one request. It is needed because a refusal
/// by a node does not count as a retry.
constexpr std::uint32_t MaxPlacements = 6;

bool mayAttemptAgain(const AttemptHistory &History, const AttemptLimits &Limits,
                     Instant Now) {
  return History.Placements < MaxPlacements && Now < Limits.Deadline;
}

} // namespace

void recordAttempt(AttemptHistory &History, const AttemptResult &Result) {
  if (Result.ReachedServer)
    ++History.Arrivals;
  if (Result.Outcome != CallOutcome::NotRun)
    History.MayHaveRun = true;
}

NextStep nextStep(const AttemptHistory &History, const AttemptLimits &Limits,
                  const AttemptResult &Last, Instant Now) {
  if (Last.Outcome == CallOutcome::Complete && !Last.ServerFailed)
    return NextStep::ReturnAnswer;
  if (Last.NotEnoughTime || !mayAttemptAgain(History, Limits, Now) ||
      (History.MayHaveRun && !Limits.Repeatable))
    return stepWithoutBudget(Last);
  if (Last.Outcome == CallOutcome::NotRun && !Last.ReachedServer)
    return NextStep::PlaceAgain;
  return History.Arrivals < Limits.MaxArrivals ? NextStep::Retry
                                               : stepWithoutBudget(Last);
}

NextStep stepWithoutBudget(const AttemptResult &Last) {
  return Last.Outcome == CallOutcome::Complete ? NextStep::ReturnAnswer
                                               : NextStep::Fail;
}

bool mayAttemptBeside(const AttemptHistory &History,
                      const AttemptLimits &Limits, Instant Now) {
  return Limits.Repeatable && mayAttemptAgain(History, Limits, Now) &&
         History.Arrivals + 1 < Limits.MaxArrivals;
}

bool canReportNotRun(const AttemptHistory &History) {
  return !History.MayHaveRun;
}

} // namespace pollenwick
