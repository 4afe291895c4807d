#include "core/placement/Placement.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// Assumed until a server has reported how long its calls take.
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(50);
constexpr std::uint32_t DefaultMaxRunning = 16;
/// Slowdown of a server that has just started.
constexpr double WarmupSlowdown = 2.0;
/// Share of the service time that a fully used server is assumed to add before
/// calls wait: servers slow down near their limit.
constexpr double FullLoadSlowdown = 1.0;
/// Traffic between zones costs delay and, by its size, bandwidth that operators
/// pay for: a server of another zone is taken when it is faster by more.
constexpr Duration CrossZoneDelay = std::chrono::milliseconds(2);
constexpr Duration CrossZoneCostPerKilobyte = std::chrono::milliseconds(8);
constexpr Duration PeerHopDelay = std::chrono::milliseconds(1);
/// Half-width of the random factor.
constexpr double JitterFraction = 0.05;

/// What a failed call costs its caller: the whole request is lost, or sent once
/// more at the expense of the fleet's budget.
constexpr Duration FailureTimeCost = std::chrono::milliseconds(600);

/// Where all servers fail calls, their shares differ by chance. So many
/// standard deviations of one call's failure count as chance: 2.5 of a mean
/// over 100.
constexpr double ChanceStdDevs = 0.25;

/// Failures beyond those that the other servers have too.
double excessFailureRate(const ServerLoad &Load,
                         const ServiceBaseline &Baseline) {
  const double Chance = ChanceStdDevs * std::sqrt(Baseline.FailureRate *
                                                  (1 - Baseline.FailureRate));
  return std::max(0.0, Load.FailureRate - Baseline.FailureRate - Chance);
}

} // namespace

ServiceBaseline serviceBaseline(std::span<const PlacementCandidate> Servers) {
  Duration ServiceTimeSum{};
  std::int64_t Count = 0;
  ServiceBaseline Baseline{DefaultServiceTime, 1.0};
  for (const PlacementCandidate &Server : Servers) {
    Baseline.FailureRate =
        std::min(Baseline.FailureRate, Server.Load.FailureRate);
    if (Server.Load.MeanServiceTime.count() == 0)
      continue;
    ServiceTimeSum += Server.Load.MeanServiceTime;
    ++Count;
  }
  if (Count > 0)
    Baseline.MeanServiceTime = ServiceTimeSum / Count;
  return Baseline;
}

Duration expectedResponseTime(const PlacementCandidate &Server,
                              const ServiceBaseline &Baseline) {
  const ServerLoad &Load = Server.Load;
  const double Limit =
      Load.MaxRunning > 0 ? Load.MaxRunning : DefaultMaxRunning;
  double Service = static_cast<double>((Load.MeanServiceTime.count() > 0
                                            ? Load.MeanServiceTime
                                            : Baseline.MeanServiceTime)
                                           .count());
  if (Server.ColdRemaining.count() > 0)
    Service *= WarmupSlowdown;
  const double Assigned = Load.Running + Load.Waiting + Server.SentSince;
  const double Utilization = std::min(1.0, Assigned / Limit);
  const double QueuedAhead = std::max(0.0, Assigned + 1 - Limit);
  double Time = Service * (1 + FullLoadSlowdown * Utilization * Utilization) +
                QueuedAhead * Service / Limit;
  Time += excessFailureRate(Load, Baseline) *
          static_cast<double>(FailureTimeCost.count());
  if (!Server.SameZone)
    Time += static_cast<double>(CrossZoneDelay.count()) +
            Server.Kilobytes *
                static_cast<double>(CrossZoneCostPerKilobyte.count());
  if (!Server.Local)
    Time += static_cast<double>(PeerHopDelay.count());
  return Duration(static_cast<std::int64_t>(Time));
}

std::optional<std::size_t>
chooseServer(std::span<const PlacementCandidate> Servers,
             std::minstd_rand &Random) {
  const ServiceBaseline Baseline = serviceBaseline(Servers);
  std::optional<std::size_t> Best;
  double BestTime = 0;
  std::uniform_real_distribution<double> Factor(1 - JitterFraction,
                                                1 + JitterFraction);
  const bool AllLeave =
      std::ranges::all_of(Servers, [](const PlacementCandidate &Server) {
        return Server.Load.Leaving;
      });
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    if (Servers[I].Load.Leaving && !AllLeave)
      continue;
    const double Time =
        static_cast<double>(
            expectedResponseTime(Servers[I], Baseline).count()) *
        Factor(Random);
    if (Best && Time >= BestTime)
      continue;
    Best = I;
    BestTime = Time;
  }
  return Best;
}

} // namespace pollenwick
