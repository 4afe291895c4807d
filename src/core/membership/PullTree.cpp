#include "core/membership/PullTree.h"

#include <algorithm>
#include <iterator>

namespace pollenwick {
namespace {

constexpr std::size_t WatchersPerZone = 2;
constexpr std::size_t MaxParents = 4;

// Returns the usable hosts of a zone by rank. The own host is always included;
// otherwise a leaving node would have no place in the pull tree.
std::vector<std::size_t> usableByRank(const MembershipState &State,
                                      const ZoneId &Zone) {
  std::vector<std::size_t> Usable;
  if (const auto Found = State.ZoneRanks.find(Zone);
      Found != State.ZoneRanks.end())
    std::copy_if(Found->second.begin(), Found->second.end(),
                 std::back_inserter(Usable), [&](std::size_t Index) {
                   return Index == State.SelfIndex ||
                          isUsable(State.Members[Index]);
                 });
  return Usable;
}

// Returns the watchers of the other zones. The order of the zones depends on
// the own host, so that the watchers of one zone do not all ask the same zone.
std::vector<HostId> watchersOfOtherZones(const MembershipState &State) {
  const Member &Own = State.Members[State.SelfIndex];
  std::vector<ZoneId> Zones;
  for (const auto &[Zone, Members] : State.ZoneRanks)
    if (Zone != Own.Zone)
      Zones.push_back(Zone);
  std::sort(Zones.begin(), Zones.end(), [&](const ZoneId &A, const ZoneId &B) {
    return std::pair(rendezvousWeight(A.Text, Own.LatestUpdate.Host), A) <
           std::pair(rendezvousWeight(B.Text, Own.LatestUpdate.Host), B);
  });
  std::vector<HostId> Found;
  for (const ZoneId &Zone : Zones)
    for (const HostId &Host : watchers(State, Zone))
      if (Found.size() < MaxParents)
        Found.push_back(Host);
  return Found;
}

} // namespace

std::vector<HostId> watchers(const MembershipState &State, const ZoneId &Zone) {
  std::vector<HostId> Found;
  if (const auto Ranks = State.ZoneRanks.find(Zone);
      Ranks != State.ZoneRanks.end())
    for (const std::size_t Index : Ranks->second)
      if (Found.size() < WatchersPerZone && isUsable(State.Members[Index]))
        Found.push_back(State.Members[Index].LatestUpdate.Host);
  return Found;
}

bool isWatcher(const MembershipState &State) {
  const Member &Own = State.Members[State.SelfIndex];
  const std::vector<HostId> Found = watchers(State, Own.Zone);
  return std::find(Found.begin(), Found.end(), Own.LatestUpdate.Host) !=
         Found.end();
}

std::vector<HostId> pullParents(const MembershipState &State,
                                const MembershipSettings &Settings) {
  const std::vector<std::size_t> Ranked =
      usableByRank(State, State.Members[State.SelfIndex].Zone);
  const auto Own = static_cast<std::size_t>(
      std::find(Ranked.begin(), Ranked.end(), State.SelfIndex) -
      Ranked.begin());
  if (Own < WatchersPerZone)
    return watchersOfOtherZones(State);
  const std::size_t Parent = (Own - WatchersPerZone) / Settings.PullTreeFanOut;
  // The parent is followed by its neighbor at the same level and the watchers.
  std::vector<std::size_t> Order{Parent};
  for (const std::size_t Next : {Parent ^ 1U, std::size_t{0}, std::size_t{1}})
    if (Next < Own &&
        std::find(Order.begin(), Order.end(), Next) == Order.end())
      Order.push_back(Next);
  std::vector<HostId> Parents;
  Parents.reserve(Order.size());
  for (const std::size_t Index : Order)
    Parents.push_back(State.Members[Ranked[Index]].LatestUpdate.Host);
  return Parents;
}

} // namespace pollenwick
