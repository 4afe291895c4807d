#ifndef POLLENWICK_TIME_H
#define POLLENWICK_TIME_H

#include <chrono>
#include <cstdint>

namespace pollenwick {

using Duration = std::chrono::duration<std::int64_t, std::micro>;

/// Tag of the time line on which decisions are made. It has no `now()`: the
/// shell passes the monotonic clock's reading, tests pass virtual time.
struct DecisionClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<DecisionClock, Duration>;
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by the standard.
  static constexpr bool is_steady = true;
};

using Instant = DecisionClock::time_point;

} // namespace pollenwick

#endif
