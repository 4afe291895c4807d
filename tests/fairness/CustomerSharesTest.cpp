#include <catch2/catch.hpp>

#include <array>
#include <random>

#include "core/fairness/CustomerShares.h"
#include "core/shedding/AdmissionPlan.h"

using namespace pollenwick;

namespace {

constexpr Duration Tick = std::chrono::milliseconds(250);
constexpr double TickSeconds = 0.25;
constexpr std::size_t Nodes = 8;
constexpr std::size_t Customers = 8;
constexpr std::size_t Hot = 0;
constexpr double OrdinaryPerSecond = 60;
constexpr double HotPerSecond = 1200;
constexpr std::uint32_t Seed = 20261206;
/// 40 slots and calls of 100 ms finish 400 requests per second.
constexpr double Slots = 40;
constexpr double CallSeconds = 0.1;

std::string nameOf(std::size_t Customer) {
  return "customer-" + std::to_string(Customer);
}

struct Counts {
  double Offered = 0;
  double Admitted = 0;
  double share() const { return Offered > 0 ? Admitted / Offered : 1; }
};

/// Simulates nodes that admit the requests of eight customers on one route. The
/// load is spread over all nodes; the first customer sends a burst.
class Fleet {
public:
  explicit Fleet(bool WithFairness) : Fair(WithFairness) {}

  double SlotsNow = Slots;
  std::size_t ReportingNodes = Nodes;

  std::array<Counts, Customers> simulate(int Ticks, double HotRate) {
    std::array<Counts, Customers> Totals{};
    for (int I = 0; I < Ticks; ++I) {
      // Demand by customer at all nodes, and as far as nodes report it.
      std::array<Counts, Customers> Reported{};
      for (std::size_t Customer = 0; Customer < Customers; ++Customer)
        for (std::size_t Node = 0; Node < Nodes; ++Node)
          addRequests(Customer, Customer == Hot ? HotRate : OrdinaryPerSecond,
                      Node, Totals, Reported);
      update(Reported);
    }
    return Totals;
  }

private:
  void addRequests(std::size_t Customer, double PerSecond, std::size_t Node,
                   std::array<Counts, Customers> &Totals,
                   std::array<Counts, Customers> &Reported) {
    std::poisson_distribution<int> Number(PerSecond * TickSeconds / Nodes);
    const double Common = admittedShare(Plan, Key);
    const double Share =
        Fair ? customerShare(Shares, Key, nameOf(Customer), Common) : Common;
    const int Offered = Number(Random);
    const int Admitted =
        std::binomial_distribution<int>(Offered, Share)(Random);
    Totals[Customer].Offered += Offered;
    Totals[Customer].Admitted += Admitted;
    if (Node >= ReportingNodes)
      return;
    Reported[Customer].Offered += Offered;
    Reported[Customer].Admitted += Admitted;
  }

  void update(const std::array<Counts, Customers> &Reported) {
    Counts All;
    std::vector<CustomerDemand> Demand;
    for (std::size_t Customer = 0; Customer < Customers; ++Customer) {
      All.Offered += Reported[Customer].Offered / TickSeconds;
      All.Admitted += Reported[Customer].Admitted / TickSeconds;
      if (needsCustomerCounts(Shares, Key) && Reported[Customer].Offered > 0)
        Demand.push_back({Key,
                          nameOf(Customer),
                          {Reported[Customer].Offered / TickSeconds, 0, 0}});
    }
    ServiceStats Stats;
    Stats.Slots = SlotsNow;
    Stats.MeanServiceSeconds = CallSeconds;
    // The plan corrects its prediction by the slot time that calls used.
    Stats.OfferedUtilization = All.Admitted * CallSeconds / SlotsNow;
    updatePlan(Plan, {{Key, "deep", 0, 1, All.Offered, All.Admitted}},
               {{"deep", Stats}}, Tick);
    updateCustomerShares(Shares, Demand, Plan.AdmittedShareByKey, Tick);
  }

  const std::string Key = planKey("lookup", 0);
  bool Fair;
  std::mt19937 Random{Seed};
  AdmissionPlan Plan;
  CustomerShares Shares;
};

double lowestShare(const std::array<Counts, Customers> &Totals) {
  double Lowest = 1;
  for (std::size_t I = 0; I < Customers; ++I)
    if (I != Hot)
      Lowest = std::min(Lowest, Totals[I].share());
  return Lowest;
}

double admitted(const std::array<Counts, Customers> &Totals) {
  double Sum = 0;
  for (const Counts &Item : Totals)
    Sum += Item.Admitted;
  return Sum;
}

} // namespace

