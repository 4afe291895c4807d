#ifndef POLLENWICK_PEER_CLOCK_H
#define POLLENWICK_PEER_CLOCK_H

#include "pollenwick/Time.h"

namespace pollenwick {

/// Returns the time of the boot-time clock. This clock also advances while the
/// host is suspended, so that leases expire during a suspension.
Instant now();

} // namespace pollenwick

#endif
