#include "core/shedding/RetryAfter.h"

#include <algorithm>

namespace pollenwick {
namespace {

/// Callers come back after a third of their remaining time, even if they are
/// told a longer time. Longer times would all end there, in one wave.
constexpr int CallerPatienceDivisor = 3;
/// Usual times that are reserved for the second attempt; it may have to wait
/// for a slot.
constexpr double ReservedUsualTimes = 1.5;
/// Part of the time left that is reserved where the usual time is unknown. A
/// new request waits for at most half of its target.
constexpr double ReservedShareIfUnknown = 0.5;
/// The first callers return after this part of the longest wait. In the model
/// of the test, earlier ones met the overload that had refused them.
constexpr double ShortestWaitRatio = 0.4;
/// Part of the longest wait that is used when all such requests are admitted;
/// all of it is used when none is.
constexpr double WaitRatioIfAdmitted = 0.5;
/// Longest wait where the deadline known here has passed. The caller may have
/// more time, for example if the timeout of the route is shorter.
constexpr Duration WaitWithoutTimeLeft = std::chrono::seconds(1);
/// Shortest time that is told; a shorter one does not spread callers whose
/// requests take about as long on the network.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);

Duration scaled(Duration Time, double Factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

/// Returns the longest wait after which the caller still returns and the second
/// attempt can be answered within the target; beyond the target if there is no
/// such wait, since a late answer has some value.
Duration longestWait(const RefusedRequest &Request) {
  const Duration Patience = Request.TimeLeft.count() > 0
                                ? Request.TimeLeft / CallerPatienceDivisor
                                : WaitWithoutTimeLeft;
  const Duration Reserved =
      Request.UsualTime.count() > 0
          ? scaled(Request.UsualTime, ReservedUsualTimes)
          : scaled(Request.TargetLeft, ReservedShareIfUnknown);
  const Duration WithinTarget = Request.TargetLeft - Reserved;
  return WithinTarget >= MinRetryAfter ? std::min(Patience, WithinTarget)
                                       : Patience;
}

/// Returns the part of the longest wait that requests of a rank use: half for
/// the most important one, and more for each lower one.
double waitRatio(int Rank) {
  const double Position = std::max(Rank, 0);
  return (Position + 1) / (Position + 2);
}

} // namespace

Duration retryAfter(const RefusedRequest &Request, std::minstd_rand &Random) {
  const double Share = std::clamp(Request.AdmittedShare, 0.0, 1.0);
  const double Ratio =
      waitRatio(Request.Rank) *
      (WaitRatioIfAdmitted + (1 - WaitRatioIfAdmitted) * (1 - Share));
  const Duration Longest = scaled(longestWait(Request), Ratio);
  std::uniform_real_distribution<double> Position(ShortestWaitRatio, 1);
  return std::max(MinRetryAfter, scaled(Longest, Position(Random)));
}

} // namespace pollenwick
