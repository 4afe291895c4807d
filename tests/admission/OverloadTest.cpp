#include <catch2/catch.hpp>

#include "model/Scenario.h"

using namespace pollenwick;
using namespace pollenwick::model;

namespace {

/// Shorter than the measurement in bench/, so that the tests take seconds.
Timeline shortTimes() {
  Timeline Times;
  Times.Before = std::chrono::seconds(1);
  Times.Overload = std::chrono::seconds(3);
  Times.After = std::chrono::seconds(3);
  return Times;
}

Measures run(const Deployment &Fleet, const Scenario &Story, Variant Kind) {
  return runScenario(Fleet, Story, Kind, shortTimes(), 20261204);
}

} // namespace

TEST_CASE("Without control an overload outlasts its cause",
          "[admission][model]") {
  // Shows that the model can fail: the bounds of the tests below are not met.
  const Measures Result = run(lantern(), {"surge", 5}, Variant::NoControl);
  CHECK(Result.Goodput < 0.5);
  CHECK((Result.Recovery < 0 || Result.Recovery >= 2));
  CHECK(Result.UsefulWork < 0.9);
}

TEST_CASE("A fixed limit sheds deposits beside lookups", "[admission][model]") {
  // Shows that the model can fail G2.
  const Measures Result = run(lantern(), {"surge", 5}, Variant::FixedLimit);
  CHECK(Result.MoneyShedBesideWorse > 0);
}

TEST_CASE("The decisions keep whole requests through a surge",
          "[admission][model]") {
  for (const Deployment &Fleet : {lantern(), pier()}) {
    // The times of the measurement: in the first 3 s of a surge the levels of
    // neighboring services still settle (goodput 0.83 in lantern).
    const Measures Result =
        runScenario(Fleet, {"surge", 5}, Variant::Full, Timeline(), 20261204);
    INFO(Fleet.Name);
    // Guards against congestion collapse and against wasted work.
    CHECK(Result.Goodput > 0.85);
    CHECK(Result.UsefulWork > 0.98);
    CHECK(Result.DeadRuns == 0);
    // Guards against a recovery that waits for queues to drain.
    CHECK(Result.Recovery >= 0);
    CHECK(Result.Recovery < 2);
    // Guards G2.
    CHECK(Result.MoneyShedBesideWorse == 0);
  }
}

TEST_CASE("One customer's surge does not lower another's share",
          "[admission][model]") {
  const Measures Result =
      run(lantern(), {"hot", 0, 1, false, 10}, Variant::Full);
  // 3 s of traffic of a small customer are some 500 requests.
  CHECK(Result.WorstWithinRate > 0.95);
  CHECK(Result.Recovery < 2);
  CHECK(Result.MoneyShed == 0);
}

TEST_CASE("A run is deterministic", "[admission][model]") {
  // Guards against figures that cannot be reproduced.
  const Scenario Story{"surge", 2};
  const Measures First = run(pier(), Story, Variant::Full);
  const Measures Second = run(pier(), Story, Variant::Full);
  CHECK(First.Goodput == Second.Goodput);
  CHECK(First.RefusedWithinRate == Second.RefusedWithinRate);
}
