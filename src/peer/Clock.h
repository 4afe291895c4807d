#ifndef POLLENWICK_PEER_CLOCK_H
#define POLLENWICK_PEER_CLOCK_H

#include "pollenwick/Time.h"

namespace pollenwick {

/// Reading of the boot-time clock, which also advances while the host is
/// suspended, so that no lease outlives a suspension.
Instant now();

} // namespace pollenwick

#endif
