#include "peer/Clock.h"

#include <ctime>

namespace pollenwick {

Instant now() {
  timespec Reading{};
  clock_gettime(CLOCK_BOOTTIME, &Reading);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Reading.tv_sec) +
      std::chrono::nanoseconds(Reading.tv_nsec)));
}

} // namespace pollenwick
