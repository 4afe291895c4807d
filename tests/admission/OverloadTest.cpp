#include <catch2/catch.hpp>

#include "model/Scenario.h"

using namespace pollenwick;
using namespace pollenwick::model;

namespace {

/// Returns shorter phases than the benchmark in bench/ uses, so that the tests
/// take only seconds.
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
  // Shows that the model can fail: without control, it violates the bounds that
  // the tests below check.
  const Measures Result = run(lantern(), {"surge", 5}, Variant::NoControl);
  CHECK(Result.Goodput < 0.5);
  CHECK((Result.Recovery < 0 || Result.Recovery >= 2));
  CHECK(Result.UsefulWork < 0.9);
}

TEST_CASE("A fixed limit sheds deposits while it admits lookups",
          "[admission][model]") {
  // Shows that the model can violate the guarantee that deposits are shed last.
  const Measures Result = run(lantern(), {"surge", 5}, Variant::FixedLimit);
  CHECK(Result.MoneyShedBesideWorse > 0);
}

TEST_CASE("Admission control keeps requests completing during a surge",
          "[admission][model]") {
  for (const Deployment &Fleet : {lantern(), pier()}) {
    // Uses the full phases of the benchmark, because the levels of neighboring
    // services take 3 s to settle after the onset of a surge (goodput 0.83 in
    // lantern during that time).
    const Measures Result =
        runScenario(Fleet, {"surge", 5}, Variant::Full, Timeline(), 20261204);
    INFO(Fleet.Name);
    // Guards against congestion collapse and against wasted work.
    CHECK(Result.Goodput > 0.85);
    CHECK(Result.UsefulWork > 0.98);
    CHECK(Result.DeadRuns == 0);
    // Guards against a recovery that takes until long queues have drained.
    CHECK(Result.Recovery >= 0);
    CHECK(Result.Recovery < 2);
    // Guards against shedding deposits while calls of worse classes are
    // admitted.
    CHECK(Result.MoneyShedBesideWorse == 0);
  }
}

TEST_CASE("One customer's surge does not lower another's share",
          "[admission][model]") {
  const Measures Result =
      run(lantern(), {"hot", 0, 1, false, 10}, Variant::Full);
  // A small customer sends about 500 requests within the 3 s of the overload.
  CHECK(Result.WorstWithinRate > 0.95);
  CHECK(Result.Recovery < 2);
  CHECK(Result.MoneyShed == 0);
}

TEST_CASE("Two runs with the same seed give the same results",
          "[admission][model]") {
  // Guards against measurements that cannot be reproduced.
  const Scenario Story{"surge", 2};
  const Measures First = run(pier(), Story, Variant::Full);
  const Measures Second = run(pier(), Story, Variant::Full);
  CHECK(First.Goodput == Second.Goodput);
  CHECK(First.RefusedWithinRate == Second.RefusedWithinRate);
}
