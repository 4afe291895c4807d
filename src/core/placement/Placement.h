#ifndef POLLENWICK_CORE_PLACEMENT_PLACEMENT_H
#define POLLENWICK_CORE_PLACEMENT_PLACEMENT_H

#include <cstdint>
#include <optional>
#include <random>
#include <span>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Load of a backend server as its node reported it.
struct ServerLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t MaxRunning =
      0;                      ///< Calls that run at once; 0: nothing reported.
  Duration MeanServiceTime{}; ///< Mean time that a call holds a slot.
  double FailureRate = 0; ///< Part of its calls that failed of late, 0 to 1.
  bool Leaving = false;
};

/// One server that could run a call.
struct PlacementCandidate {
  ServerLoad Load;
  std::uint32_t SentSince = 0; ///< Calls sent there after the last report.
  bool SameZone = false;
  bool Local = false; ///< Beside this node: no hop between nodes.
  Duration ColdRemaining{};
  double Kilobytes = 0; ///< Request and expected answer.
};

/// What is usual among the servers of a service.
struct ServiceBaseline {
  Duration MeanServiceTime{}; ///< Assumed for a server that reported no time.
  double FailureRate = 0;     ///< The lowest: no server is to blame for this.
};

ServiceBaseline serviceBaseline(std::span<const PlacementCandidate> Servers);

/// Time until the server would answer a call placed there now, and what the
/// failures that are its own cost on average.
Duration expectedResponseTime(const PlacementCandidate &Server,
                              const ServiceBaseline &Baseline);

/// Index of the server with the shortest expected time, with a little
/// randomness so that nodes with the same reports do not all pick the same
/// one. Empty when there is no candidate.
std::optional<std::size_t>
chooseServer(std::span<const PlacementCandidate> Servers,
             std::minstd_rand &Random);

} // namespace pollenwick

#endif
