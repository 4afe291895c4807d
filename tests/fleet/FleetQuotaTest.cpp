#include <catch2/catch.hpp>

#include <deque>
#include <random>
#include <vector>

#include "core/fleet/FleetQuota.h"

using namespace pollenwick;

namespace {

constexpr Duration Tick = std::chrono::milliseconds(250);
constexpr Duration Window = std::chrono::seconds(5);
const QuotaLimit Limit{150, 150};
/// Tolerated overage: 25% and 20 requests above rate and burst.
constexpr double OverageFactor = 1.25;
constexpr double OverageRequests = 20;

/// Simulates nodes that report to each other once per tick.
struct Fleet {
  struct Node {
    QuotaBucket Bucket;
    std::uint64_t Start = 1;
    bool Partitioned = false;
  };
  std::vector<Node> Nodes;
  std::deque<Instant> Admitted; ///< Times in the last window, all nodes.
  std::uint64_t Offered = 0;
  std::uint64_t Refused = 0;
  double MaxAdmittedInWindow = 0; ///< Largest number in any window.

  explicit Fleet(std::size_t Count) : Nodes(Count) {
    for (Node &Item : Nodes)
      Item.Bucket.BeginsFull = true;
  }

  void request(std::size_t Node, Instant Now) {
    ++Offered;
    if (spendQuota(Nodes[Node].Bucket, Limit, Now) == QuotaDecision::Refuse) {
      ++Refused;
      return;
    }
    Admitted.push_back(Now);
    while (Admitted.front() + Window <= Now)
      Admitted.pop_front();
    MaxAdmittedInWindow =
        std::max(MaxAdmittedInWindow, static_cast<double>(Admitted.size()));
  }

  void tick(Instant Now) {
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      for (std::size_t J = 0; J < Nodes.size(); ++J)
        if (I != J && !Nodes[I].Partitioned && !Nodes[J].Partitioned)
          applyQuotaReport(Nodes[I].Bucket, std::to_string(J), Nodes[J].Start,
                           Nodes[J].Bucket.OwnCounts, Now);
    for (Node &Item : Nodes)
      planQuota(Item.Bucket, Limit, Nodes.size(), Tick, Now);
  }

  void restartAll() {
    for (Node &Item : Nodes)
      Item = Node{QuotaBucket{}, Item.Start + 1, false};
  }
};

/// Sends requests at `RequestsPerSecond` for `Seconds`, spread over the first
/// `IngressNodes` nodes.
void sendLoad(Fleet &TestFleet, double RequestsPerSecond, int Seconds,
              std::size_t IngressNodes, Instant &Now, std::mt19937 &Random) {
  std::exponential_distribution<double> Gap(RequestsPerSecond);
  const Instant End = Now + std::chrono::seconds(Seconds);
  Instant NextTick = Now + Tick;
  while (Now < End) {
    Now += Duration(static_cast<std::int64_t>(Gap(Random) * 1e6));
    while (NextTick <= Now) {
      TestFleet.tick(NextTick);
      NextTick += Tick;
    }
    TestFleet.request(Random() % IngressNodes, Now);
  }
}

/// Returns the tolerated number of admissions in any window.
double maxAdmittedInWindow() {
  const double Seconds = std::chrono::duration<double>(Window).count();
  return (static_cast<double>(Limit.RatePerSecond) * Seconds +
          static_cast<double>(Limit.Burst)) *
             OverageFactor +
         OverageRequests;
}

} // namespace

