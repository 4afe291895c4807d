#include "core/placement/FailureShare.h"

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

} // namespace

void countEnd(FailureShare &Share, bool Failed, Instant Now) {
  const double Kept = fading(Share, Now);
  Share.Failed = Share.Failed * Kept + (Failed ? 1 : 0);
  Share.Ended = Share.Ended * Kept + 1;
  Share.FadedAt = Now;
}

double failureShare(const FailureShare &Share, Instant Now) {
  const double Kept = fading(Share, Now);
  return Share.Failed * Kept / (Share.Ended * Kept + AssumedEnds);
}

} // namespace pollenwick
