#include "core/routing/Routing.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

namespace pollenwick {

namespace {

/// Number of random draws that look for a usable host before all hosts are
/// scanned.
constexpr int MaxDraws = 8;

double slowStartFactor(const HostState &Host, const RoutingSettings &Settings,
                       Instant Now) {
  if (Now >= Host.SlowStartEndsAt)
    return 1;
  const double Left =
      std::chrono::duration<double>(Host.SlowStartEndsAt - Now) /
      std::chrono::duration<double>(Settings.SlowStartDuration);
  return Settings.SlowStartMinShare +
         (1 - Settings.SlowStartMinShare) * (1 - std::min(1.0, Left));
}

bool wasTried(std::span<const HostIndex> Tried, HostIndex Host) {
  return std::find(Tried.begin(), Tried.end(), Host) != Tried.end();
}

/// Hosts that a pass over the candidates accepts. Each value also accepts the
/// hosts of the values before it.
enum class HostFilter : std::uint8_t { HealthyOnly, Ejected, Tried };

bool isUsable(const HostTable &Table, HostIndex Host,
              std::span<const HostIndex> Tried, HostFilter Filter,
              Instant Now) {
  if (isDraining(Table, Host, Now))
    return false;
  if (Filter < HostFilter::Ejected && isEjected(Table, Host, Now))
    return false;
  return Filter == HostFilter::Tried || !wasTried(Tried, Host);
}

struct Candidate {
  std::optional<HostIndex> Host;
  double Load = 0;
};

/// Returns the less loaded of two random usable hosts. A host in slow start
/// gets few calls even when it is idle, because its load is divided by its slow
/// start factor.
Candidate chooseOfTwo(const HostTable &Table,
                      const std::vector<HostIndex> &Hosts,
                      std::span<const HostIndex> Tried, HostFilter Filter,
                      std::mt19937_64 &Random, Instant Now) {
  Candidate Best;
  if (Hosts.empty())
    return Best;
  auto Consider = [&](HostIndex Host) {
    if (Best.Host == Host || !isUsable(Table, Host, Tried, Filter, Now))
      return false;
    const double Load = loadPerSlot(Table, Host, Now);
    if (!Best.Host || Load < Best.Load)
      Best = {Host, Load};
    return true;
  };
  int Found = 0;
  for (int Draw = 0; Draw < MaxDraws && Found < 2; ++Draw)
    Found += Consider(Hosts[Random() % Hosts.size()]) ? 1 : 0;
  if (Found == 0)
    std::any_of(Hosts.begin(), Hosts.end(), Consider);
  return Best;
}

/// Chooses a host in the local zone, unless that zone is busy and clearly more
/// loaded than the others.
Candidate chooseByZone(const HostTable &Table, const ServiceHosts &Group,
                       const HostChoiceRequest &Request, HostFilter Filter,
                       std::mt19937_64 &Random, Instant Now) {
  Candidate Local;
  if (Request.Zone < Group.ByZone.size())
    Local = chooseOfTwo(Table, Group.ByZone[Request.Zone], Request.Tried,
                        Filter, Random, Now);
  if (Local.Host && Local.Load < Table.Settings.LocalZoneMaxLoad)
    return Local;
  const Candidate Any =
      chooseOfTwo(Table, Group.Hosts, Request.Tried, Filter, Random, Now);
  if (!Local.Host)
    return Any;
  const bool Imbalanced =
      Any.Host && Local.Load > Any.Load * Table.Settings.ZoneImbalanceRatio;
  return Imbalanced ? Any : Local;
}

/// Ejects a failing host, unless too many hosts of the service are ejected
/// already.
void eject(HostTable &Table, HostIndex Index, Instant Now) {
  HostState &Host = Table.Hosts[Index];
  ServiceHosts &Group = Table.Services[Host.Service];
  std::erase_if(Group.Ejected, [&](HostIndex Other) {
    return Other == Index || !isEjected(Table, Other, Now);
  });
  // The limit is a share of the hosts that can serve, which excludes draining
  // hosts.
  const auto Serving = static_cast<std::size_t>(std::count_if(
      Group.Hosts.begin(), Group.Hosts.end(),
      [&](HostIndex Other) { return !isDraining(Table, Other, Now); }));
  const auto Allowed = static_cast<std::size_t>(Table.Settings.MaxEjectedShare *
                                                static_cast<double>(Serving));
  if (Group.Ejected.size() >= Allowed)
    return;
  Group.Ejected.push_back(Index);
  const Duration Time = Table.Settings.BaseEjectionTime *
                        (1LL << std::min(Host.ConsecutiveEjections, 8U));
  Host.EjectedUntil = Now + std::min(Time, Table.Settings.MaxEjectionTime);
  ++Host.ConsecutiveEjections;
  Host.ConsecutiveFailures = 0;
}

void onAnswer(HostTable &Table, HostState &Host, const HostReply &Reply,
              Instant Now) {
  // The reported number includes the call being answered and this node's other
  // calls.
  const std::uint32_t LocalCalls = Host.LocalInFlight + 1;
  Host.RemoteInFlight = static_cast<float>(
      Reply.InFlight > LocalCalls ? Reply.InFlight - LocalCalls : 0);
  Host.LoadReportedAt = Now;
  Host.ConsecutiveFailures = 0;
  if (Now > Host.EjectedUntil + Table.Settings.MaxEjectionTime)
    Host.ConsecutiveEjections = 0;
}

} // namespace

bool isDraining(const HostTable &Table, HostIndex Host, Instant Now) {
  return Table.Hosts[Host].DrainingUntil > Now;
}

bool isEjected(const HostTable &Table, HostIndex Host, Instant Now) {
  return Table.Hosts[Host].EjectedUntil > Now;
}

double loadPerSlot(const HostTable &Table, HostIndex Index, Instant Now) {
  const HostState &Host = Table.Hosts[Index];
  const RoutingSettings &Settings = Table.Settings;
  const double Age = std::chrono::duration<double>(Now - Host.LoadReportedAt) /
                     std::chrono::duration<double>(Settings.LoadHalfLife);
  const double RemoteInFlight =
      Host.RemoteInFlight > 0 ? Host.RemoteInFlight * std::exp2(-Age) : 0;
  // The call to be placed is counted too, so that slow start also affects idle
  // hosts.
  double InFlight = RemoteInFlight + Host.LocalInFlight + 1;
  InFlight /= slowStartFactor(Host, Settings, Now);
  if (Host.LeavingHint)
    InFlight *= Settings.LeavingLoadFactor;
  return InFlight / Table.Services[Host.Service].Slots;
}

HostChoice chooseHost(HostTable &Table, const HostChoiceRequest &Request,
                      std::mt19937_64 &Random, Instant Now) {
  assert(Request.Service < Table.Services.size());
  const ServiceHosts &Group = Table.Services[Request.Service];
  for (HostFilter Filter :
       {HostFilter::HealthyOnly, HostFilter::Ejected, HostFilter::Tried}) {
    const Candidate Found =
        chooseByZone(Table, Group, Request, Filter, Random, Now);
    if (!Found.Host)
      continue;
    ++Table.Hosts[*Found.Host].LocalInFlight;
    return {Found.Host, RefusalReason::None};
  }
  return {std::nullopt, Group.Hosts.empty() ? RefusalReason::NoBackendServer
                                            : RefusalReason::Draining};
}

void onHostReply(HostTable &Table, HostIndex Index, const HostReply &Reply,
                 Instant Now) {
  HostState &Host = Table.Hosts[Index];
  if (Host.LocalInFlight > 0)
    --Host.LocalInFlight;
  switch (Reply.Kind) {
  case HostReplyKind::Answered:
    onAnswer(Table, Host, Reply, Now);
    break;
  case HostReplyKind::Draining:
    onHostDraining(Table, Index, Now);
    break;
  case HostReplyKind::Failed:
    if (++Host.ConsecutiveFailures >= Table.Settings.FailuresToEject &&
        !isEjected(Table, Index, Now))
      eject(Table, Index, Now);
    break;
  case HostReplyKind::Abandoned:
    break;
  }
}

void onHostDraining(HostTable &Table, HostIndex Host, Instant Now) {
  Table.Hosts[Host].DrainingUntil = Now + Table.Settings.DrainingLifetime;
}

void onHostIncarnation(HostTable &Table, HostIndex Index, std::uint64_t Start,
                       Instant Now) {
  HostState &Host = Table.Hosts[Index];
  if (Host.Start == Start)
    return;
  const bool First = Host.Start == 0;
  Host.Start = Start;
  if (First)
    return; // The first known incarnation does not indicate a restart.
  Host.DrainingUntil = Instant{};
  Host.EjectedUntil = Instant{};
  Host.ConsecutiveFailures = 0;
  Host.ConsecutiveEjections = 0;
  Host.RemoteInFlight = 0;
  Host.LeavingHint = false;
  Host.SlowStartEndsAt = Now + Table.Settings.SlowStartDuration;
}

void onHostListHint(HostTable &Table, HostIndex Host, bool Leaving) {
  Table.Hosts[Host].LeavingHint = Leaving;
}

} // namespace pollenwick
