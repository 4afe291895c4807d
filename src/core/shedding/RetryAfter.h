#ifndef POLLENWICK_CORE_SHEDDING_RETRYAFTER_H
#define POLLENWICK_CORE_SHEDDING_RETRYAFTER_H

#include <random>

#include "pollenwick/Time.h"

namespace pollenwick {

/// A request that is refused and has not run.
struct RefusedRequest {
  Duration TargetLeft{}; ///< Until the latency target; not positive: none.
  Duration TimeLeft{};   ///< Until the caller's deadline.
  /// Usual time from admission to answer on the route; zero: unknown.
  Duration UsualTime{};
  double AdmittedShare = 1; ///< Share of such requests that is admitted.
  int Rank = 0;             ///< See `dispatchRank`.
};

/// Returns the time after which the caller of a refused request should try
/// again. It is drawn at random, so that callers who are refused together
/// return one by one. The second attempt can still be answered within the
/// latency target, unless too little of it is left. Less important requests,
/// and those with a low admitted share, return later.
Duration retryAfter(const RefusedRequest &Request, std::minstd_rand &Random);

} // namespace pollenwick

#endif