TEST_CASE("A customer's burst is refused before the requests of others",
          "[fairness]") {
  constexpr int Settling = 12;
  constexpr int Counted = 40;
  const auto Run = [&](bool Fair, double SlotsLeft, std::size_t Reporting) {
    Fleet Model(Fair);
    Model.simulate(Settling, OrdinaryPerSecond);
    Model.SlotsNow = SlotsLeft;
    Model.ReportingNodes = Reporting;
    Model.simulate(Settling, HotPerSecond);
    return Model.simulate(Counted, HotPerSecond);
  };

  SECTION("while all nodes report and the servers suffice for the others") {
    // Guards against the common share: it refuses half of the
    // requests of customers that cause no excess.
    const auto Before = Run(false, 2 * Slots, Nodes);
    const auto After = Run(true, 2 * Slots, Nodes);
    CAPTURE(lowestShare(Before), lowestShare(After), Before[Hot].share(),
            After[Hot].share(), admitted(Before), admitted(After));
    CHECK(lowestShare(Before) < 0.6);
    CHECK(lowestShare(After) > 0.99);
    // The sum stays what the plan allows.
    CHECK(admitted(After) == Approx(admitted(Before)).epsilon(0.03));
  }
  SECTION("while the service has lost half of its servers") {
    // Guards against shares that follow the demand but not the capacity: 400
    // requests per second are left for eight customers, 50 for each.
    const auto Before = Run(false, Slots, Nodes);
    const auto After = Run(true, Slots, Nodes);
    CAPTURE(lowestShare(Before), lowestShare(After), Before[Hot].share(),
            After[Hot].share(), admitted(Before), admitted(After));
    CHECK(lowestShare(Before) < 0.3);
    CHECK(lowestShare(After) > 0.75);
    CHECK(admitted(After) == Approx(admitted(Before)).epsilon(0.03));
  }
  SECTION("while half of the nodes do not report") {
    // Guards against shares that depend on the demand being complete.
    const auto Before = Run(false, Slots, Nodes / 2);
    const auto After = Run(true, Slots, Nodes / 2);
    CAPTURE(lowestShare(Before), lowestShare(After), Before[Hot].share(),
            After[Hot].share(), admitted(Before), admitted(After));
    CHECK(lowestShare(After) > lowestShare(Before));
    CHECK(lowestShare(After) > 0.9);
    CHECK(admitted(After) == Approx(admitted(Before)).epsilon(0.03));
  }
}

TEST_CASE("Shares of customers exist only while the plan limits a key",
          "[fairness]") {
  CustomerShares Shares;
  const auto Update = [&](double KeyShare, double Hot, double Other) {
    updateCustomerShares(Shares,
                         {{"a@0", "hot", {Hot, 0, 0}},
                          {"a@0", "other", {Other, 0, 0}},
                          {"b@0", "hot", {Hot, 0, 0}}},
                         {{"a@0", KeyShare}, {"b@0", 1}}, Tick);
  };
  Update(1, 100, 10);
  CHECK_FALSE(needsCustomerCounts(Shares, "a@0"));
  CHECK(customerShare(Shares, "a@0", "hot", 1) == 1);
  for (int I = 0; I < 20; ++I)
    Update(0.5, 100, 10);
  CHECK(needsCustomerCounts(Shares, "a@0"));
  CHECK_FALSE(needsCustomerCounts(Shares, "b@0"));
  CHECK(customerShare(Shares, "a@0", "other", 0.5) == Approx(1));
  CHECK(customerShare(Shares, "a@0", "hot", 0.5) == Approx(0.45));

  SECTION("a customer without known demand gets the common share") {
    // Guards against a burst of a new customer that is admitted in full, and
    // against one that is refused until its demand is known.
    CHECK(customerShare(Shares, "a@0", "new", 0.5) == 0.5);
  }
  SECTION("a customer that has stopped is forgotten") {
    // Guards against entries that collect while customers come and go.
    for (int I = 0; I < 40; ++I)
      Update(0.5, 100, 0);
    CHECK(customerShare(Shares, "a@0", "other", 0.5) == 0.5);
    CHECK(Shares.Keys.at("a@0").ByCustomer.size() == 1);
  }
  SECTION("counting ends a while after the excess") {
    // Guards against reports by customer that go on after an overload, and
    // against counts that restart each time a share passes 1.
    Update(1, 10, 10);
    CHECK(customerShare(Shares, "a@0", "hot", 1) == 1);
    CHECK(needsCustomerCounts(Shares, "a@0"));
    for (int I = 0; I < 10; ++I)
      Update(1, 10, 10);
    CHECK_FALSE(needsCustomerCounts(Shares, "a@0"));
  }
}
