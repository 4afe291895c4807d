#include "core/serverlimit/RequestLimit.h"

#include <algorithm>
#include <utility>

namespace pollenwick {
namespace {

/// Least rate at which a server with a limit gets requests. Its answers are all
/// that tells when the limit has ended, so a limit of zero would never end.
constexpr double MinRequestsPerS = 0.5;
/// Requests that do not arrive evenly use the limit of this time at once. In a
/// window of some seconds it adds little.
constexpr Duration BurstTime = std::chrono::milliseconds(250);

Duration requestInterval(const RequestLimit &Limit) {
  return Duration(static_cast<std::int64_t>(1e6 / Limit.RequestsPerS));
}

/// Returns by how much a request may come before its even time.
Duration requestTolerance(const RequestLimit &Limit) {
  return std::max(Duration{}, BurstTime - requestInterval(Limit));
}

/// Sets the limit. Requests of the time before it are not known, so the first
/// one waits for its interval.
bool setLimit(RequestLimit &Limit, double RequestsPerS, Instant Now) {
  const double Previous = std::exchange(Limit.RequestsPerS, RequestsPerS);
  if (Previous == RequestsPerS || RequestsPerS == 0)
    return Previous != RequestsPerS;
  const Instant First = Now + requestInterval(Limit) + requestTolerance(Limit);
  Limit.NextRequest =
      Previous == 0 ? First : std::min(Limit.NextRequest, First);
  return true;
}

} // namespace

bool applyNotice(RequestLimit &Limit, const ServerNotice &Notice,
                 Instant CallStartedAt, Instant Now) {
  if (Notice.LimitUnreadable)
    return false;
  // Answers of several connections overtake each other. Only the answer to a
  // call that started after the limit was named shows that it has ended.
  if (!Notice.RequestsPerS && Limit.RequestsPerS > 0 &&
      CallStartedAt < Limit.NamedAt)
    return false;
  Limit.HeardFrom = RequestLimit::Source::Server;
  if (Notice.RequestsPerS)
    Limit.NamedAt = Now;
  const double Rate = Notice.RequestsPerS
                          ? std::max(*Notice.RequestsPerS, MinRequestsPerS)
                          : 0.0;
  return setLimit(Limit, Rate, Now);
}

bool applyPeerReport(RequestLimit &Limit, double RequestsPerS, Instant Now) {
  if (Limit.HeardFrom != RequestLimit::Source::None || RequestsPerS <= 0)
    return false;
  Limit.HeardFrom = RequestLimit::Source::Peer;
  Limit.NamedAt = Now;
  return setLimit(
      Limit, std::clamp(RequestsPerS, MinRequestsPerS, MaxNamedRequestsPerS),
      Now);
}

Instant requestTime(const RequestLimit &Limit, std::size_t RequestsAhead,
                    Instant Now) {
  if (!isInForce(Limit))
    return Now;
  const Instant Even =
      std::max(Limit.NextRequest, Now) +
      requestInterval(Limit) * static_cast<std::int64_t>(RequestsAhead);
  return std::max(Now, Even - requestTolerance(Limit));
}

std::uint32_t requestsLeft(const RequestLimit &Limit, Instant Now) {
  if (!isInForce(Limit))
    return 0;
  const Duration Early =
      Now + requestTolerance(Limit) - std::max(Limit.NextRequest, Now);
  if (Early < Duration{})
    return 0;
  return static_cast<std::uint32_t>(Early / requestInterval(Limit)) + 1;
}

void recordRequest(RequestLimit &Limit, Instant Now) {
  if (isInForce(Limit))
    Limit.NextRequest =
        std::max(Limit.NextRequest, Now) + requestInterval(Limit);
}

} // namespace pollenwick
