#include "core/placement/FailureShare.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// Time in which a count fades to a third.
constexpr Duration Memory = std::chrono::milliseconds(1500);
/// Successful calls that are assumed besides.
constexpr double AssumedEnds = 4;

double fading(const FailureShare &Share, Instant Now) {
  return std::exp(-static_cast<double>((Now - Share.FadedAt).count()) /
                  static_cast<double>(Memory.count()));
}

void fade(FailureShare &Share, Instant Now) {
  const double Kept = fading(Share, Now);
  Share.Failed *= Kept;
  Share.NestedFailed *= Kept;
  Share.Ended *= Kept;
  Share.FadedAt = Now;
}

} // namespace

void countEnd(FailureShare &Share, bool Failed, Instant Now) {
  fade(Share, Now);
  Share.Failed += Failed ? 1 : 0;
  Share.Ended += 1;
}

void countNestedFailure(FailureShare &Share, Instant Now) {
  fade(Share, Now);
  Share.NestedFailed += 1;
}

double failureShare(const FailureShare &Share, Instant Now) {
  const double Kept = fading(Share, Now);
  const double Own = std::max(0.0, Share.Failed - Share.NestedFailed);
  return Own * Kept / (Share.Ended * Kept + AssumedEnds);
}

} // namespace pollenwick
