#include <catch2/catch.hpp>

#include "core/fleet/CrashCounts.h"
#include "core/fleet/RetryBudget.h"

using namespace pollenwick;

TEST_CASE("The retries of all nodes stay within the retry budget of the fleet",
          "[fleet]") {
  const RetryBudgetLimits Limits{0.2, 48, std::chrono::seconds(10)};
  std::vector<RetryBudget> Nodes(16);
  Instant Now(std::chrono::seconds(100));
  double Retries = 0;
  double Requests = 0;
  // All calls fail: for ten seconds, every request asks for a retry.
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

  SECTION("the first report of an unknown peer does not raise the budget") {
    // Guards against a restarted node that adds all requests since a peer's
    // start to its budget.
    RetryBudget RestartedNode;
    applyRetryReport(RestartedNode, Limits, "peer", 9, {0, 100000}, Now);
    CHECK(RestartedNode.RecentRequests.sum(Limits.Window, Now) == 0);
  }
  SECTION("retries from before the window do not count") {
    const Instant Later = Now + std::chrono::seconds(12);
    CHECK(Nodes[0].RecentRetries.sum(Limits.Window, Later) == 0);
  }
}

TEST_CASE("A request that was running at two crashes is refused by all nodes",
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
  SECTION("crashes at two nodes are added up") {
    applyCrashReport(Counts, 42, "peer", 1, Now);
    CHECK(isQuarantined(Counts, 42));
    CHECK_FALSE(isQuarantined(Counts, 41));
    SECTION("and expire after five minutes") {
      expireCrashes(Counts, Now + std::chrono::minutes(5));
      CHECK_FALSE(isQuarantined(Counts, 42));
    }
  }
}