TEST_CASE("The fleet as a whole keeps to a customer's rate limit", "[quota]") {
  std::mt19937 Random(20261204);
  Instant Now(std::chrono::seconds(1000));
  // Guards against a limit that is exceeded the more, the more nodes there are.
  const std::size_t Count = GENERATE(16, 72, 300);
  CAPTURE(Count);
  Fleet TestFleet(Count);
  sendLoad(TestFleet, 60, 5, Count, Now, Random);

  SECTION("while all nodes receive eight times the rate") {
    sendLoad(TestFleet, 8 * 150, 10, Count, Now, Random);
    CHECK(TestFleet.MaxAdmittedInWindow <= maxAdmittedInWindow());
  }
  SECTION("while a single node receives eight times the rate") {
    sendLoad(TestFleet, 8 * 150, 10, 1, Now, Random);
    CHECK(TestFleet.MaxAdmittedInWindow <= maxAdmittedInWindow());
  }
  SECTION("while all nodes are killed and restarted") {
    // Guards against a restart that grants the burst a second time. A system
    // test saw 568 admissions where 545 were allowed.
    sendLoad(TestFleet, 4 * 150, 4, Count, Now, Random);
    TestFleet.restartAll();
    sendLoad(TestFleet, 4 * 150, 6, Count, Now, Random);
    CHECK(TestFleet.MaxAdmittedInWindow <= maxAdmittedInWindow());
  }
  SECTION("while all nodes are restarted under twelve times the rate") {
    // Guards against nodes that each take the whole rate for their share as
    // long as they have one report of the others, from which no rate follows
    // (acaf-mesh-grown, hunt-989d-7: 1,560 admissions, 1,512 allowed).
    sendLoad(TestFleet, 12 * 150, 4, Count, Now, Random);
    TestFleet.restartAll();
    sendLoad(TestFleet, 12 * 150, 6, Count, Now, Random);
    CHECK(TestFleet.MaxAdmittedInWindow <= maxAdmittedInWindow());
  }
  SECTION("while restarted nodes have not received reports of each other") {
    // Guards against nodes that each admit the whole rate until the first
    // report. A system test saw 554 admissions where 545 were allowed.
    sendLoad(TestFleet, 4.5 * 150, 4, Count, Now, Random);
    TestFleet.restartAll();
    for (Fleet::Node &Item : TestFleet.Nodes)
      Item.Partitioned = true;
    sendLoad(TestFleet, 4.5 * 150, 1, Count, Now, Random);
    for (Fleet::Node &Item : TestFleet.Nodes)
      Item.Partitioned = false;
    sendLoad(TestFleet, 4.5 * 150, 5, Count, Now, Random);
    CHECK(TestFleet.MaxAdmittedInWindow <= maxAdmittedInWindow());
  }
  SECTION("while restarted nodes hear of each other after two seconds") {
    // Guards against tokens that every such node refills for itself, so that
    // the fleet admits the more, the longer its nodes do not hear each other.
    sendLoad(TestFleet, 4.5 * 150, 4, Count, Now, Random);
    TestFleet.restartAll();
    for (Fleet::Node &Item : TestFleet.Nodes)
      Item.Partitioned = true;
    sendLoad(TestFleet, 4.5 * 150, 2, Count, Now, Random);
    for (Fleet::Node &Item : TestFleet.Nodes)
      Item.Partitioned = false;
    sendLoad(TestFleet, 4.5 * 150, 5, Count, Now, Random);
    CHECK(TestFleet.MaxAdmittedInWindow <= maxAdmittedInWindow());
  }
  SECTION("while a third of the nodes is partitioned") {
    sendLoad(TestFleet, 2 * 150, 3, Count, Now, Random);
    for (std::size_t I = 0; I < Count / 3; ++I)
      TestFleet.Nodes[I].Partitioned = true;
    sendLoad(TestFleet, 2 * 150, 10, Count, Now, Random);
    CHECK(TestFleet.MaxAdmittedInWindow <= maxAdmittedInWindow());
  }
}

TEST_CASE("A customer below its rate limit is not refused", "[quota]") {
  // Guards against tokens that are assigned to nodes without requests while
  // other nodes refuse.
  std::mt19937 Random(20261204);
  Instant Now(std::chrono::seconds(1000));
  Fleet TestFleet(16);

  SECTION("with requests spread over all nodes") {
    sendLoad(TestFleet, 0.6 * 150, 30, 16, Now, Random);
    CHECK(TestFleet.Refused == 0);
  }
  SECTION("with all requests at one node") {
    sendLoad(TestFleet, 0.6 * 150, 30, 1, Now, Random);
    CHECK(TestFleet.Refused == 0);
  }
  SECTION("beyond 1% of its requests at 95% of the rate") {
    sendLoad(TestFleet, 0.95 * 150, 30, 16, Now, Random);
    CHECK(static_cast<double>(TestFleet.Refused) <=
          0.01 * static_cast<double>(TestFleet.Offered));
  }
}

TEST_CASE("The first report of an unknown peer leaves no debt in the bucket",
          "[quota]") {
  // Guards against refusals after a restart. A node that received the first
  // report of a peer used to deduct all admissions since the peer's start.
  QuotaBucket Bucket;
  Bucket.BeginsFull = true;
  const Instant Now(std::chrono::seconds(10));
  planQuota(Bucket, Limit, 2, Tick, Now);
  applyQuotaReport(Bucket, "peer", 77, {5000, 5000}, Now);
  CHECK(Bucket.Level >= 0);
  planQuota(Bucket, Limit, 2, Tick, Now + Tick);
  for (int I = 0; I < 10; ++I)
    CHECK(spendQuota(Bucket, Limit, Now + Tick) == QuotaDecision::Admit);
}

TEST_CASE("The retry delay of a refusal grows with the debt of the bucket",
          "[quota]") {
  QuotaBucket Bucket;
  Bucket.Level = -300;
  CHECK(quotaRetryAfter(Bucket, Limit) >= std::chrono::milliseconds(2000));
  Bucket.Level = 1;
  CHECK(quotaRetryAfter(Bucket, Limit) <= std::chrono::milliseconds(500));
}
