#ifndef POLLENWICK_CORE_COLDSTART_COLDSTART_H
#define POLLENWICK_CORE_COLDSTART_COLDSTART_H

#include <cstddef>
#include <cstdint>
#include <deque>

#include "pollenwick/Rules.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Cause of a call that is refused because its server is cold.
inline constexpr const char *ServerColdCause = "server-cold";

/// Limits the rate at which calls start on a backend server while it is cold.
/// The node beside the server owns it, because all calls pass through there.
struct ColdStartLimiter {
  ColdStartRule Rule;
  /// No call starts earlier on a cold server.
  Instant NoStartsBefore;
  /// The server is cold until then. `Instant::max()` until the first report,
  /// because a node that has just started does not know the server.
  Instant ColdUntil = Instant::max();
  /// The latest starts, oldest first, also those of the time before the server
  /// became cold. At most as many as may start in `startWindow`.
  std::deque<Instant> LatestStarts;
};

/// Returns the limiter of a node that has started at `NodeStartedAt`.
ColdStartLimiter coldStartLimiter(Instant NodeStartedAt);

/// Returns the number of calls that may start within any `startWindow`.
std::size_t startsPerWindow(const ColdStartRule &Rule);
/// Returns at least one second; more if the rate is below one call a second.
Duration startWindow(const ColdStartRule &Rule);

/// Applies a report of how much longer the server stays cold, zero if it is
/// warm. The newest report takes precedence over earlier ones and assumptions.
void reportCold(ColdStartLimiter &Limiter, Duration Remaining, Instant Now);
/// Treats the server as cold for its whole cold time, or until the next report.
void assumeCold(ColdStartLimiter &Limiter, Instant Now);

/// Returns whether starts are limited now.
bool isCold(const ColdStartLimiter &Limiter, Instant Now);
/// Returns when a call may start that has `CallsAhead` others before it.
Instant startTime(const ColdStartLimiter &Limiter, std::size_t CallsAhead,
                  Instant Now);
/// Returns how many calls may start now; 0 while starts are not limited.
std::uint32_t coldStartsLeft(const ColdStartLimiter &Limiter, Instant Now);
/// Records a start. Call it for warm servers too, because they may become cold.
void recordStart(ColdStartLimiter &Limiter, Instant Now);

} // namespace pollenwick

#endif
