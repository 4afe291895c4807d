#include "core/routing/HostTable.h"

#include <algorithm>

namespace pollenwick {

namespace {

std::uint32_t zoneIndex(HostTable &Table, const ZoneId &Zone) {
  const auto Found = std::find(Table.Zones.begin(), Table.Zones.end(), Zone);
  const auto Index = static_cast<std::uint32_t>(Found - Table.Zones.begin());
  if (Found == Table.Zones.end())
    Table.Zones.push_back(Zone);
  return Index;
}

HostState initialHostState(const HostSpec &Spec, const HostTable *Old,
                           Instant Now, Duration SlowStartDuration) {
  HostState State;
  if (!Old)
    return State;
  if (auto Known = Old->IndexByHost.find(Spec.Id);
      Known != Old->IndexByHost.end())
    return Old->Hosts[Known->second];
  State.SlowStartEndsAt = Now + SlowStartDuration;
  return State;
}

} // namespace

HostTable makeHostTable(const Bundle &Rules, const BundleIndex &Reach,
                        const HostTable *Old, Instant Now,
                        RoutingSettings Settings) {
  HostTable Table;
  Table.Settings = Settings;
  Table.Services.resize(Reach.Services.size());
  for (ServiceIndex Service = 0; Service < Reach.Services.size(); ++Service)
    Table.Services[Service].Slots = Reach.Slots[Service];
  for (const HostSpec &Spec : Rules.Hosts) {
    const auto Index = static_cast<HostIndex>(Table.Hosts.size());
    HostState State =
        initialHostState(Spec, Old, Now, Settings.SlowStartDuration);
    State.Zone = zoneIndex(Table, Spec.Zone);
    const auto Service = Reach.ServiceByName.find(Spec.Service);
    Table.IndexByHost[Spec.Id] = Index;
    if (Service != Reach.ServiceByName.end()) {
      State.Service = Service->second;
      ServiceHosts &Group = Table.Services[State.Service];
      Group.Hosts.push_back(Index);
      if (State.EjectedUntil > Now)
        Group.Ejected.push_back(Index);
    }
    Table.Hosts.push_back(State);
  }
  for (ServiceHosts &Group : Table.Services) {
    Group.ByZone.resize(Table.Zones.size());
    for (HostIndex Host : Group.Hosts)
      Group.ByZone[Table.Hosts[Host].Zone].push_back(Host);
  }
  return Table;
}

} // namespace pollenwick
