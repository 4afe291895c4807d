#include <catch2/catch.hpp>

#include "core/fleet/CrashCounts.h"
#include "core/fleet/RetryBudget.h"

using namespace pollenwick;

TEST_CASE("Repeats stay inside the budget of the fleet", "[fleet]") {
  const RetryBudgetLimits Limits{0.2, 48, std::chrono::seconds(10)};
  std::vector<RetryBudget> Nodes(16);
  Instant Now(std::chrono::seconds(100));
  double Retries = 0;
  double Requests = 0;
  // A failure everywhere: each request asks for a repeat, for ten seconds.
  for (int Tick = 0; Tick < 40; ++Tick) {
    Now += std::chrono::milliseconds(250);
    for (RetryBudget &Node : Nodes) {
      Node.RetriesSinceTick = 0;
      for (int I = 0; I < 5; ++I) {
        recordRequest(Node, Limits, Now);
        ++Requests;
        Retries += tryWithdrawRetry(Node, Limits, 1, Now) ? 1 : 0;
      }
    }
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      for (std::size_t J = 0; J < Nodes.size(); ++J)
        if (I != J)
          applyRetryReport(Nodes[I], Limits, std::to_string(J), 1,
                           Nodes[J].OwnCounts, Now);
  }
  CHECK(Retries > 0);
  CHECK(Retries <=
        Limits.RetriesPerRequest * Requests + Limits.BaseRetriesPerWindow);

  SECTION("the history of a peer that is new here allows nothing") {
    // Guards against a budget that a restarted node finds enlarged.
    RetryBudget RestartedNode;
    applyRetryReport(RestartedNode, Limits, "peer", 9, {0, 100000}, Now);
    CHECK(RestartedNode.RecentRequests.sum(Limits.Window, Now) == 0);
  }
  SECTION("what happened a window ago no longer counts") {
    const Instant Later = Now + std::chrono::seconds(12);
    CHECK(Nodes[0].RecentRetries.sum(Limits.Window, Later) == 0);
  }
}

TEST_CASE("A request that crashed servers twice is refused everywhere",
          "[fleet]") {
  CrashCounts Counts;
  const Instant Now(std::chrono::seconds(5));
  countCrash(Counts, 42, "own", Now);
  CHECK_FALSE(isQuarantined(Counts, 42));

  SECTION("a repeated report of one crash counts once") {
    applyCrashReport(Counts, 43, "peer", 1, Now);
    applyCrashReport(Counts, 43, "peer", 1, Now);
    CHECK_FALSE(isQuarantined(Counts, 43));
  }
  SECTION("crashes at two nodes add up") {
    applyCrashReport(Counts, 42, "peer", 1, Now);
    CHECK(isQuarantined(Counts, 42));
    CHECK_FALSE(isQuarantined(Counts, 41));
    SECTION("and are forgotten after a while") {
      expireCrashes(Counts, Now + std::chrono::minutes(5));
      CHECK_FALSE(isQuarantined(Counts, 42));
    }
  }
}
