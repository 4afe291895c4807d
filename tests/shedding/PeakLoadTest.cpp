#include <catch2/catch.hpp>

#include <algorithm>

#include "LoadModel.h"

using namespace pollenwick;

namespace {

constexpr std::uint32_t Seed = 20261204;
constexpr std::uint32_t Seeds = 8;
constexpr Duration RunDuration = std::chrono::seconds(12);

using Classes = std::map<std::string, ModelClass>;
using Services = std::map<std::string, std::vector<ModelServer>>;

/// Returns the classes of the pier deployment with `Burst` times the load of
/// its busiest day, which is 667 requests per second.
Classes pierClasses(double Burst) {
  const double PerSecond = 667 * Burst / 9.68;
  return {
      {"lookup",
       {"registry", 60, 1500, 6000, 2, 6.0 * PerSecond, 1, "ledger", 2, true}},
      {"pledge",
       {"pledges", 78, 1500, 6000, 0, 2.4 * PerSecond, 3, "fetch", 1}},
      {"photo", {"gallery", 72, 300, 1200, 1, 0.61 * PerSecond, 2, "", 0}},
      {"carve", {"workshop", 48, 150, 600, 2, 0.67 * PerSecond, 1, "", 0}},
      {"ledger", {"pledges", 15, 1200, 3000, 1, 0, 0, "fetch", 1}},
      {"fetch", {"gallery", 15, 1200, 2500, 1, 0, 0, "queue", 5}},
      {"queue", {"workshop", 15, 300, 700, 1, 0, 0, "", 0}}};
}

Services pierServices() {
  const std::vector<ModelServer> Registry{{113, 0.6}, {113, 1}, {113, 1.4},
                                          {113, 0.6}, {113, 1}, {113, 1.4}};
  return {{"registry", Registry},
          {"pledges", {{169, 0.5}, {169, 1}, {169, 1}, {169, 1.5}}},
          {"gallery", {{225, 0.5}, {225, 1}, {225, 1}}},
          {"workshop", {{25, 0.7}, {25, 0.7}, {25, 1.6}}}};
}

/// Splits the same load equally between two customers of different priority.
/// Class names of the customer with the lower priority end in "-second".
Classes byTwoCustomers(const Classes &Kinds) {
  Classes Result;
  for (auto [Name, Class] : Kinds) {
    Class.RequestsPerSecond /= 2;
    Result[Name] = Class;
    if (Class.RequestsPerSecond <= 0)
      continue;
    Class.CustomerPriority = 1;
    Result[Name + "-second"] = Class;
  }
  return Result;
}

/// Returns the classes of the lantern deployment with `Burst` times the load of
/// its busiest day, which is 152 requests per second.
Classes lanternClasses(double Burst) {
  const double PerSecond = 152 * Burst / 9.32;
  return {{"lookup",
           {"catalogo", 220, 1500, 1200, 2, 5.8 * PerSecond, 1, "check", 1}},
          {"deposit",
           {"cobros", 290, 2000, 1500, 0, 2.2 * PerSecond, 3, "index", 1}},
          {"photo", {"galeria", 260, 800, 3000, 1, 0.59 * PerSecond, 2, "", 0}},
          {"wick", {"cereria", 180, 500, 1000, 2, 0.73 * PerSecond, 1, "", 0}},
          {"check", {"cobros", 15, 1000, 2500, 1, 0, 0, "index", 1}},
          {"index", {"galeria", 15, 800, 2000, 1, 0, 0, "supplier", 4}},
          {"supplier", {"cereria", 55, 300, 700, 1, 0, 0, "", 0}}};
}

Services lanternServices() {
  const std::vector<ModelServer> Catalogo{
      {36, 0.7}, {36, 0.7}, {36, 1.6}, {36, 0.7}, {36, 0.7}};
  return {{"catalogo", Catalogo},
          {"cobros", {{56, 0.5}, {56, 1}, {56, 1}}},
          {"galeria", {{56, 0.7}, {56, 0.7}, {56, 1.6}}},
          {"cereria", {{19, 0.7}, {19, 0.7}, {19, 1.6}}}};
}

/// Returns the share of requests answered within their latency target, weighted
/// by request value.
double
weightedShareInTarget(const Classes &Kinds,
                      const std::map<std::string, ModelResult> &Results) {
  double ValueInTarget = 0;
  double TotalValue = 0;
  for (const auto &[Name, Result] : Results) {
    ValueInTarget += Kinds.at(Name).RequestValue *
                     static_cast<double>(Result.AnsweredInTarget);
    TotalValue +=
        Kinds.at(Name).RequestValue * static_cast<double>(Result.Requests);
  }
  return ValueInTarget / TotalValue;
}

/// Sums the counts of runs with several seeds. The share in target of one run
/// varies by 0.004 (standard deviation) from seed to seed.
std::map<std::string, ModelResult>
simulateSeeds(const Classes &Kinds, const Services &Servers, bool WithControl) {
  std::map<std::string, ModelResult> Sum;
  for (std::uint32_t Offset = 0; Offset < Seeds; ++Offset)
    for (const auto &[Name, Result] :
         LoadModel(Kinds, Servers, WithControl, Seed + Offset)
             .simulate(RunDuration)) {
      Sum[Name].Requests += Result.Requests;
      Sum[Name].AnsweredInTarget += Result.AnsweredInTarget;
      Sum[Name].Refused += Result.Refused;
    }
  return Sum;
}

double shareInTarget(const ModelResult &Result) {
  return static_cast<double>(Result.AnsweredInTarget) /
         static_cast<double>(Result.Requests);
}

/// Returns the calls per second that the servers can run with all slots in use.
double capacityPerSecond(const std::vector<ModelServer> &Servers,
                         double WorkMs) {
  double PerSecond = 0;
  for (const ModelServer &Server : Servers)
    PerSecond += Server.Slots / (WorkMs * Server.SlowdownFactor / 1000);
  return PerSecond;
}

} // namespace

