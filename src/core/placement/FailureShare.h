#ifndef POLLENWICK_CORE_PLACEMENT_FAILURESHARE_H
#define POLLENWICK_CORE_PLACEMENT_FAILURESHARE_H

#include "pollenwick/Time.h"

namespace pollenwick {

/// How often the calls of one server failed of late. Both counts fade,
/// and the share fades in a time without calls, so that the server is tried
/// again.
struct FailureShare {
  double Failed = 0;
  double Ended = 0;
  Instant CountedAt;
};

/// Counts a call that has ended; one that its caller gave up is not counted.
void countEnd(FailureShare &Share, bool Failed, Instant Now);

/// 0 to 1. Few calls say little: a single failure is no large share.
double failureShare(const FailureShare &Share, Instant Now);

} // namespace pollenwick

#endif
