#include "core/serverlimit/RequestLimit.h"

#include <algorithm>
#include <utility>

namespace pollenwick {
namespace {

/// Least rate at which a server with a limit gets requests. Its answers are all
/// that tells when the limit has ended, so a limit of zero would never end.
constexpr double MinRequestsPerS = 0.5;

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
  return std::exchange(Limit.RequestsPerS, Rate) != Rate;
}

} // namespace pollenwick
