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

HostState startState(const HostSpec &Spec, const HostTable *Old, Instant Now,
                     Duration SlowStart) {
  HostState State;
  if (!Old)
    return State;
  if (auto Known = Old->ByName.find(Spec.Id); Known != Old->ByName.end())
    return Old->Hosts[Known->second];
  State.WarmAt = Now + SlowStart;
  return State;
}

} // namespace

HostTable makeHostTable(const Bundle &Rules, const BundleIndex &Reach,
                        const HostTable *Old, Instant Now,
                        RoutingTuning Tuning) {
  HostTable Table;
  Table.Tuning = Tuning;
  Table.Services.resize(Reach.Services.size());
  for (ServiceIndex Service = 0; Service < Reach.Services.size(); ++Service)
    Table.Services[Service].Slots = Reach.Slots[Service];
  for (const HostSpec &Spec : Rules.Hosts) {
    const auto Index = static_cast<HostIndex>(Table.Hosts.size());
    HostState State = startState(Spec, Old, Now, Tuning.SlowStart);
    State.Zone = zoneIndex(Table, Spec.Zone);
    const auto Service = Reach.ServiceByName.find(Spec.Service);
    Table.ByName[Spec.Id] = Index;
    if (Service != Reach.ServiceByName.end()) {
      State.Service = Service->second;
      ServiceHosts &Group = Table.Services[State.Service];
      Group.All.push_back(Index);
      if (State.EjectedUntil > Now)
        Group.Ejected.push_back(Index);
    }
    Table.Hosts.push_back(State);
  }
  for (ServiceHosts &Group : Table.Services) {
    Group.ByZone.resize(Table.Zones.size());
    for (HostIndex Host : Group.All)
      Group.ByZone[Table.Hosts[Host].Zone].push_back(Host);
  }
  return Table;
}

} // namespace pollenwick
