#ifndef POLLENWICK_CORE_PACE_SERVERREPORT_H
#define POLLENWICK_CORE_PACE_SERVERREPORT_H

#include <cstdint>
#include <string_view>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Load that a server reports on an answer.
struct ServerReport {
  enum class Kind : std::uint8_t {
    Absent,
    Valid,
    Unreadable,
    Contradictory, ///< It cannot be true.
  };
  Kind Quality = Kind::Absent;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// Time that work takes on the host now, as a multiple of the usual time; 0
  /// if not reported.
  double Slowdown = 0;
};

/// Parses "running,waiting,slots" with an optional fourth figure, the slowdown
/// in percent. An empty text is `Absent`. The slowdown is clamped.
ServerReport parseServerReport(std::string_view Text);

/// Marks a valid report as contradictory if it cannot be true while
/// `OwnRunning` calls of this node hold a slot there.
void checkServerReport(ServerReport &Report, std::uint32_t OwnRunning);

/// Returns whether a valid report shows waiting calls or no free slot.
bool reportsFull(const ServerReport &Report);

} // namespace pollenwick

#endif
