#ifndef POLLENWICK_CORE_PACE_HOSTSLOWDOWN_H
#define POLLENWICK_CORE_PACE_HOSTSLOWDOWN_H

#include <array>
#include <cstddef>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Slowdown of a server's host, from the reports on its answers.
struct HostSlowdown {
  struct Report {
    Instant At;
    double Slowdown = 0;
  };
  std::array<Report, 5> Latest; ///< Ring buffer of the latest reports.
  std::size_t Next = 0;
  /// Mean over the calls that form the mean service time; 0 if none reported.
  double MeanOverCalls = 0;
};

/// Records the slowdown that one answer reported.
void recordSlowdown(HostSlowdown &Host, double Slowdown, Instant Now);

/// Forgets the mean over the calls. Call it when the mean service time is
/// reset.
void resetMeanSlowdown(HostSlowdown &Host);

/// Returns the slowdown now; 0 if there are too few recent reports.
double currentSlowdown(const HostSlowdown &Host, Instant Now);

/// Returns the slowdown now / the slowdown in the time in which the mean
/// service time was formed; 0 if unknown.
double relativeSlowdown(const HostSlowdown &Host, Instant Now);

} // namespace pollenwick

#endif
