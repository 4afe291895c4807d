#ifndef POLLENWICK_CORE_PLACEMENT_FAILURERATE_H
#define POLLENWICK_CORE_PLACEMENT_FAILURERATE_H

#include "pollenwick/Time.h"

namespace pollenwick {

/// How often the calls of one server failed of late. Both counts fade,
/// and the share fades in a time without calls, so that the server is tried
/// again.
struct FailureRate {
  double Failed = 0;
  double FinishedCalls = 0;
  Instant UpdatedAt;
};

/// Counts a call that has ended; one that its caller gave up is not counted.
void recordCallResult(FailureRate &Rate, bool Failed, Instant Now);

/// 0 to 1. Few calls say little: a single failure is no large share.
double failureRate(const FailureRate &Rate, Instant Now);

} // namespace pollenwick

#endif
