#ifndef POLLENWICK_CORE_PLACEMENT_FAILURERATE_H
#define POLLENWICK_CORE_PLACEMENT_FAILURERATE_H

#include <cstdint>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Exponentially decaying counts of the calls to one server. The failure rate
/// also falls while the server gets no calls, so that it is tried again.
struct FailureRate {
  double Failed = 0;        ///< Decayed count of failed calls.
  double FinishedCalls = 0; ///< Decayed count of all calls that ended.
  Instant UpdatedAt;
};

/// Records the result of a call that has ended. Do not record calls that the
/// caller has cancelled.
void recordCallResult(FailureRate &Rate, bool Failed, Instant Now);

/// Returns the share of recent calls that failed, 0 to 1. The result is biased
/// toward 0 when there were few calls, so that a single failure gives a low
/// rate.
double failureRate(const FailureRate &Rate, Instant Now);

/// Returns the decayed count of the calls that ended.
std::uint32_t recentCalls(const FailureRate &Rate, Instant Now);

} // namespace pollenwick

#endif
