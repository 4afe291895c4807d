#ifndef POLLENWICK_TIME_H
#define POLLENWICK_TIME_H

#include <chrono>
#include <cstdint>

namespace pollenwick {

using Duration = std::chrono::duration<std::int64_t, std::micro>;

/// Clock type of all decisions of the core. It has no `now()`: the callers of
/// the core pass the time of the monotonic clock, and tests pass virtual time.
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
