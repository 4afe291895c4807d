#ifndef POLLENWICK_CORE_COLDSTART_COLDREPORT_H
#define POLLENWICK_CORE_COLDSTART_COLDREPORT_H

#include <cstdint>
#include <optional>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Longest cold time that a server can report.
inline constexpr Duration MaxColdRemaining = std::chrono::hours(1);

/// Returns the time that a server reported in milliseconds; unset if it is
/// unreadable, negative or longer than `MaxColdRemaining`.
inline std::optional<Duration>
coldRemaining(std::optional<std::int64_t> Milliseconds) {
  if (!Milliseconds || *Milliseconds < 0 ||
      *Milliseconds > MaxColdRemaining / std::chrono::milliseconds(1))
    return std::nullopt;
  return std::chrono::milliseconds(*Milliseconds);
}

} // namespace pollenwick

#endif
