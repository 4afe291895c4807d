#include "core/hosts/ReadSchedule.h"

#include <algorithm>
#include <utility>

namespace pollenwick {
namespace {

constexpr Duration FirstPause = std::chrono::milliseconds(150);
/// A source that is back is noticed within this time.
constexpr Duration LongestPause = std::chrono::milliseconds(600);
constexpr std::uint32_t MostDoublings = 2;

Duration pauseAfter(std::uint32_t Failures) {
  return std::min(LongestPause,
                  FirstPause * (1U << std::min(Failures - 1, MostDoublings)));
}

} // namespace

bool noteRead(ReadSchedule &Schedule, std::uint64_t AsOf) {
  const bool Ended = Schedule.Outage;
  if (Schedule.After)
    Schedule.HistoryGone = false;
  Schedule.After = AsOf;
  Schedule.Outage = false;
  Schedule.Failures = 0;
  return Ended;
}

Duration noteFailure(ReadSchedule &Schedule, ReadFailure Failure) {
  Schedule.After.reset();
  ++Schedule.Failures;
  if (Failure == ReadFailure::HistoryGone) {
    // The list is read at once, unless its own changes are gone too: a source
    // that forgets faster than it lists would be read without a pause.
    const bool Again = std::exchange(Schedule.HistoryGone, true);
    return Again ? pauseAfter(Schedule.Failures) : Duration{};
  }
  Schedule.Outage = true;
  return pauseAfter(Schedule.Failures);
}

} // namespace pollenwick
