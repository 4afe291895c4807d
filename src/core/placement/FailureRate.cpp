#include "core/placement/FailureRate.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// Time in which a count fades to a third.
constexpr Duration Memory = std::chrono::milliseconds(1500);
/// Successful calls that are assumed besides.
constexpr double AssumedEnds = 4;

/// A gap between two calls that is so many times the mean one is a time without
/// calls.
constexpr double UsualGaps = 5;

double fadingOver(Duration Time) {
  return std::exp(-static_cast<double>(Time.count()) /
                  static_cast<double>(Memory.count()));
}

/// How long the server has had no calls, beyond the gaps that its rate of late
/// explains.
Duration idleTime(const FailureRate &Share, Instant Now) {
  const auto MeanGap = Memory / std::max(Share.FinishedCalls, 1.0);
  return std::max(Duration{},
                  std::chrono::duration_cast<Duration>((Now - Share.UpdatedAt) -
                                                       UsualGaps * MeanGap));
}

/// Both counts fade alike with time. In a time without calls failures fade
/// besides: with many calls a second both counts stay large for long, and their
/// quotient would stay with them.
FailureRate faded(const FailureRate &Share, Instant Now) {
  const double Kept = fadingOver(Now - Share.UpdatedAt);
  const double Trusted = fadingOver(idleTime(Share, Now));
  return {Share.Failed * Kept * Trusted, Share.FinishedCalls * Kept, Now};
}

} // namespace

void recordCallResult(FailureRate &Share, bool Failed, Instant Now) {
  Share = faded(Share, Now);
  Share.Failed += Failed ? 1 : 0;
  Share.FinishedCalls += 1;
}

double failureRate(const FailureRate &Share, Instant Now) {
  const FailureRate Seen = faded(Share, Now);
  return Seen.Failed / (Seen.FinishedCalls + AssumedEnds);
}

} // namespace pollenwick
