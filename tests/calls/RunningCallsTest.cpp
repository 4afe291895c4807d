#include <catch2/catch.hpp>

#include "CallTree.h"

using namespace pollenwick;

TEST_CASE("Retries of one root request are bounded end to end", "[calls]") {
  SECTION("for every acyclic call graph and failure pattern") {
    CHECK(rc::check([] {
      Choices Draw = drawChoices(400);
      const unsigned Depth = 2 + Draw.pick(28);
      Bundle Rules = chainOf(Depth);
      // Adds a few edges. More edges would only enlarge the declared tree.
      for (unsigned I = Draw.pick(4); I > 0; --I) {
        const unsigned From = Draw.pick(Depth - 1);
        const unsigned To = From + 1 + Draw.pick(Depth - From - 1);
        if (To > From + 1)
          Rules.Routes[From].Calls.push_back({routeAt(To), 1 + Draw.pick(2)});
      }
      const auto Limit = declaredExecutions(Rules);
      CallTree Tree(Draw, Rules);
      Tree.Allowance = Draw.pick(6);
      Tree.HopFailsPercent = Draw.pick(10);
      Tree.NotRunPercent = 1 + Draw.pick(5);
      Tree.runRoot();
      for (const auto &[Service, Count] : Tree.Executions)
        RC_ASSERT(Count <= Limit.at(Service) + Tree.Allowance);
      RC_ASSERT(Tree.Running.Calls.empty());
    }));
  }
  SECTION("where independent retries at each hop would multiply") {
    constexpr unsigned Depth = 7;
    const auto LeafRuns = [](bool AtEachHop) {
      Choices Draw = seededChoices(20261204, 100'000);
      CallTree Tree(Draw, chainOf(Depth));
      Tree.RetryAtEachHop = AtEachHop;
      Tree.LeafFailsPercent = 100;
      Tree.HopFailsPercent = 0;
      Tree.NotRunPercent = 0;
      Tree.runRoot();
      return Tree.Executions["s6"];
    };
    CHECK(LeafRuns(false) <= 1 + 3);
    CHECK(LeafRuns(true) > 1 + 3);
    WARN("executions of a failing service "
         << Depth << " deep: " << LeafRuns(false)
         << ", with retries at each hop " << LeafRuns(true));
  }
}

TEST_CASE("A running call can make only the sub-calls that its route declares",
          "[calls]") {
  Bundle Rules = chainOf(3);
  Rules.Routes[0].Calls[0].Count = 2;
  Rules.Routes[1].Calls[0].Count = 5;
  Rules.Routes[2].Idempotent = false;
  const RouteLookup Index =
      indexRoutes(std::make_shared<const Bundle>(std::move(Rules)));
  ServiceRetryBudgets Ratios;
  RunningCalls Running;
  const Instant Now;
  const CallHandle Handle{{1, 2, 3}};
  CallContext Context;
  Context.Route = routeAt(1);
  Context.Deadline = Now + std::chrono::seconds(1);
  Context.Allowance.RemainingRetries = 3;
  REQUIRE(!beginCall(Running, Handle, Context));
  const auto Begin = [&](const RouteId &Route) {
    return beginSubCall(Running, Index, Ratios, Handle, Route, Now);
  };
  const auto Reason = [&](const RouteId &Route) {
    return std::get<Refusal>(Begin(Route)).Reason;
  };

  SECTION("a retry costs the most declared executions of any one service") {
    CHECK(findRoute(Index, routeAt(1))->RetryCost == 5);
    CHECK(findRoute(Index, routeAt(0))->RetryCost == 10);
    CHECK(findRoute(Index, routeAt(2))->RetryCost == 1);
  }
  SECTION("a non-idempotent sub-call is repeated only after a not-run reply") {
    for (int I = 0; I < 4; ++I)
      Begin(routeAt(2));
    const auto Last = std::get<SubCall>(Begin(routeAt(2)));
    CHECK(Reason(routeAt(2)) == RefusalReason::RetriesExhausted);
    finishSubCall(Running, Handle, Last.Number - 1, Outcome::Unknown, 9);
    CHECK(Reason(routeAt(2)) == RefusalReason::RetriesExhausted);
    finishSubCall(Running, Handle, Last.Number, Outcome::NotRun, 0);
    CHECK(std::get<SubCall>(Begin(routeAt(2))).IsRepeat);
    CHECK(Reason(routeAt(2)) == RefusalReason::RetriesExhausted);
  }
  SECTION("an overdue call is found and cancelled with its sub-calls") {
    const auto Sub = std::get<SubCall>(Begin(routeAt(2)));
    CHECK(overdueCalls(Running, Now).empty());
    CHECK(overdueCalls(Running, Context.Deadline).size() == 1);
    CHECK(cancelCall(Running, Handle) == std::vector{Sub.Number});
    CHECK(Reason(routeAt(2)) == RefusalReason::Cancelled);
    CHECK(overdueCalls(Running, Context.Deadline).empty());
  }
  SECTION(
      "sub-calls by undeclared edge, invalid handle or too late are refused") {
    CHECK(Reason(routeAt(0)) == RefusalReason::EdgeNotDeclared);
    CHECK(Reason(RouteId("a/b")) == RefusalReason::UnknownRoute);
    CHECK(parseCallHandle(formatCallHandle(Handle)) == Handle);
    CHECK(!parseCallHandle("zz"));
    finishCall(Running, Handle);
    CHECK(Reason(routeAt(2)) == RefusalReason::BadRequest);
  }
}