TEST_CASE("Admission control keeps requests completing under peak load",
          "[shedding]") {
  SECTION("pier, with twice the load that the workshop service can carry") {
    // Guards against an overload in which every request begins but none
    // completes, because each lookup makes ten calls to the workshop service.
    const Classes Kinds = pierClasses(1.7);
    const auto Without = simulateSeeds(Kinds, pierServices(), false);
    const auto With = simulateSeeds(Kinds, pierServices(), true);
    CAPTURE(weightedShareInTarget(Kinds, Without),
            weightedShareInTarget(Kinds, With),
            shareInTarget(With.at("lookup")), shareInTarget(With.at("pledge")),
            shareInTarget(With.at("photo")), shareInTarget(With.at("carve")));
    // Computes the best result of any control: it serves all pledges, photos
    // and carvings, and as many lookups as the remaining capacity of the
    // workshop service allows.
    const double Calls = capacityPerSecond(pierServices().at("workshop"), 15);
    const double Pledges = Kinds.at("pledge").RequestsPerSecond;
    const double Carvings = Kinds.at("carve").RequestsPerSecond;
    const double Left = Calls - 5 * Pledges - Carvings * 48 / 15;
    const double Lookups =
        std::min(Kinds.at("lookup").RequestsPerSecond, Left / 10);
    const double Best = (3 * Pledges + 2 * Kinds.at("photo").RequestsPerSecond +
                         Carvings + Lookups) /
                        (3 * Pledges + 2 * Kinds.at("photo").RequestsPerSecond +
                         Carvings + Kinds.at("lookup").RequestsPerSecond);
    CAPTURE(Best);
    CHECK(weightedShareInTarget(Kinds, With) >
          weightedShareInTarget(Kinds, Without));
    CHECK(weightedShareInTarget(Kinds, With) >= 0.95 * Best);
    CHECK(shareInTarget(With.at("pledge")) >= shareInTarget(With.at("lookup")));
    CHECK(shareInTarget(With.at("photo")) > 0.9);
  }
  SECTION("pier, with two customers of different priority") {
    // Guards against customer priorities without effect, and against a customer
    // whose share of answered requests is below a quarter of the overall share.
    const Classes Kinds = byTwoCustomers(pierClasses(1.7));
    const auto With =
        LoadModel(Kinds, pierServices(), true, Seed).simulate(RunDuration);
    double First = 0;
    double Second = 0;
    double Asked = 0;
    for (const auto &[Name, Result] : With) {
      (Kinds.at(Name).CustomerPriority == 0 ? First : Second) +=
          static_cast<double>(Result.AnsweredInTarget);
      Asked += static_cast<double>(Result.Requests);
    }
    CAPTURE(First, Second, Asked, shareInTarget(With.at("lookup")),
            shareInTarget(With.at("lookup-second")),
            shareInTarget(With.at("pledge")),
            shareInTarget(With.at("pledge-second")));
    CHECK(shareInTarget(With.at("lookup")) >
          1.2 * shareInTarget(With.at("lookup-second")));
    CHECK(shareInTarget(With.at("pledge-second")) >=
          shareInTarget(With.at("lookup-second")));
    CHECK(Second / (Asked / 2) > 0.25 * (First + Second) / Asked);
    CHECK(shareInTarget(With.at("pledge")) > 0.95);
  }
  SECTION("lantern, with a third more load than service cereria can carry") {
    const Classes Kinds = lanternClasses(2.7);
    const auto Without =
        LoadModel(Kinds, lanternServices(), false, Seed).simulate(RunDuration);
    const auto With =
        LoadModel(Kinds, lanternServices(), true, Seed).simulate(RunDuration);
    CAPTURE(weightedShareInTarget(Kinds, Without),
            weightedShareInTarget(Kinds, With));
    CHECK(weightedShareInTarget(Kinds, With) >
          weightedShareInTarget(Kinds, Without));
    CHECK(shareInTarget(With.at("deposit")) >=
          shareInTarget(With.at("lookup")));
  }
  SECTION("lantern, with load for nine tenths of the slots of cereria") {
    // Guards against control that refuses requests although the capacity
    // suffices, as it does at 1.8 times the load of the busiest day. Nearly all
    // requests are served with and without control; the control may lose one in
    // a hundred.
    const Classes Kinds = lanternClasses(1.8);
    const auto Without =
        LoadModel(Kinds, lanternServices(), false, Seed).simulate(RunDuration);
    const auto With =
        LoadModel(Kinds, lanternServices(), true, Seed).simulate(RunDuration);
    CAPTURE(weightedShareInTarget(Kinds, Without),
            weightedShareInTarget(Kinds, With));
    CAPTURE(With.at("lookup").Refused, With.at("wick").Refused,
            shareInTarget(With.at("lookup")), shareInTarget(With.at("wick")),
            shareInTarget(With.at("deposit")), shareInTarget(With.at("photo")));
    CHECK(weightedShareInTarget(Kinds, With) >=
          0.99 * weightedShareInTarget(Kinds, Without));
    CHECK(shareInTarget(With.at("deposit")) > 0.99);
  }
  SECTION("no request is refused under low load") {
    // Guards against control that refuses requests without an overload.
    for (const Classes &Kinds : {pierClasses(0.4), lanternClasses(0.4)}) {
      const bool Pier = Kinds.contains("pledge");
      const auto With =
          LoadModel(Kinds, Pier ? pierServices() : lanternServices(), true,
                    Seed)
              .simulate(RunDuration);
      for (const auto &[Name, Result] : With) {
        CAPTURE(Name);
        CHECK(Result.Refused == 0);
      }
    }
  }
}

