#include <catch2/catch.hpp>

#include "MixedLoad.h"

using namespace pollenwick;

namespace {

void placeBySpeed(LoadModel &Model) { Model.placeBySpeed(); }

void placeBySpeedAndPriceByMean(LoadModel &Model) {
  Model.placeBySpeed();
  Model.priceByMean();
}

} // namespace

TEST_CASE("Long calls of little value don't displace short nested ones",
          "[shedding]") {
  // Guards against one mean cost for all calls of a service. A call of 880 ms
  // then costs as much as a nested one of 55 ms, and the plan admits the first
  // and refuses the valuable requests that need the second.
  for (const double Burst : {1.5, 2.0}) {
    const MixedLoad Load = mixedLoad(Burst);
    const auto ByMean = simulateMixedLoad(Load, placeBySpeedAndPriceByMean);
    const auto ByRoute = simulateMixedLoad(Load, placeBySpeed);
    CAPTURE(
        Burst, valueShare(Load, ByMean), valueShare(Load, ByRoute),
        shareInTarget(ByMean.at("order")), shareInTarget(ByRoute.at("order")),
        shareInTarget(ByMean.at("browse")), shareInTarget(ByRoute.at("browse")),
        shareInTarget(ByMean.at("export")),
        shareInTarget(ByRoute.at("export")));
    CHECK(valueShare(Load, ByRoute) > valueShare(Load, ByMean) + 0.015);
    CHECK(shareInTarget(ByRoute.at("order")) > 0.99);
    CHECK(shareInTarget(ByRoute.at("browse")) > 0.9);
    // It gets no more than is left, but is not starved.
    CHECK(shareInTarget(ByRoute.at("export")) > 0.1);
  }
}

TEST_CASE("Nothing is refused while the mixed load fits", "[shedding]") {
  // Guards against control that refuses long calls without an overload.
  const MixedLoad Load = mixedLoad(0.9);
  const auto ByRoute = simulateMixedLoad(Load, placeBySpeed);
  CAPTURE(shareInTarget(ByRoute.at("export")));
  CHECK(valueShare(Load, ByRoute) > 0.995);
}

TEST_CASE("Valuable requests are served after half of the innermost servers "
          "have left",
          "[shedding]") {
  // Guards against a plan that keeps the shares of the former capacity.
  MixedLoad Load = mixedLoad(1);
  for (std::size_t I : {0U, 2U})
    Load.Services.at("store")[I].LeavesAfter = std::chrono::seconds(4);
  const auto ByRoute =
      simulateMixedLoad(Load, placeBySpeed, std::chrono::seconds(6));
  CAPTURE(valueShare(Load, ByRoute), shareInTarget(ByRoute.at("order")),
          shareInTarget(ByRoute.at("browse")),
          shareInTarget(ByRoute.at("export")));
  CHECK(shareInTarget(ByRoute.at("order")) > 0.9);
  CHECK(shareInTarget(ByRoute.at("order")) >
        shareInTarget(ByRoute.at("export")));
}

TEST_CASE("The work of a route is known as long as some calls are admitted",
          "[shedding]") {
  ServiceWork Known;
  smoothServiceWork(Known, {{"export", {50, 44, false}}, {"item", {1e3, 55}}},
                    0.1);
  CHECK(directCallSeconds(Known, "export", 0.1) == Approx(0.88));
  CHECK(directCallSeconds(Known, "unknown", 0.1) == 0.1);
  // Without a nested route, the mean of the service stands for it.
  CHECK(nestedCallSeconds(Known, 0.1) == 0.1);

  SECTION("it outlasts reports that stop") {
    // Guards against a price that falls back to the mean when a route is
    // refused or its nodes are silent; it would be admitted again at once.
    for (int I = 0; I < 1000; ++I)
      smoothServiceWork(Known, {}, 0.1);
    CHECK(directCallSeconds(Known, "export", 0.1) == Approx(0.88));
  }
  SECTION("it follows a change within some seconds") {
    for (int I = 0; I < 30; ++I)
      smoothServiceWork(Known, {{"export", {10, 2, false}}}, 0.12);
    CHECK(directCallSeconds(Known, "export", 0.1) < 0.23);
  }
  SECTION("nested calls have the mean of the nested routes") {
    smoothServiceWork(Known, {{"item", {0, 0, true}}}, 0.1);
    CHECK(nestedCallSeconds(Known, 0.1) == Approx(0.055));
  }
}

TEST_CASE("A server's work is counted by route in bounded memory",
          "[shedding]") {
  RouteWork Work;
  const Duration Long = std::chrono::milliseconds(880);
  for (int I = 0; I < 2000; ++I)
    recordRouteWork(Work, "route-" + std::to_string(I), Long);
  CHECK(Work.Routes.size() <= 257);
  CHECK(Work.Routes.at("route-1").SlotMicros == 880'000);
  const Duration Mean = std::chrono::milliseconds(100);
  CHECK(expectedSlotTime(Work, "route-1", Mean) == Long);
  CHECK(expectedSlotTime(Work, "never-called", Mean) == Mean);
  // A server that has restarted may have another speed.
  forgetMeanSlotTimes(Work);
  CHECK(expectedSlotTime(Work, "route-1", Mean) == Mean);
  CHECK(Work.Routes.at("route-1").Calls == 1);
}

TEST_CASE("Valuable requests are answered in time by unevenly used servers",
          "[shedding]") {
  // Guards against nested calls and important requests that wait behind long
  // calls of little value. The placement judges servers by the mean of all
  // their calls, which differ in length, so that some queues become long.
  const MixedLoad Load = mixedLoad(1.2);
  const auto Results = simulateMixedLoad(Load, [](LoadModel &) {});
  CAPTURE(valueShare(Load, Results), shareInTarget(Results.at("order")),
          shareInTarget(Results.at("browse")),
          shareInTarget(Results.at("export")));
  CHECK(valueShare(Load, Results) > 0.8);
  CHECK(shareInTarget(Results.at("order")) > 0.95);
}
