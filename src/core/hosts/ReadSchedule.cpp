#include "core/hosts/ReadSchedule.h"

#include <algorithm>
#include <utility>

namespace pollenwick {
namespace {

constexpr Duration InitialBackoff = std::chrono::milliseconds(150);
/// Bounds the time until a read notices that a source has recovered.
constexpr Duration MaxBackoff = std::chrono::milliseconds(600);
constexpr std::uint32_t MaxBackoffDoublings = 2;
constexpr Duration PatientBackoff = std::chrono::milliseconds(3000);
/// Time between two reads of changes. A source answers as soon as there is one
/// change, so without it each change of a busy fleet costs a read. It is short
/// beside the times in which a change has to be in force.
constexpr Duration MinChangeInterval = std::chrono::milliseconds(400);

Duration backoffAfter(std::uint32_t ConsecutiveFailures) {
  return std::min(MaxBackoff,
                  InitialBackoff * (1U << std::min(ConsecutiveFailures - 1,
                                                   MaxBackoffDoublings)));
}

} // namespace

ReadSuccess onReadSucceeded(ReadSchedule &Schedule, std::uint64_t AsOf,
                            bool HasChanges) {
  ReadSuccess Result{Schedule.InOutage, Duration{}};
  if (Schedule.ChangesAfter) {
    Schedule.HistoryGone = false;
    if (HasChanges)
      Result.Pause = MinChangeInterval;
  }
  Schedule.ChangesAfter = AsOf;
  Schedule.InOutage = false;
  Schedule.ConsecutiveFailures = 0;
  return Result;
}

void restartReading(ReadSchedule &Schedule, bool AfterOutage) {
  Schedule.InOutage = Schedule.InOutage || AfterOutage;
  Schedule.ChangesAfter.reset();
  Schedule.ConsecutiveFailures = 0;
}

Duration onReadFailed(ReadSchedule &Schedule, ReadFailure Failure,
                      bool Patient) {
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
  // An unanswered read has already waited. Without a pause the next one finds a
  // source that has just recovered.
  if (Failure == ReadFailure::NoAnswer && !Patient)
    return Duration{};
  return Patient ? PatientBackoff : backoffAfter(Schedule.ConsecutiveFailures);
}

} // namespace pollenwick
