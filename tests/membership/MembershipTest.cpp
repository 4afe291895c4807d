#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <iostream>
#include <queue>
#include <random>

#include "core/membership/Membership.h"
#include "core/membership/PullTree.h"

using namespace pollenwick;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Simulates hosts that exchange heartbeats on a virtual clock.
struct Cluster {
  MembershipSettings Settings;
  Instant Now{seconds(1000)};
  std::mt19937 Random;
  std::vector<HostAndZone> Hosts;
  std::vector<MembershipState> States;
  std::vector<bool> Up;
  std::size_t CutZone = 99; ///< Zone cut off from the others; 99: none.
  std::uint32_t LossPermille = 0;
  std::size_t MaxTargets = 0;
  std::uint64_t NextStart = 1;

  Cluster(std::size_t Count, std::size_t Zones, std::uint32_t Seed)
      : Random(Seed), Up(Count, true) {
    for (std::size_t I = 0; I < Count; ++I)
      Hosts.push_back({HostId("h" + std::to_string(I)),
                       ZoneId("z" + std::to_string(I % Zones))});
    for (std::size_t I = 0; I < Count; ++I) {
      States.emplace_back();
      start(I);
    }
  }

  void start(std::size_t At) {
    const auto Clock =
        static_cast<std::uint64_t>(Now.time_since_epoch().count());
    States[At] =
        beginMembership(Hosts[At], StartId(NextStart++), Clock, Random(), Now);
    setHosts(States[At], Hosts, Now);
    Up[At] = true;
  }

  std::size_t zoneOf(std::size_t At) const {
    return std::stoul(Hosts[At].Zone.Text.substr(1));
  }

  void step() {
    Now += milliseconds(100);
    for (std::size_t I = 0; I < States.size(); ++I) {
      if (!Up[I])
        continue;
      const auto Due = dueHeartbeats(States[I], Settings, Revision(1), {}, Now);
      if (!Due)
        continue;
      MaxTargets = std::max(MaxTargets, Due->Targets.size());
      for (const HostId &Target : Due->Targets) {
        const std::size_t To = std::stoul(Target.Text.substr(1));
        const bool Cut = (zoneOf(I) == CutZone) != (zoneOf(To) == CutZone);
        if (Up[To] && !Cut && Random() % 1000 >= LossPermille)
          onHeartbeat(States[To], Settings, Due->Message, Now);
      }
    }
  }

  void run(Duration Length) {
    for (const Instant End = Now + Length; Now < End;)
      step();
  }

  template <typename Test>
  bool allOthers(std::size_t Subject, Test Predicate) const {
    for (std::size_t I = 0; I < States.size(); ++I)
      if (Up[I] && I != Subject &&
          !Predicate(*findMember(States[I], Hosts[Subject].Host)))
        return false;
    return true;
  }

  template <typename Test>
  double secondsUntil(std::size_t Subject, Test Predicate) {
    const Instant Begin = Now;
    while (!allOthers(Subject, Predicate) && Now - Begin < seconds(60))
      step();
    return std::chrono::duration<double>(Now - Begin).count();
  }
};

bool isDead(const Member &Item) {
  return Item.LatestUpdate.Status == Liveness::Dead;
}
bool isAlive(const Member &Item) {
  return Item.LatestUpdate.Status < Liveness::Dead;
}

} // namespace

TEST_CASE("Hosts learn of each other by heartbeats", "[membership]") {
  Cluster Fleet(30, 3, 20261204);
  Fleet.run(seconds(10));

  SECTION("no host is suspected while there are no faults") {
    for (std::size_t I = 0; I < 30; ++I)
      CHECK(Fleet.allOthers(I, isUsable));
    CHECK(Fleet.MaxTargets <= 8);
  }

  SECTION("a silent host is dead at all others and alive after its restart") {
    Fleet.Up[7] = false;
    CHECK(Fleet.secondsUntil(7, isDead) < 15);
    Fleet.start(7);
    CHECK(Fleet.secondsUntil(7, isUsable) < 15);
  }

  SECTION("a host that restarts with its clock set back is accepted as alive") {
    // Guards against ignoring a new process whose sequences are lower than
    // those of the process before it.
    Fleet.Up[7] = false;
    Fleet.secondsUntil(7, isDead);
    Fleet.start(7);
    Fleet.States[7].Members[0].LatestUpdate.Sequence = 1;
    CHECK(Fleet.secondsUntil(7, isUsable) < 30);
  }

  SECTION("a leaving host is known as leaving, its next incarnation is not") {
    beginLeaving(Fleet.States[7], Fleet.Settings);
    const double Seconds = Fleet.secondsUntil(
        7, [](const Member &Item) { return Item.LatestUpdate.Leaving; });
    CHECK(Seconds <= 5);
    Fleet.start(7);
    CHECK(Fleet.secondsUntil(7, isUsable) < 15);
  }

  SECTION("the sides of a network partition find each other again") {
    // Guards against hosts that stay dead because no host contacts them.
    Fleet.CutZone = 1;
    Fleet.run(seconds(60));
    for (std::size_t I = 0; I < 30; ++I)
      CHECK(isDead(
          *findMember(Fleet.States[I], Fleet.Hosts[I % 3 == 1 ? 0 : 1].Host)));
    Fleet.CutZone = 99;
    const Instant Healed = Fleet.Now;
    for (std::size_t I = 0; I < 30; ++I)
      Fleet.secondsUntil(I, isUsable);
    CHECK(Fleet.Now - Healed < seconds(15));
  }

  SECTION("a process suspects no live hosts after a pause of its own") {
    Fleet.Up[7] = false;
    Fleet.run(seconds(2));
    MembershipState &Paused = Fleet.States[7];
    const Instant Wake = Fleet.Now + seconds(30);
    const auto Due =
        dueHeartbeats(Paused, Fleet.Settings, Revision(1), {}, Wake);
    REQUIRE(Due);
    for (std::size_t I = 0; I < 30; ++I)
      CHECK(isAlive(*findMember(Paused, Fleet.Hosts[I].Host)));
  }
}

