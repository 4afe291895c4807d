#include "core/placement/Placement.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// Service time assumed until a server of the service has reported one.
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(50);
/// Number of calls at the mean service time of all servers that are added to
/// the recent calls of one. A few long calls would otherwise make an idle
/// server look slow for as long as it gets no others.
constexpr double AssumedMeanCalls = 10;
/// Concurrency limit assumed for a server that has reported none.
constexpr std::uint32_t DefaultMaxRunning = 16;
/// Range of the factor for the speed of a host. Servers of one service differ
/// by a factor of about three, and a report that says more may be wrong.
constexpr double MaxHostSlowdown = 3;
/// Time in which a report of the speed of a host loses most of its weight. The
/// speed changes many times a second.
constexpr Duration SlowdownFadeTime = std::chrono::milliseconds(100);
/// Factor on the service time of a server that has just started.
constexpr double WarmupSlowdown = 2.0;
/// Extra service time of a fully used server, as a share of its mean service
/// time. Servers slow down near their concurrency limit, even before calls
/// wait.
constexpr double FullLoadSlowdown = 1.0;
/// Penalties for a server in another availability zone, for the delay and, by
/// size, for bandwidth that operators pay for. Such a server is chosen only if
/// it is faster by more than both.
constexpr Duration CrossZoneDelay = std::chrono::milliseconds(2);
constexpr Duration CrossZoneCostPerKilobyte = std::chrono::milliseconds(8);
/// Delay of the hop to another node.
constexpr Duration PeerHopDelay = std::chrono::milliseconds(1);
/// Share of a server's slots up to which calls of its zone stay there. Above
/// it, a call that meets a short burst would wait for a slot.
constexpr double ZoneUtilization = 0.7;
/// Share of the latency target within which a server of the own zone must be
/// expected to answer. Response times vary by about their mean.
constexpr double ZoneTargetShare = 0.5;
/// Share of the time left until the latency target by which a server of another
/// zone must answer sooner. When all zones are equally busy their expected
/// times differ by chance only, and most calls would cross zones without any
/// gain for callers.
constexpr double ZoneGainShare = 0.3;
/// Share of its slots up to which a server of another zone counts as idle. It
/// takes calls of a busy zone without that gain.
constexpr double IdleUtilization = 0.35;
/// Half-width of the range of the random factor around 1.
constexpr double JitterFraction = 0.05;

/// Time penalty for a failed call. Its caller loses the whole request, or
/// repeats it and consumes the retry budget of the fleet.
constexpr Duration FailureTimeCost = std::chrono::milliseconds(600);

/// Difference in failure rate that counts as chance, in standard deviations of
/// a single call's failure; this is 2.5 standard deviations of a mean over 100
/// calls. When all servers fail calls, their rates differ by chance.
constexpr double ChanceStdDevs = 0.25;

/// Returns the factor by which the host of a server changes its service time
/// now. An old report says less, because the host has changed since.
double hostSlowdown(const PlacementCandidate &Server) {
  if (Server.Load.ReportedSlowdown <= 0)
    return 1;
  const double Factor = std::clamp(Server.Load.ReportedSlowdown,
                                   1 / MaxHostSlowdown, MaxHostSlowdown);
  const double Weight = std::exp(
      -static_cast<double>(std::max(Server.LoadAge, Duration{}).count()) /
      static_cast<double>(SlowdownFadeTime.count()));
  return std::pow(Factor, Weight);
}

/// Returns whether a call goes to the server only if there is no other.
bool isLastResort(const PlacementCandidate &Server) {
  return Server.Load.Leaving || Server.Load.MemoryShort;
}

double concurrencyLimitOf(const ServerLoad &Load) {
  return Load.MaxRunning > 0 ? Load.MaxRunning : DefaultMaxRunning;
}

double assignedCalls(const PlacementCandidate &Server) {
  return Server.Load.Running + Server.Load.Waiting + Server.SentSince;
}

/// Returns whether a call that arrives now may start as far as the server being
/// cold is concerned.
bool hasStartLeft(const PlacementCandidate &Server) {
  return !Server.Load.Cold || Server.SentSince < Server.Load.ColdStartsLeft;
}

/// Returns the service time expected of a server: its own mean, as far as its
/// recent calls are evidence for it, and else the mean of the service. Both are
/// corrected for the present speed of its host.
double expectedServiceMicros(const PlacementCandidate &Server,
                             const ServiceBaseline &Baseline) {
  const ServerLoad &Load = Server.Load;
  const auto Typical = static_cast<double>(Baseline.MeanServiceTime.count());
  if (Load.MeanServiceTime.count() == 0)
    // A server that has nothing to do is tried, so that its speed is known
    // before it is needed. Otherwise it gets nothing while a faster one has
    // room.
    return assignedCalls(Server) == 0
               ? static_cast<double>(Baseline.MinServiceTime.count())
               : Typical;
  return hostSlowdown(Server) *
         (Load.RecentCalls * static_cast<double>(Load.MeanServiceTime.count()) +
          AssumedMeanCalls * Typical) /
         (Load.RecentCalls + AssumedMeanCalls);
}

/// Returns the time until a call may begin at the limit that the server named.
double requestWaitMicros(const PlacementCandidate &Server) {
  const ServerLoad &Load = Server.Load;
  if (Load.RequestsPerS <= 0)
    return 0;
  const double Ahead =
      Load.Waiting + Server.SentSince + 1.0 - Load.RequestsLeft;
  return std::max(0.0, Ahead) * 1e6 / Load.RequestsPerS;
}

