#ifndef POLLENWICK_CORE_HOSTS_READSCHEDULE_H
#define POLLENWICK_CORE_HOSTS_READSCHEDULE_H

#include <cstdint>
#include <optional>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Why a read from a source of records failed.
enum class ReadFailure : std::uint8_t {
  HistoryGone, ///< The changes since the last read are no longer available.
  Unavailable, ///< Any other failure, including a timeout.
};

/// Decides what to read next from a source of records: first the full list,
/// then the changes after it, and the full list again after any failure.
struct ReadSchedule {
  /// The changes after this revision are read next; unset: the full list.
  std::optional<std::uint64_t> ChangesAfter;
  bool InOutage = false;    ///< `Unavailable` since the last success.
  bool HistoryGone = false; ///< No changes read since a `HistoryGone`.
  std::uint32_t ConsecutiveFailures = 0;
};

/// Records a successful read of the list or of changes up to revision `AsOf`.
/// Returns true if the read ends an outage.
bool onReadSucceeded(ReadSchedule &Schedule, std::uint64_t AsOf);

/// Records a failed read. Returns the time to wait before the next read.
Duration onReadFailed(ReadSchedule &Schedule, ReadFailure Failure);

} // namespace pollenwick

#endif
