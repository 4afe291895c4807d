#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <iostream>

#include "Simulation.h"

using namespace pollenwick;
using namespace pollenwick::simulation;

namespace {

// Eighteen watchers read once per second, and each revision adds the read of a
// changed chunk. One second of the count may contain two of each per watcher.
constexpr std::size_t MaxReadsPerSecond = 72;
constexpr milliseconds FaultSpan{20'000};

std::vector<Fault> drawFaults(std::size_t Count) {
  return *rc::gen::container<std::vector<Fault>>(
      Count,
      rc::gen::build<Fault>(
          rc::gen::set(&Fault::At,
                       rc::gen::map(rc::gen::inRange(0, 20'000),
                                    [](int V) { return milliseconds(V); })),
          rc::gen::set(
              &Fault::Kind,
              rc::gen::map(rc::gen::inRange(0, FaultKinds),
                           [](int V) { return static_cast<FaultKind>(V); })),
          rc::gen::set(&Fault::TargetDraw,
                       rc::gen::inRange<std::uint32_t>(0, 1000)),
          rc::gen::set(&Fault::Length,
                       rc::gen::map(rc::gen::inRange(0, 8'000),
                                    [](int V) { return milliseconds(V); }))));
}

struct RolloutMeasurement {
  double Seconds = 0;
  std::size_t ReadsInSteadyState = 0;
  std::size_t ReadsAtStart = 0;
  double StartSeconds = 0;
  double SecondsInRestarts =
      0; ///< Rollout time while a third of the nodes restarts.
  std::size_t ReadsInRestarts = 0;
};

double secondsUntil(Fleet &Fleet, const ConfigVersion &Wanted) {
  const Instant Begin = Fleet.Now;
  while (!Fleet.allHave(Wanted) && Fleet.Now - Begin < std::chrono::seconds(60))
    Fleet.run(milliseconds(50));
  return std::chrono::duration<double>(Fleet.Now - Begin).count();
}

RolloutMeasurement measure(std::size_t Nodes) {
  FleetOptions Options;
  Options.Nodes = Nodes;
  Options.Zones = 9;
  Fleet Fleet(Options);
  RolloutMeasurement Result;
  const RevisionPointer First = Fleet.publish(nullptr);
  Result.StartSeconds = secondsUntil(Fleet, {First.Number, First.Root});
  Result.ReadsAtStart = Fleet.maxReadsPerSecond({});
  Fleet.run(milliseconds(10'000));
  const Instant Steady = Fleet.Now + std::chrono::seconds(1);
  for (int Round = 0; Round < 3; ++Round) {
    Fleet.run(milliseconds(2'130));
    const RevisionPointer Next = Fleet.publish(Fleet.published());
    Result.Seconds =
        std::max(Result.Seconds, secondsUntil(Fleet, {Next.Number, Next.Root}));
  }
  Fleet.run(milliseconds(2'000));
  Result.ReadsInSteadyState = Fleet.maxReadsPerSecond(Steady);
  const Instant Restarts = Fleet.Now + std::chrono::seconds(1);
  Fleet.run(milliseconds(1'000));
  Fleet.apply({{milliseconds(0), FaultKind::RestartMany, 0, milliseconds(0)}});
  const RevisionPointer Next = Fleet.publish(Fleet.published());
  Fleet.run(milliseconds(50));
  Result.SecondsInRestarts = secondsUntil(Fleet, {Next.Number, Next.Root});
  Fleet.run(milliseconds(3'000));
  Result.ReadsInRestarts = Fleet.maxReadsPerSecond(Restarts);
  return Result;
}

} // namespace

TEST_CASE("Revisions only move forward and the fleet agrees", "[config]") {
  rc::prop("under any sequence of faults", [] {
    const std::vector<Fault> Faults =
        drawFaults(*rc::gen::inRange<std::size_t>(1, 14));
    FleetOptions Options;
    Options.Seed = *rc::gen::arbitrary<std::uint32_t>();
    Fleet Fleet(Options);
    Fleet.publish(nullptr);
    Fleet.run(milliseconds(8'000));
    Fleet.apply(Faults);
    // Faults may last 8 s beyond the span; 10 s without faults follow.
    Fleet.run(FaultSpan + milliseconds(8'000) + milliseconds(10'000));
    for (const std::string &Text : Fleet.Violations)
      RC_FAIL(Text);
    RC_ASSERT(Fleet.allAgree());
    const RevisionPointer *Last = Fleet.published();
    RC_ASSERT(Fleet.allHave({Last->Number, Last->Root}));
  });
}

TEST_CASE("A fleet that adopts the last read revision reverts to older ones",
          "[config]") {
  // Guards against properties above that detect nothing: they must fail for
  // nodes that adopt any revision they read, even an older one.
  FleetOptions Options;
  Options.LastReadWins = true;
  Fleet Fleet(Options);
  Fleet.publish(nullptr);
  Fleet.run(milliseconds(8'000));
  REQUIRE(Fleet.Violations.empty());
  Fleet.publish(Fleet.published());

  SECTION("in an ordinary rollout, by pulls from a parent that is behind") {
    Fleet.run(milliseconds(8'000));
  }
  SECTION("by a read from a stale configuration service") {
    Fleet.run(milliseconds(8'000));
    Fleet.Violations.clear();
    Fleet.apply(
        {{milliseconds(0), FaultKind::ServiceStale, 1, milliseconds(4'000)}});
    Fleet.run(milliseconds(6'000));
  }
  REQUIRE_FALSE(Fleet.Violations.empty());
  CHECK(Fleet.Violations[0].find("went back to revision 1") !=
        std::string::npos);
}

TEST_CASE("The fleet converges after two operators publish concurrently",
          "[config]") {
  FleetOptions Options;
  Fleet Fleet(Options);
  const RevisionPointer Base = Fleet.publish(nullptr);
  Fleet.run(milliseconds(8'000));
  const RevisionPointer First = Fleet.publish(&Base);
  Fleet.run(milliseconds(4'000));
  const RevisionPointer Second = Fleet.publish(&Base);
  Fleet.run(milliseconds(6'000));

  SECTION("every node adopts the same one of the two revisions") {
    // Guards against an order of revisions that depends on their arrival.
    const ConfigVersion Winner =
        std::max(ConfigVersion{First.Number, First.Root},
                 ConfigVersion{Second.Number, Second.Root});
    for (const Node &Item : Fleet.Nodes)
      CHECK(Fleet.inForce(Item) == Winner);
  }

  SECTION("the fork is reported by the nodes that saw both") {
    std::size_t Reports = 0;
    for (const Node &Item : Fleet.Nodes)
      Reports += Item.State.ForkCount > 0 ? 1 : 0;
    // The first revision was in force at all nodes, and the six watchers read
    // the second one.
    CHECK(Reports >= 6);
  }

  SECTION("the next revision of either operator ends the fork") {
    // Guards against a fork whose losing branch prevents later revisions.
    const bool FirstLost = First.Root < Second.Root;
    const RevisionPointer Next = Fleet.publish(FirstLost ? &First : &Second);
    Fleet.run(milliseconds(6'000));
    CHECK(Fleet.allHave({Next.Number, Next.Root}));
  }
}

TEST_CASE("A node that starts during an outage learns the newest revision",
          "[config]") {
  Fleet Fleet{FleetOptions{}};
  Fleet.publish(nullptr);
  Fleet.run(milliseconds(8'000));
  const RevisionPointer Next = Fleet.publish(Fleet.published());
  Fleet.run(milliseconds(6'000));

  SECTION("from peers while the service is down") {
    Fleet.apply(
        {{milliseconds(0), FaultKind::ServiceDown, 0, milliseconds(60'000)}});
  }
  SECTION("from peers while the service is stale") {
    Fleet.apply(
        {{milliseconds(0), FaultKind::ServiceStale, 1, milliseconds(60'000)}});
  }
  Fleet.run(milliseconds(6'000));
  for (std::size_t I = 0; I < Fleet.Nodes.size(); I += 4)
    Fleet.restart(I);
  Fleet.run(milliseconds(8'000));
  CHECK(Fleet.allHave({Next.Number, Next.Root}));
  CHECK(Fleet.Violations.empty());
  for (const Node &Item : Fleet.Nodes)
    CHECK(Item.State.Serving);
}

TEST_CASE("A single leaf with the newest revision spreads it to the fleet",
          "[config]") {
  // Guards against pulls from parents only. If all other nodes restart while
  // the service is stale, the watchers are behind a leaf.
  Fleet Fleet{FleetOptions{}};
  Fleet.publish(nullptr);
  Fleet.run(milliseconds(8'000));
  const RevisionPointer Next = Fleet.publish(Fleet.published());
  Fleet.run(milliseconds(6'000));
  Fleet.apply(
      {{milliseconds(0), FaultKind::ServiceStale, 1, milliseconds(60'000)}});
  Fleet.run(milliseconds(1'000));
  const auto Leaf = std::find_if(
      Fleet.Nodes.begin(), Fleet.Nodes.end(), [&](const Node &Item) {
        return !Item.Sources.IsWatcher &&
               std::find(Fleet.Witnesses.begin(), Fleet.Witnesses.end(),
                         Item.Host) == Fleet.Witnesses.end();
      });
  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
    if (&Fleet.Nodes[I] != &*Leaf) {
      Fleet.restart(I);
      std::erase(Fleet.Nodes[I].Sources.Parents, Leaf->Host);
    }
  Fleet.run(milliseconds(12'000));
  CHECK(Fleet.allHave({Next.Number, Next.Root}));
}

TEST_CASE("Reads of the service do not grow with the fleet", "[config]") {
  // Guards against reads by every node: the service handles 2,000 reads/s.
  const RolloutMeasurement Small = measure(30);
  const RolloutMeasurement Large = measure(300);
  CHECK(Small.ReadsInSteadyState <= MaxReadsPerSecond);
  CHECK(Large.ReadsInSteadyState <= MaxReadsPerSecond);
  CHECK(Small.Seconds < 5);
  CHECK(Large.Seconds < 5);
}

TEST_CASE("Measures rollout times and reads at three fleet sizes",
          "[.measure]") {
  std::cout << "nodes  in force (s)  reads/s  cold start (s)  reads/s  "
               "in restarts (s)  reads/s\n";
  for (const std::size_t Nodes : {30U, 300U, 3000U}) {
    const RolloutMeasurement Result = measure(Nodes);
    std::cout << Nodes << "  " << Result.Seconds << "  "
              << Result.ReadsInSteadyState << "  " << Result.StartSeconds
              << "  " << Result.ReadsAtStart << "  " << Result.SecondsInRestarts
              << "  " << Result.ReadsInRestarts << '\n';
    CHECK(Result.Seconds < 14);
    CHECK(Result.ReadsAtStart < 2000);
    CHECK(Result.SecondsInRestarts < 14);
    CHECK(Result.ReadsInRestarts < 2000);
  }
}