bool hasIdleSlots(const PlacementCandidate &Server) {
  return requestWaitMicros(Server) == 0 &&
         assignedCalls(Server) <
             IdleUtilization * concurrencyLimitOf(Server.Load);
}

/// The server with the shortest expected time among those considered so far.
struct FastestServer {
  std::optional<std::size_t> Index;
  double Time = 0; ///< Expected time in microseconds.
};

void consider(FastestServer &Fastest, std::size_t Index, double Time) {
  if (!Fastest.Index || Time < Fastest.Time)
    Fastest = {Index, Time};
}

} // namespace

double usableSlots(const ServerLoad &Load) {
  const double Slots = Load.MaxRunning;
  const auto ServiceMicros = static_cast<double>(Load.MeanServiceTime.count());
  if (Load.RequestsPerS <= 0 || ServiceMicros <= 0)
    return Slots;
  return std::min(Slots, Load.RequestsPerS * ServiceMicros / 1e6);
}

double excessFailureRate(const ServerLoad &Load,
                         const ServiceBaseline &Baseline) {
  const double Chance = ChanceStdDevs * std::sqrt(Baseline.FailureRate *
                                                  (1 - Baseline.FailureRate));
  return std::max(0.0, Load.FailureRate - Baseline.FailureRate - Chance);
}

ServiceBaseline serviceBaseline(std::span<const PlacementCandidate> Servers) {
  double ServiceTimeSum = 0;
  double WeightSum = 0;
  ServiceBaseline Baseline{DefaultServiceTime, DefaultServiceTime, 1.0};
  for (const PlacementCandidate &Server : Servers) {
    Baseline.FailureRate =
        std::min(Baseline.FailureRate, Server.Load.FailureRate);
    if (Server.Load.MeanServiceTime.count() == 0)
      continue;
    Baseline.MinServiceTime =
        WeightSum == 0
            ? Server.Load.MeanServiceTime
            : std::min(Baseline.MinServiceTime, Server.Load.MeanServiceTime);
    // A server whose recent calls are not known counts as one call.
    const double Weight = Server.Load.RecentCalls + 1.0;
    ServiceTimeSum +=
        Weight * static_cast<double>(Server.Load.MeanServiceTime.count());
    WeightSum += Weight;
  }
  if (WeightSum > 0)
    Baseline.MeanServiceTime =
        Duration(static_cast<std::int64_t>(ServiceTimeSum / WeightSum));
  return Baseline;
}

Duration expectedResponseTime(const PlacementCandidate &Server,
                              const ServiceBaseline &Baseline) {
  const ServerLoad &Load = Server.Load;
  const double Limit = concurrencyLimitOf(Load);
  double Service = expectedServiceMicros(Server, Baseline);
  if (Server.ColdRemaining.count() > 0)
    Service *= WarmupSlowdown;
  const double Assigned = assignedCalls(Server);
  const double Utilization = std::min(1.0, Assigned / Limit);
  const double QueuedAhead = std::max(0.0, Assigned + 1 - Limit);
  double Time =
      Service * (1 + FullLoadSlowdown * Utilization * Utilization) +
      std::max(QueuedAhead * Service / Limit, requestWaitMicros(Server));
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

bool servesWithinZone(const PlacementCandidate &Server,
                      const ServiceBaseline &Baseline, Duration LatencyTarget) {
  return Server.SameZone && !isLastResort(Server) && hasStartLeft(Server) &&
         requestWaitMicros(Server) == 0 &&
         excessFailureRate(Server.Load, Baseline) == 0 &&
         assignedCalls(Server) <
             ZoneUtilization * concurrencyLimitOf(Server.Load) &&
         expectedResponseTime(Server, Baseline) <=
             LatencyTarget * ZoneTargetShare;
}

std::optional<std::size_t>
chooseServer(std::span<const PlacementCandidate> Servers,
             Duration LatencyTarget, std::minstd_rand &Random) {
  const ServiceBaseline Baseline = serviceBaseline(Servers);
  const bool WithinZone =
      std::ranges::any_of(Servers, [&](const PlacementCandidate &Server) {
        return servesWithinZone(Server, Baseline, LatencyTarget);
      });
  const bool NoneIsFit = std::ranges::all_of(Servers, isLastResort);
  const bool AnyStartLeft = std::ranges::any_of(
      Servers, [NoneIsFit](const PlacementCandidate &Server) {
        return hasStartLeft(Server) && (NoneIsFit || !isLastResort(Server));
      });
  std::uniform_real_distribution<double> Factor(1 - JitterFraction,
                                                1 + JitterFraction);
  FastestServer InZone;
  FastestServer Anywhere;
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    if (AnyStartLeft && !hasStartLeft(Servers[I]))
      continue;
    if (WithinZone && !Servers[I].SameZone)
      continue;
    if (isLastResort(Servers[I]) && !NoneIsFit)
      continue;
    const double Time =
        static_cast<double>(
            expectedResponseTime(Servers[I], Baseline).count()) *
        Factor(Random);
    consider(Anywhere, I, Time);
    if (Servers[I].SameZone)
      consider(InZone, I, Time);
  }
  if (!InZone.Index || hasIdleSlots(Servers[*Anywhere.Index]))
    return Anywhere.Index;
  const double LeastGain =
      ZoneGainShare *
      static_cast<double>(std::max(LatencyTarget, Duration{}).count());
  return InZone.Time <= Anywhere.Time + LeastGain ? InZone.Index
                                                  : Anywhere.Index;
}

} // namespace pollenwick
