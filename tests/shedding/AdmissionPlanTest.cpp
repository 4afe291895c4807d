#include <catch2/catch.hpp>

#include "core/shedding/AdmissionPlan.h"

using namespace pollenwick;

namespace {

constexpr Duration UpdateInterval = std::chrono::milliseconds(250);

ServiceStats serviceStats(double Slots, double CallMs,
                          std::map<std::string, double> Calls) {
  ServiceStats Result;
  Result.Slots = Slots;
  Result.MeanServiceSeconds = CallMs / 1000;
  Result.NestedCallsPerRun = std::move(Calls);
  return Result;
}

} // namespace

TEST_CASE("A request is counted at every service that it reaches",
          "[shedding]") {
  const std::map<std::string, ServiceStats> Services{
      {"registry", serviceStats(600, 130, {{"pledges", 2}})},
      {"pledges", serviceStats(600, 60, {{"gallery", 1}})},
      {"gallery", serviceStats(600, 50, {{"workshop", 5}})},
      {"workshop", serviceStats(70, 15, {})}};
  const auto CallsPerRequest = callsPerRequest("registry", Services);
  CHECK(CallsPerRequest.at("pledges") == 2);
  CHECK(CallsPerRequest.at("workshop") == 10);

  SECTION("calls that form a cycle are counted with bounded work") {
    // Guards against a computation that does not end. Stray requests on open
    // routes looked like calls between all services, and summing over all paths
    // used up the processor (seen in bangkal-mesh, quiet-1).
    std::map<std::string, ServiceStats> Cyclic;
    for (const char *Name : {"a", "b", "c", "d", "e"})
      Cyclic[Name] =
          serviceStats(10, 10, {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}});
    for (const auto &[Name, Calls] : callsPerRequest("a", Cyclic))
      CHECK(Calls <= 1e4);
  }
}

TEST_CASE("Capacity is allocated to the most important routes first",
          "[shedding]") {
  std::map<std::string, ServiceStats> Services{
      {"front", serviceStats(1000, 100, {{"deep", 4}})},
      {"deep", serviceStats(40, 100, {})}};
  const std::vector<RouteDemand> Demand{{"lookup", "front", 0, 2, 100, 100},
                                        {"deposit", "front", 0, 0, 50, 50},
                                        {"photo", "other", 0, 1, 500, 500}};
  AdmissionPlan Plan;
  Services["deep"].OfferedUtilization = 1.5;
  for (int I = 0; I < 40; ++I)
    updatePlan(Plan, Demand, Services, UpdateInterval);
  CHECK(admittedShare(Plan, "deposit") == Approx(1));
  CHECK(admittedShare(Plan, "lookup") > 0.3);
  CHECK(admittedShare(Plan, "lookup") < 0.6);
  CHECK(admittedShare(Plan, "photo") == 1);
  CHECK(admittedShare(Plan, "unheard-of") == 1);

  SECTION("everything is admitted within a second after the demand falls") {
    // Guards against a recovery that takes as long as the overload did.
    Services["deep"].OfferedUtilization = 0.2;
    for (int I = 0; I < 4; ++I)
      updatePlan(Plan, {{"lookup", "front", 0, 2, 20, 20}}, Services,
                 UpdateInterval);
    CHECK(admittedShare(Plan, "lookup") == 1);
  }
  SECTION("a loss of slots lowers the admitted shares at once") {
    // Guards against servers that still count as capacity after they have left.
    Services["deep"].Slots = 13;
    updatePlan(Plan, Demand, Services, UpdateInterval);
    CHECK(admittedShare(Plan, "lookup") < 0.05);
    CHECK(admittedShare(Plan, "deposit") < 0.8);
  }
}