TEST_CASE("Requests complete although some servers lose answers",
          "[shedding]") {
  // Guards against faulty servers that keep their share of the calls, or
  // attract more of them because they fail faster than others answer. In
  // acaf-mesh, trouble-1, two of the three servers of cereria lost two fifths
  // of their answers.
  Services Faulty = lanternServices();
  Faulty.at("cereria") = {{19, 0.7, 0.4}, {19, 0.7}, {19, 0.7}};
  const Classes Kinds = lanternClasses(0.8);
  const auto Without =
      LoadModel(Kinds, Faulty, false, Seed).simulate(RunDuration);
  const auto With = LoadModel(Kinds, Faulty, true, Seed).simulate(RunDuration);
  CAPTURE(weightedShareInTarget(Kinds, Without),
          weightedShareInTarget(Kinds, With));
  CHECK(weightedShareInTarget(Kinds, Without) < 0.7);
  CHECK(weightedShareInTarget(Kinds, With) > 0.95);
}

TEST_CASE("Requests complete again after servers have stopped failing",
          "[shedding]") {
  // Guards against all calls going to the first server that answers again while
  // the others are still avoided. Its queue then looks like an overload, and
  // callers are refused for seconds (seen in bangkal-mesh, scale-1).
  constexpr Duration FaultsEnd = std::chrono::seconds(6);
  constexpr Duration CountFrom = FaultsEnd + std::chrono::seconds(2);
  Services Faulty = pierServices();
  for (ModelServer &Server : Faulty.at("workshop")) {
    Server.FailureProbability = 0.6;
    Server.FailuresEndAfter = FaultsEnd;
  }
  const Classes Kinds = pierClasses(0.8);
  const auto With =
      LoadModel(Kinds, Faulty, true, Seed).simulate(RunDuration, CountFrom);
  CAPTURE(weightedShareInTarget(Kinds, With), With.at("lookup").Refused,
          shareInTarget(With.at("lookup")), shareInTarget(With.at("pledge")));
  CHECK(weightedShareInTarget(Kinds, With) > 0.95);
}