TEST_CASE("Hosts recover from heavy message loss", "[membership]") {
  rc::prop("after heavy losses every host is usable again", [] {
    Cluster Fleet(12, 3, *rc::gen::arbitrary<std::uint32_t>());
    Fleet.run(seconds(5));
    Fleet.LossPermille = *rc::gen::inRange<std::uint32_t>(0, 700);
    Fleet.run(seconds(15));
    Fleet.LossPermille = 0;
    Fleet.run(seconds(30));
    for (std::size_t I = 0; I < 12; ++I)
      RC_ASSERT(Fleet.allOthers(I, isUsable));
  });
}

TEST_CASE("The pull tree of a zone", "[membership]") {
  Cluster Fleet(333, 1, 7);
  MembershipState &State = Fleet.States[0];
  const std::vector<HostId> Top = watchers(State, ZoneId("z0"));
  REQUIRE(Top.size() == 2);
  std::map<HostId, std::size_t> Children;
  std::map<HostId, HostId> ParentOf;
  for (std::size_t I = 0; I < State.Members.size(); ++I) {
    State.SelfIndex = I;
    const std::vector<HostId> Parents = pullParents(State, Fleet.Settings);
    if (isWatcher(State))
      continue;
    REQUIRE_FALSE(Parents.empty());
    ParentOf[State.Members[I].LatestUpdate.Host] = Parents[0];
    ++Children[Parents[0]];
  }

  SECTION("has fan-out 16 and is two levels deep at 333 hosts") {
    // Guards against a parent that gets the pulls of most of the zone.
    for (const auto &[Host, Count] : Children)
      CHECK(Count <= 16);
    for (auto [Host, Parent] : ParentOf) {
      std::size_t Depth = 1;
      while (ParentOf.contains(Parent) && Depth < 9) {
        Parent = ParentOf[Parent];
        ++Depth;
      }
      CHECK(Depth <= 2);
    }
  }

  SECTION("replaces a dead watcher and a dead parent") {
    // Finds a host on the second level, whose parent is not a watcher.
    const auto Child =
        std::find_if(ParentOf.begin(), ParentOf.end(), [&](const auto &Item) {
          return ParentOf.contains(Item.second);
        });
    State.SelfIndex = State.IndexByHost.at(Child->first);
    const HostId Old = Child->second;
    State.Members[State.IndexByHost.at(Old)].LatestUpdate.Status =
        Liveness::Dead;
    State.Members[State.IndexByHost.at(Top[0])].LatestUpdate.Status =
        Liveness::Dead;
    const std::vector<HostId> Parents = pullParents(State, Fleet.Settings);
    REQUIRE_FALSE(Parents.empty());
    CHECK(std::find(Parents.begin(), Parents.end(), Old) == Parents.end());
    CHECK(watchers(State, ZoneId("z0"))[0] == Top[1]);
  }
}

TEST_CASE("Heartbeats take precedence over the platform's lagging host list",
          "[membership]") {
  Cluster Fleet(6, 1, 3);
  Fleet.run(seconds(10));
  MembershipState &State = Fleet.States[0];
  const HostId Host("h3");
  const auto Usable = [&] { return isUsable(*findMember(State, Host)); };

  SECTION("a host that sends heartbeats stays usable without a list entry") {
    onHostList(State, {});
    CHECK(Usable());
  }

  SECTION("a leaving mark applies only to the incarnation known at the time") {
    // Guards against excluding a restarted host because of an old list entry.
    onHostList(State, {{Host, true}});
    CHECK_FALSE(Usable());
    Fleet.start(3);
    Fleet.run(seconds(8));
    onHostList(State, {{Host, true}});
    CHECK(Usable());
  }

  SECTION("the list alone decides about a host that never sent a heartbeat") {
    setHosts(State, {{Host, ZoneId("z0")}, {HostId("new"), ZoneId("z0")}},
             Fleet.Now);
    onHostList(State, {{Host, false}});
    CHECK_FALSE(isUsable(*findMember(State, HostId("new"))));
    onHostList(State, {{HostId("new"), false}});
    CHECK(isUsable(*findMember(State, HostId("new"))));
  }
}

TEST_CASE("Measures failure detection times at three fleet sizes",
          "[.measure]") {
  // Guards against updates that are delayed because a large fleet produces more
  // of them than heartbeats can carry.
  std::cout << "hosts  dead known (s)  leaving known (s)  targets\n";
  for (const std::size_t Count : {30U, 300U, 3000U}) {
    Cluster Fleet(Count, 9, 20261204);
    Fleet.run(seconds(10));
    Fleet.Up[7] = false;
    const double Dead = Fleet.secondsUntil(7, isDead);
    beginLeaving(Fleet.States[8], Fleet.Settings);
    const double Leaving = Fleet.secondsUntil(
        8, [](const Member &Item) { return Item.LatestUpdate.Leaving; });
    std::cout << Count << "  " << Dead << "  " << Leaving << "  "
              << Fleet.MaxTargets << '\n';
    CHECK(Fleet.MaxTargets <= 8);
  }
}
