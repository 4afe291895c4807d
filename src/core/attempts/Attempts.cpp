#include "core/attempts/Attempts.h"

namespace pollenwick {
namespace {

/// Placements of one request. Refusals by a node cost no repeat.
constexpr std::uint32_t LargestPlacements = 6;

bool hasRoom(const Attempts &Known, const AttemptLimits &Limits, Instant Now) {
  return Known.Placements < LargestPlacements && Now < Limits.Expiry;
}

} // namespace

void noteAttempt(Attempts &Known, const AttemptResult &Result) {
  if (Result.Arrived)
    ++Known.Arrivals;
  if (Result.Outcome != CallOutcome::NotRun)
    Known.MayHaveRun = true;
}

NextStep nextStep(const Attempts &Known, const AttemptLimits &Limits,
                  const AttemptResult &Last, Instant Now) {
  if (Last.Outcome == CallOutcome::Complete && !Last.ServerFailed)
    return NextStep::Deliver;
  if (Last.TimeUp || !hasRoom(Known, Limits, Now) ||
      (Known.MayHaveRun && !Limits.Repeatable))
    return withoutBudget(Last);
  if (Last.Outcome == CallOutcome::NotRun && !Last.Arrived)
    return NextStep::PlaceAgain;
  return Known.Arrivals < Limits.MaxArrivals ? NextStep::Repeat
                                             : withoutBudget(Last);
}

NextStep withoutBudget(const AttemptResult &Last) {
  return Last.Outcome == CallOutcome::Complete ? NextStep::Deliver
                                               : NextStep::GiveUp;
}

bool mayPromiseNotRun(const Attempts &Known) { return !Known.MayHaveRun; }

} // namespace pollenwick
