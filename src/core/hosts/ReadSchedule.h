#ifndef POLLENWICK_CORE_HOSTS_READSCHEDULE_H
#define POLLENWICK_CORE_HOSTS_READSCHEDULE_H

#include <cstdint>
#include <optional>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Why a read from a source of records failed.
enum class ReadFailure : std::uint8_t {
  HistoryGone, ///< The changes since the last read are no longer available.
  NoAnswer,    ///< The source has not answered within the time limit.
  Unavailable, ///< Any other failure.
};

/// Decides what to read next from a source of records: first the full list,
/// then the changes after it, and the full list again after any failure.
struct ReadSchedule {
  /// The changes after this revision are read next; unset: the full list.
  std::optional<std::uint64_t> ChangesAfter;
  /// Set by `NoAnswer` and `Unavailable` until the next success.
  bool InOutage = false;
  bool HistoryGone = false; ///< No changes read since a `HistoryGone`.
  std::uint32_t ConsecutiveFailures = 0;
};

/// What follows from a successful read.
struct ReadSuccess {
  bool EndsOutage = false;
  Duration Pause{}; ///< Time to wait before the next read.
};

/// Records a successful read of the list or of changes up to revision `AsOf`;
/// `HasChanges` is false if nothing has changed since the last read.
ReadSuccess onReadSucceeded(ReadSchedule &Schedule, std::uint64_t AsOf,
                            bool HasChanges);

/// Records a failed read. Returns the time to wait before the next read;
/// `Patient` makes it longer, for a source that others ask often enough.
Duration onReadFailed(ReadSchedule &Schedule, ReadFailure Failure,
                      bool Patient = false);

/// Begins to read again after a break, in which other nodes have read. The next
/// read is the full list. `AfterOutage` is set if they reported an outage.
void restartReading(ReadSchedule &Schedule, bool AfterOutage);

} // namespace pollenwick

#endif
