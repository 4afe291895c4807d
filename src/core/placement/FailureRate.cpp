#include "core/placement/FailureRate.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// Time in which a count fades to a third.
constexpr Duration DecayTimeConstant = std::chrono::milliseconds(1500);
/// Successful calls that are assumed besides.
constexpr double AssumedSuccesses = 4;

/// A gap between two calls that is so many times the mean one is a time without
/// calls.
constexpr double IdleGapFactor = 5;

double decayFactor(Duration Time) {
  return std::exp(-static_cast<double>(Time.count()) /
                  static_cast<double>(DecayTimeConstant.count()));
}

/// How long the server has had no calls, beyond the gaps that its rate of late
/// explains.
Duration idleTime(const FailureRate &Rate, Instant Now) {
  const auto MeanGap = DecayTimeConstant / std::max(Rate.FinishedCalls, 1.0);
  return std::max(Duration{},
                  std::chrono::duration_cast<Duration>(
                      (Now - Rate.UpdatedAt) - IdleGapFactor * MeanGap));
}

/// Both counts fade alike with time. In a time without calls failures fade
/// besides: with many calls a second both counts stay large for long, and their
/// quotient would stay with them.
FailureRate decayed(const FailureRate &Rate, Instant Now) {
  const double Decay = decayFactor(Now - Rate.UpdatedAt);
  const double IdleDecay = decayFactor(idleTime(Rate, Now));
  return {Rate.Failed * Decay * IdleDecay, Rate.FinishedCalls * Decay, Now};
}

} // namespace

void recordCallResult(FailureRate &Rate, bool Failed, Instant Now) {
  Rate = decayed(Rate, Now);
  Rate.Failed += Failed ? 1 : 0;
  Rate.FinishedCalls += 1;
}

double failureRate(const FailureRate &Rate, Instant Now) {
  const FailureRate Current = decayed(Rate, Now);
  return Current.Failed / (Current.FinishedCalls + AssumedSuccesses);
}

} // namespace pollenwick
