#include "core/hosts/ReadSchedule.h"

#include <algorithm>
#include <utility>

namespace pollenwick {
namespace {

constexpr Duration InitialBackoff = std::chrono::milliseconds(150);
/// A source that is back is noticed within this time.
constexpr Duration MaxBackoff = std::chrono::milliseconds(600);
constexpr std::uint32_t MaxBackoffDoublings = 2;

Duration backoffAfter(std::uint32_t ConsecutiveFailures) {
  return std::min(MaxBackoff,
                  InitialBackoff * (1U << std::min(ConsecutiveFailures - 1,
                                                   MaxBackoffDoublings)));
}

} // namespace

bool onReadSucceeded(ReadSchedule &Schedule, std::uint64_t AsOf) {
  const bool EndsOutage = Schedule.InOutage;
  if (Schedule.ChangesAfter)
    Schedule.HistoryGone = false;
  Schedule.ChangesAfter = AsOf;
  Schedule.InOutage = false;
  Schedule.ConsecutiveFailures = 0;
  return EndsOutage;
}

Duration onReadFailed(ReadSchedule &Schedule, ReadFailure Failure) {
  Schedule.ChangesAfter.reset();
  ++Schedule.ConsecutiveFailures;
  if (Failure == ReadFailure::HistoryGone) {
    // The list is read at once, unless its own changes are gone too: a source
    // that forgets faster than it lists would be read without a pause.
    const bool GoneBefore = std::exchange(Schedule.HistoryGone, true);
    return GoneBefore ? backoffAfter(Schedule.ConsecutiveFailures) : Duration{};
  }
  Schedule.InOutage = true;
  return backoffAfter(Schedule.ConsecutiveFailures);
}

} // namespace pollenwick
