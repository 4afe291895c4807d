#include <catch2/catch.hpp>

#include <array>
#include <random>

#include "agent/FleetState.h"
#include "core/fairness/CustomerCounts.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

constexpr Duration Tick = std::chrono::milliseconds(250);
constexpr double TickSeconds = 0.25;

Rules sampleRules() {
  Rules Source;
  Source.Version = 1;
  Source.Routes = std::vector<RouteRule>(1);
  Source.Routes[0].Name = "lookup";
  Source.Routes[0].Services = {{ServiceId("deep"), 1}};
  Source.Customers = {{CustomerId("hot"), {"k1"}, 0, 100, 1000},
                      {CustomerId("other"), {"k2"}, 0, 100, 1000}};
  return Source;
}

/// Two nodes with a server each, which report to each other at every tick.
class TwoNodes {
public:
  TwoNodes() {
    Adapter.DecodeRules = [](std::string_view) {
      return absl::StatusOr<Rules>(sampleRules());
    };
    Registry.applyRecords({{RecordKind::Rules, "rules", 1, false, "any"}},
                          "test", Now);
    for (std::size_t I = 0; I < 2; ++I)
      Options.at(I).Ip = "127.0.0." + std::to_string(I + 1);
  }

  const CustomerRule &customer(std::size_t Index) const {
    return Registry.rules()->Source.Customers[Index];
  }
  double fraction(std::size_t Node, const std::string &Customer) const {
    return Nodes.at(Node).admittedFraction(Registry.rules()->Source.Routes[0],
                                           0, Customer);
  }
  /// Offers requests of both customers at both nodes, decided as the ingress
  /// does, and lets the nodes report.
  void tick(double HotPerSecond, double OtherPerSecond) {
    const std::array<double, 2> Rates{HotPerSecond, OtherPerSecond};
    for (FleetState &Node : Nodes)
      for (std::size_t I = 0; I < 2; ++I)
        offer(Node, customer(I), Rates.at(I) / 2);
    Now += Tick;
    for (std::size_t I = 0; I < 2; ++I)
      if (Linked)
        Nodes.at(1 - I).applyStatus(Options.at(I).Ip, statusOf(I), Now);
    for (std::size_t I = 0; I < 2; ++I)
      Nodes.at(I).planQuotasAndAdmission(Registry, statusOf(I), Tick, Now);
  }
  StatusFrame statusOf(std::size_t I) {
    StatusFrame Status;
    Status.SentAt = Now;
    Status.Service = "deep";
    Status.Load.MaxRunning = 5;
    Status.Load.MeanServiceTime = std::chrono::milliseconds(100);
    Status.Load.FailureRate = FailureRates.at(I);
    Status.AvailableSlotMicros = static_cast<std::uint64_t>(
        Now.time_since_epoch().count() * Status.Load.MaxRunning);
    Nodes.at(I).fillStatus(Status);
    for (const NamedCount &Key : Status.RouteCounts)
      if (Key.Name == planKey("lookup", 0))
        Status.OfferedSlotMicros =
            Key.A *
            static_cast<std::uint64_t>(Status.Load.MeanServiceTime.count());
    return Status;
  }

  bool Linked = true;                   ///< Whether the nodes hear each other.
  std::array<double, 2> FailureRates{}; ///< Of the servers of the nodes.

private:
  void offer(FleetState &Node, const CustomerRule &Customer, double PerSecond) {
    const RouteRule &Route = Registry.rules()->Source.Routes[0];
    const std::string &Name = Customer.Customer.Text;
    for (int I = 0; I < PerSecond * TickSeconds; ++I) {
      std::uniform_real_distribution<double> Draw(0, 1);
      if (Draw(Random) >= Node.admittedFraction(Route, 0, Name))
        Node.countOffered(Route, 0, Name, false);
      else if (Node.consumeQuota(Customer, Now) == QuotaDecision::Admit)
        Node.countOffered(Route, 0, Name, true);
    }
  }

  PlatformAdapter Adapter;
  LogWriter Log{"test"};
  ServiceRegistry Registry{Adapter, Log};
  std::array<Settings, 2> Options;
  std::array<FleetState, 2> Nodes{FleetState(Options[0], 1),
                                  FleetState(Options[1], 2)};
  Instant Now{std::chrono::seconds(100)};
  std::mt19937 Random{20261206};
};

std::uint64_t offeredOf(const StatusFrame &Status, const std::string &Name) {
  const NamedCountIndex Index = indexByName(Status.RouteCounts);
  const auto Found = Index.find(Name);
  return Found == Index.end() ? 0 : Found->second->B;
}

} // namespace

TEST_CASE("Nodes limit the customer that causes an excess", "[agent]") {
  TwoNodes Fleet;
  const std::string Key = planKey("lookup", 0);
  const std::string HotName = customerCountName(Key, "hot");
  for (int I = 0; I < 20; ++I)
    Fleet.tick(40, 40);
  // Guards against reports by customer while every request is admitted.
  CHECK(Fleet.fraction(0, "hot") == 1);
  CHECK(offeredOf(Fleet.statusOf(0), HotName) == 0);
  // Ten slots and calls of 100 ms finish 100 requests per second.
  for (int I = 0; I < 40; ++I)
    Fleet.tick(400, 40);
  CAPTURE(Fleet.fraction(0, "hot"), Fleet.fraction(0, "other"),
          Fleet.fraction(0, ""));

  SECTION("all nodes refuse the same requests") {
    // Guards against the common share, and against customer counts that lack
    // what the plan refuses or contain what only the quota refuses.
    CHECK(Fleet.fraction(0, "") < 0.35);
    CHECK(Fleet.fraction(0, "hot") < 0.25);
    CHECK(Fleet.fraction(0, "other") > 0.95);
    CHECK(Fleet.fraction(1, "other") == Approx(Fleet.fraction(0, "other")));
    CHECK(offeredOf(Fleet.statusOf(0), HotName) > 0);
    CHECK(offeredOf(Fleet.statusOf(0), HotName) <
          offeredOf(Fleet.statusOf(0), Key));
  }
  SECTION("a node that hears no other uses its own counts") {
    // Guards against shares that are lost with the reports, and against demand
    // of a silent node that is counted forever.
    Fleet.Linked = false;
    for (int I = 0; I < 20; ++I)
      Fleet.tick(400, 40);
    CHECK(Fleet.fraction(0, "hot") < 0.25);
    CHECK(Fleet.fraction(0, "other") > 0.9);
  }
  SECTION("all requests are admitted again after the burst") {
    for (int I = 0; I < 20; ++I)
      Fleet.tick(40, 40);
    CHECK(Fleet.fraction(0, "hot") == 1);
    CHECK(Fleet.fraction(0, "other") == 1);
  }
}

TEST_CASE("A server that rejects its calls is no capacity", "[fleet]") {
  // Guards against requests that are admitted for servers which refuse their
  // nested calls, so that the work before these calls is lost.
  TwoNodes Fleet;
  const auto SettledShare = [&Fleet] {
    for (int I = 0; I < 40; ++I)
      Fleet.tick(50, 50);
    return Fleet.fraction(0, "other");
  };
  REQUIRE(SettledShare() > 0.9);
  SECTION("one of two servers rejects all calls") {
    Fleet.FailureRates = {1.0, 0.0};
    const double Share = SettledShare();
    CHECK(Share > 0.3);
    CHECK(Share < 0.7);
  }
  SECTION("failures that both servers have come from below") {
    Fleet.FailureRates = {0.5, 0.5};
    CHECK(SettledShare() > 0.9);
  }
}
