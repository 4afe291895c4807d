#include "core/hosts/ReadSchedule.h"

#include <algorithm>
#include <utility>

namespace pollenwick {
namespace {

constexpr Duration InitialBackoff = std::chrono::milliseconds(150);
/// Bounds the time until a read notices that a source has recovered.
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
    // The list is read again without delay, unless the changes after that list
    // are gone as well. Otherwise a source that discards changes faster than a
    // list can be read would be read in a tight loop.
    const bool GoneBefore = std::exchange(Schedule.HistoryGone, true);
    return GoneBefore ? backoffAfter(Schedule.ConsecutiveFailures) : Duration{};
  }
  Schedule.InOutage = true;
  return backoffAfter(Schedule.ConsecutiveFailures);
}

} // namespace pollenwick
