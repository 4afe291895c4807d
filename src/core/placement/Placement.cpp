#include "core/placement/Placement.h"

#include <algorithm>

namespace pollenwick {
namespace {

/// Assumed until a server has reported how long its calls take.
constexpr Duration UnknownService = std::chrono::milliseconds(50);
constexpr std::uint32_t UnknownLimit = 16;
/// Slowdown of a server that has just started.
constexpr double ColdFactor = 2.0;
/// Share of the service time that a fully used server is assumed to add before
/// calls wait: servers slow down near their limit.
constexpr double BusyFactor = 1.0;
/// Traffic between zones costs bandwidth and delay.
constexpr Duration ZoneHop = std::chrono::milliseconds(4);
constexpr Duration PeerHop = std::chrono::milliseconds(1);
/// Half-width of the random factor.
constexpr double Jitter = 0.05;

} // namespace

Duration expectedTime(const Candidate &Server) {
  const ServerLoad &Load = Server.Load;
  const double Limit = Load.Limit > 0 ? Load.Limit : UnknownLimit;
  double Service = static_cast<double>(
      (Load.Service.count() > 0 ? Load.Service : UnknownService).count());
  if (Server.ColdRemaining.count() > 0)
    Service *= ColdFactor;
  const double Held = Load.Running + Load.Waiting + Server.SentSince;
  const double Use = std::min(1.0, Held / Limit);
  const double Ahead = std::max(0.0, Held + 1 - Limit);
  double Time = Service * (1 + BusyFactor * Use * Use) + Ahead * Service / Limit;
  if (!Server.SameZone)
    Time += static_cast<double>(ZoneHop.count());
  if (!Server.Local)
    Time += static_cast<double>(PeerHop.count());
  return Duration(static_cast<std::int64_t>(Time));
}

std::optional<std::size_t> choosePlacement(std::span<const Candidate> Servers,
                                           std::minstd_rand &Random) {
  std::optional<std::size_t> Best;
  double BestTime = 0;
  std::uniform_real_distribution<double> Factor(1 - Jitter, 1 + Jitter);
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    const double Time =
        static_cast<double>(expectedTime(Servers[I]).count()) * Factor(Random);
    if (Best && Time >= BestTime)
      continue;
    Best = I;
    BestTime = Time;
  }
  return Best;
}

} // namespace pollenwick
