#ifndef POLLENWICK_CORE_HOSTS_READLIMITS_H
#define POLLENWICK_CORE_HOSTS_READLIMITS_H

#include "pollenwick/Time.h"

namespace pollenwick {

/// Time limits of the reads of a source of records. A read that stays without
/// an answer tells nothing about the records, so every wait is bounded.
struct ReadLimits {
  Duration WatchWait;     ///< The source answers a watch at the latest then.
  Duration AnswerTimeout; ///< Until a read counts as unanswered.
  /// Age from which the confirmation by a reader shows that it does not read.
  Duration MaxConfirmationAge;
};

/// Returns the limits with which a reader whose last answer was lost reads the
/// records again, and passes them on, within `ApplyTime`, the time in which a
/// confirmed change must be in force everywhere.
ReadLimits readLimitsFor(Duration ApplyTime);

} // namespace pollenwick

#endif
