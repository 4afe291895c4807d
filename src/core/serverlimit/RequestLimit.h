#ifndef POLLENWICK_CORE_SERVERLIMIT_REQUESTLIMIT_H
#define POLLENWICK_CORE_SERVERLIMIT_REQUESTLIMIT_H

#include <cstdint>

#include "core/serverlimit/ServerNotice.h"
#include "pollenwick/Time.h"

namespace pollenwick {

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
};

/// Applies the notice of an answer to a call that started at `CallStartedAt`.
/// Returns whether the limit has changed.
bool applyNotice(RequestLimit &Limit, const ServerNotice &Notice,
                 Instant CallStartedAt, Instant Now);

} // namespace pollenwick

#endif
