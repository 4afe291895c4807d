#include "core/hosts/ReadSchedule.h"

#include <algorithm>
#include <utility>

namespace pollenwick {
namespace {

constexpr Duration FirstPause = std::chrono::milliseconds(150);
/// A source that is back is noticed within this time.
constexpr Duration LongestPause = std::chrono::milliseconds(600);
constexpr std::uint32_t MostDoublings = 2;

Duration pauseAfter(std::uint32_t ConsecutiveFailures) {
  return std::min(LongestPause,
                  FirstPause *
                      (1U << std::min(ConsecutiveFailures - 1, MostDoublings)));
}

} // namespace

bool noteRead(ReadSchedule &Schedule, std::uint64_t AsOf) {
  const bool Ended = Schedule.InOutage;
  if (Schedule.ChangesAfter)
    Schedule.HistoryGone = false;
  Schedule.ChangesAfter = AsOf;
  Schedule.InOutage = false;
  Schedule.ConsecutiveFailures = 0;
  return Ended;
}

Duration noteFailure(ReadSchedule &Schedule, ReadFailure Failure) {
  Schedule.ChangesAfter.reset();
  ++Schedule.ConsecutiveFailures;
  if (Failure == ReadFailure::HistoryGone) {
    // The list is read at once, unless its own changes are gone too: a source
    // that forgets faster than it lists would be read without a pause.
    const bool Again = std::exchange(Schedule.HistoryGone, true);
    return Again ? pauseAfter(Schedule.ConsecutiveFailures) : Duration{};
  }
  Schedule.InOutage = true;
  return pauseAfter(Schedule.ConsecutiveFailures);
}

} // namespace pollenwick
