#include "core/placement/FailureRate.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// Time in which a count decays to about a third (1/e).
constexpr Duration DecayTimeConstant = std::chrono::milliseconds(1500);
/// Number of successful calls added to the real ones, so that a few failures do
/// not give a high rate.
constexpr double AssumedSuccesses = 4;

/// Multiple of the mean gap between two calls beyond which the server counts as
/// idle.
constexpr double IdleGapFactor = 5;

double decayFactor(Duration Time) {
  return std::exp(-static_cast<double>(Time.count()) /
                  static_cast<double>(DecayTimeConstant.count()));
}

/// Returns how long the server has been idle: the time since its last call
/// beyond the gap that its recent call rate makes likely.
Duration idleTime(const FailureRate &Rate, Instant Now) {
  const auto MeanGap = DecayTimeConstant / std::max(Rate.FinishedCalls, 1.0);
  return std::max(Duration{},
                  std::chrono::duration_cast<Duration>(
                      (Now - Rate.UpdatedAt) - IdleGapFactor * MeanGap));
}

/// Returns the counts decayed to `Now`. Both counts decay at the same rate.
/// While the server is idle, the failures decay faster: after many calls per
/// second both counts stay large for long, and so would their quotient.
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

std::uint32_t recentCalls(const FailureRate &Rate, Instant Now) {
  return static_cast<std::uint32_t>(
      std::lround(decayed(Rate, Now).FinishedCalls));
}

} // namespace pollenwick