TEST_CASE("The customer's priority outweighs the route's priority",
          "[shedding]") {
  // Guards against customer priorities without effect, and against a customer
  // of the lowest priority who is refused completely.
  std::map<std::string, ServiceStats> Services{
      {"deep", serviceStats(40, 100, {})}};
  // The demand is four times the capacity; each customer causes half of it.
  Services["deep"].OfferedUtilization = 4;
  const std::vector<RouteDemand> Demand{
      {planKey("lookup", 0), "deep", 0, 2, 400, 400},
      {planKey("deposit", 0), "deep", 0, 0, 400, 400},
      {planKey("lookup", 1), "deep", 1, 2, 400, 400},
      {planKey("deposit", 1), "deep", 1, 0, 400, 400}};
  AdmissionPlan Plan;
  for (int I = 0; I < 40; ++I)
    updatePlan(Plan, Demand, Services, UpdateInterval);
  const auto Share = [&](const char *Route, int Customer) {
    return admittedShare(Plan, planKey(Route, Customer));
  };
  // The capacity suffices for 412 of 1600 requests per second. Two fifths of it
  // are allocated by route priority alone.
  CHECK(Share("deposit", 0) == Approx(0.2 + 0.6).margin(0.05));
  CHECK(Share("deposit", 1) == Approx(0.2).margin(0.05));
  CHECK(Share("lookup", 0) < 0.05);
  CHECK(Share("lookup", 1) <= Share("lookup", 0));

  SECTION("all customers are admitted without an overload") {
    Services["deep"].OfferedUtilization = 0.5;
    for (int I = 0; I < 20; ++I)
      updatePlan(Plan, {{planKey("lookup", 1), "deep", 1, 2, 200, 200}},
                 Services, UpdateInterval);
    CHECK(Share("lookup", 1) == 1);
  }
  SECTION("the dispatch rank orders by customer first, too") {
    CHECK(dispatchRank(0, 2) < dispatchRank(1, 0));
    CHECK(dispatchRank(1, 0) < dispatchRank(1, 2));
    CHECK(dispatchRank(-1, 1) == dispatchRank(0, 1));
    CHECK(dispatchRank(0, 9) < dispatchRank(1, 0));
  }
}

TEST_CASE("Requests that need a service without servers are refused",
          "[shedding]") {
  // Guards against requests that run until a nested call finds no server. Those
  // that may not be repeated then fail permanently (seen in acaf-mesh,
  // node-variants).
  std::map<std::string, ServiceStats> Services{
      {"front", serviceStats(1000, 100, {{"deep", 4}})},
      {"side", serviceStats(1000, 100, {{"deep", 0.25}})},
      {"deep", serviceStats(40, 10, {})}};
  const std::vector<RouteDemand> Demand{{"deposit", "front", 0, 0, 5, 5},
                                        {"photo", "side", 0, 1, 5, 5},
                                        {"wick", "deep", 0, 1, 5, 5},
                                        {"other", "elsewhere", 0, 1, 5, 5}};
  AdmissionPlan Plan;
  updatePlan(Plan, Demand, Services, UpdateInterval);
  CHECK(admittedShare(Plan, "deposit") == 1);
  Services["deep"].Slots = 0;
  updatePlan(Plan, Demand, Services, UpdateInterval);
  CHECK(admittedShare(Plan, "deposit") < 0.01);
  CHECK(admittedShare(Plan, "wick") < 0.01);
  CHECK(admittedShare(Plan, "photo") == Approx(0.75));
  CHECK(admittedShare(Plan, "other") == 1);
  Services["deep"].Slots = 40;
  updatePlan(Plan, Demand, Services, UpdateInterval);
  CHECK(admittedShare(Plan, "deposit") == 1);
}

TEST_CASE("A long queue lowers the admitted share", "[shedding]") {
  // Calls beyond 0.6 per slot should leave the queue within 0.2 s. With calls
  // of 0.1 s, this reserves half a slot for each of them.
  const auto ShareWith = [](double WaitShare) {
    std::map<std::string, ServiceStats> Services{
        {"deep", serviceStats(40, 100, {})}};
    Services["deep"].OfferedUtilization = 0.975;
    Services["deep"].WaitingPerSlot = WaitShare;
    AdmissionPlan Plan;
    for (int I = 0; I < 20; ++I)
      updatePlan(Plan, {{"lookup", "deep", 0, 2, 390, 390}}, Services,
                 UpdateInterval);
    return admittedShare(Plan, "lookup");
  };
  CHECK(ShareWith(0) == 1);
  CHECK(ShareWith(0.4) == 1);
  CHECK(ShareWith(1.2) < 0.8);
  CHECK(ShareWith(1.6) < 0.6);
}
