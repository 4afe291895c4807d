#ifndef POLLENWICK_CORE_HOSTS_READSCHEDULE_H
#define POLLENWICK_CORE_HOSTS_READSCHEDULE_H

#include <cstdint>
#include <optional>

#include "pollenwick/Time.h"

namespace pollenwick {

enum class ReadFailure : std::uint8_t {
  HistoryGone, ///< The changes since the last read are no longer available.
  Unavailable, ///< Everything else, silence included.
};

/// What is read next from a source of records: the whole list first, then the
/// changes after it, and after any failure the list again.
struct ReadSchedule {
  /// Changes after this revision are read next; empty: the whole list.
  std::optional<std::uint64_t> ChangesAfter;
  bool InOutage = false;    ///< A read has failed since the last list.
  bool HistoryGone = false; ///< The last read of changes has failed so.
  std::uint32_t ConsecutiveFailures = 0; ///< In a row.
};

/// Takes in a successful read of the list or of changes, as of a revision.
/// Returns whether it ends an outage.
bool onReadSucceeded(ReadSchedule &Schedule, std::uint64_t AsOf);

/// Takes in a failed read. Returns the time to wait before the next one.
Duration onReadFailed(ReadSchedule &Schedule, ReadFailure Failure);

} // namespace pollenwick

#endif
