#ifndef POLLENWICK_CORE_SERVERLIMIT_REQUESTLIMIT_H
#define POLLENWICK_CORE_SERVERLIMIT_REQUESTLIMIT_H

#include <cstddef>
#include <cstdint>

#include "core/serverlimit/ServerNotice.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Cause of a call that is refused because its server takes no more requests.
inline constexpr const char *ServerLimitCause = "server-limited";

/// Limit on the requests that one backend server takes, as it named it. The
/// node beside the server owns it, because all calls pass through there.
struct RequestLimit {
  enum class Source : std::uint8_t {
    None,   ///< No answer of the server has arrived since the node started.
    Peer,   ///< A peer had heard of the limit before the node started.
    Server, ///< The latest answer of the server.
  };
  Source HeardFrom = Source::None;
  double RequestsPerS = 0; ///< Zero: no limit.
  /// When the limit was last named; a call that started earlier may have an
  /// answer from before.
  Instant NamedAt;
  /// When the next request would arrive if all came evenly at the limit. A
  /// request may come earlier by `requestTolerance`.
  Instant NextRequest;
};

inline bool isInForce(const RequestLimit &Limit) {
  return Limit.RequestsPerS > 0;
}

/// Applies the notice of an answer to a call that started at `CallStartedAt`.
/// Returns whether the limit has changed.
bool applyNotice(RequestLimit &Limit, const ServerNotice &Notice,
                 Instant CallStartedAt, Instant Now);

/// Applies what a peer knows of the limit, in requests per second and zero if
/// it knows none. It counts until the server itself has answered. Returns
/// whether the limit has changed.
bool applyPeerReport(RequestLimit &Limit, double RequestsPerS, Instant Now);

/// Returns when a request may be sent that has `RequestsAhead` others before
/// it.
Instant requestTime(const RequestLimit &Limit, std::size_t RequestsAhead,
                    Instant Now);
/// Returns how many requests may be sent now; 0 while there is no limit.
std::uint32_t requestsLeft(const RequestLimit &Limit, Instant Now);
/// Records that a request is sent.
void recordRequest(RequestLimit &Limit, Instant Now);

} // namespace pollenwick

#endif
