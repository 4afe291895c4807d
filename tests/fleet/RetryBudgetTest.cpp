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
    applyCrashReport(Counts, 43, "peer", {1, 0}, Now);
    applyCrashReport(Counts, 43, "peer", {1, 0}, Now);
    CHECK_FALSE(isQuarantined(Counts, 43));
  }
  SECTION("crashes at two nodes are added up") {
    applyCrashReport(Counts, 42, "peer", {1, 0}, Now);
    CHECK(isQuarantined(Counts, 42));
    CHECK_FALSE(isQuarantined(Counts, 41));
    SECTION("also beside a few runs that were answered") {
      for (std::uint32_t I = 0; I < 2 * CompletionsPerCrash; ++I)
        countCompletion(Counts, 42, "own");
      CHECK(isQuarantined(Counts, 42));
    }
    SECTION("and expire after five minutes") {
      expireCrashes(Counts, Now + std::chrono::minutes(5));
      CHECK_FALSE(isQuarantined(Counts, 42));
    }
  }
}

TEST_CASE("A request that is often answered is not refused for two crashes",
          "[fleet]") {
  // Guards against a popular lookup that the whole fleet refuses for minutes,
  // because it was running each time another request crashed a server.
  CrashCounts Counts;
  const Instant Now(std::chrono::seconds(5));
  constexpr std::uint64_t Popular = 42;
  constexpr std::uint64_t Crashing = 43;
  for (const std::uint64_t Request : {Popular, Crashing}) {
    countCrash(Counts, Request, "own", Now);
    applyCrashReport(Counts, Request, "peer", {1, 0}, Now);
  }
  REQUIRE(isQuarantined(Counts, Popular));
  SECTION("by the servers of all nodes together") {
    for (std::uint32_t I = 0; I < CompletionsPerCrash; ++I)
      countCompletion(Counts, Popular, "own");
    CHECK(isQuarantined(Counts, Popular));
    applyCrashReport(Counts, Popular, "third", {0, CompletionsPerCrash + 1},
                     Now);
    CHECK_FALSE(isQuarantined(Counts, Popular));
    CHECK(isQuarantined(Counts, Crashing));
  }
  SECTION("a report that was overtaken changes nothing") {
    applyCrashReport(Counts, Popular, "peer", {1, 100}, Now);
    applyCrashReport(Counts, Popular, "peer", {1, 2}, Now);
    CHECK_FALSE(isQuarantined(Counts, Popular));
  }
  SECTION("answers alone make no suspect") {
    applyCrashReport(Counts, 44, "peer", {0, 9}, Now);
    countCompletion(Counts, 45, "own");
    CHECK(Counts.EntriesByFingerprint.size() == 2);
  }
  SECTION("what is counted is bounded, so that crashes weigh again") {
    for (std::uint32_t I = 0; I < 2 * MaxCountedCompletions; ++I)
      countCompletion(Counts, Popular, "own");
    applyCrashReport(Counts, Popular, "peer",
                     {MaxCountedCompletions / CompletionsPerCrash, 0}, Now);
    CHECK(isQuarantined(Counts, Popular));
  }
}
