#ifndef POLLENWICK_TESTS_CALLS_CALLTREE_H
#define POLLENWICK_TESTS_CALLS_CALLTREE_H

#include <map>
#include <memory>
#include <string>

#include "../Choices.h"
#include "core/calls/RunningCalls.h"

namespace pollenwick {

inline RouteId routeAt(unsigned Level) {
  return RouteId("s" + std::to_string(Level) + "/r");
}

/// Returns a chain of services with one route each. Level 0 is the root, and
/// each level calls the next one.
inline Bundle chainOf(unsigned Depth) {
  Bundle Rules;
  for (unsigned Level = 0; Level < Depth; ++Level) {
    RouteSpec Route;
    Route.Id = routeAt(Level);
    Route.Service = ServiceId("s" + std::to_string(Level));
    Route.Deadline = std::chrono::seconds(9);
    if (Level + 1 < Depth)
      Route.Calls.push_back({routeAt(Level + 1), 1});
    Rules.Routes.push_back(Route);
  }
  return Rules;
}

/// Simulates one root request with the running calls of every node it reaches.
struct CallTree {
  Choices &Decisions;
  RouteLookup Index;
  std::uint32_t Allowance = 3;
  bool RetryAtEachHop = false; ///< Every hop has the full allowance.
  unsigned LeafFailsPercent = 20;
  unsigned HopFailsPercent = 20;
  unsigned NotRunPercent = 10;
  Instant Now;
  ServiceRetryBudgets Ratios{{100'000, 0}, {}};
  RunningCalls Running;
  std::uint8_t LastHandleBytes[2] = {0, 0};
  std::map<std::string, std::uint64_t> Executions;

  CallTree(Choices &Source, Bundle Rules)
      : Decisions(Source),
        Index(indexRoutes(std::make_shared<const Bundle>(std::move(Rules)))) {}

  CallHandle nextHandle() {
    if (++LastHandleBytes[0] == 0)
      ++LastHandleBytes[1];
    return CallHandle{{LastHandleBytes[0], LastHandleBytes[1]}};
  }

  // NOLINTNEXTLINE(misc-no-recursion): as deep as the generated call graph.
  Outcome run(const RouteSpec &Route, std::uint32_t &AllowanceLeft) {
    if (Decisions.chance(NotRunPercent))
      return Outcome::NotRun;
    ++Executions[Route.Service.Text];
    const CallHandle Handle = nextHandle();
    CallContext Context;
    Context.Route = Route.Id;
    Context.Deadline = Now + Route.Deadline;
    Context.Allowance.RemainingRetries =
        RetryAtEachHop ? Allowance : AllowanceLeft;
    RC_ASSERT(!beginCall(Running, Handle, Context));
    bool AllSucceeded = true;
    for (const EdgeSpec &Edge : Route.Calls)
      for (std::uint32_t I = 0; I < Edge.Count && AllSucceeded; ++I)
        AllSucceeded = callUntilDone(Handle, Edge.Route);
    AllowanceLeft = finishCall(Running, Handle).value();
    const bool Leaf = Route.Calls.empty();
    if (!AllSucceeded ||
        Decisions.chance(Leaf ? LeafFailsPercent : HopFailsPercent))
      return Outcome::Unknown;
    return Outcome::Done;
  }

  /// Repeats a sub-call until it succeeds or the node refuses it, up to 8
  /// times.
  // NOLINTNEXTLINE(misc-no-recursion): as deep as the generated call graph.
  bool callUntilDone(const CallHandle &Parent, const RouteId &Route) {
    for (int Attempt = 0; Attempt < 8; ++Attempt) {
      const auto Begun =
          beginSubCall(Running, Index, Ratios, Parent, Route, Now);
      const auto *Sub = std::get_if<SubCall>(&Begun);
      if (Sub == nullptr)
        return false;
      std::uint32_t AllowanceLeft = Sub->Allowance;
      const Outcome Result = run(*findRoute(Index, Route)->Spec, AllowanceLeft);
      const bool Lost = Result != Outcome::NotRun && Decisions.pick(100) >= 90;
      const Outcome ObservedOutcome = Lost ? Outcome::Unknown : Result;
      finishSubCall(Running, Parent, Sub->Number, ObservedOutcome,
                    Lost ? 0 : AllowanceLeft);
      // A duplicate reply must not return any allowance.
      finishSubCall(Running, Parent, Sub->Number, ObservedOutcome,
                    AllowanceLeft);
      if (ObservedOutcome == Outcome::Done)
        return true;
    }
    return false;
  }

  /// Runs the root request as the ingress does, which retries it within the
  /// same allowance.
  Outcome runRoot() {
    RetryAllowance AllowanceLeft{Allowance};
    const RouteEntry &Root = *findRoute(Index, routeAt(0));
    for (int Attempt = 0; Attempt < 8; ++Attempt) {
      const std::uint32_t DelegatedAllowance = delegateRetries(AllowanceLeft);
      std::uint32_t ReturnedAllowance = DelegatedAllowance;
      const Outcome Result = run(*Root.Spec, ReturnedAllowance);
      returnRetries(AllowanceLeft, DelegatedAllowance, ReturnedAllowance);
      const FailedAttempt Failed{Result,         true, false,
                                 Root.RetryCost, {},   Now + Duration(1)};
      if (Result == Outcome::Done || consumeRetry(AllowanceLeft, Ratios, Failed,
                                                  Now) != RetryDecision::Retry)
        return Result;
    }
    return Outcome::Unknown;
  }
};

/// Returns how often each service runs for one call of the root according to
/// the declared edges. The computation is independent of `indexRoutes`.
inline std::map<std::string, std::uint64_t>
declaredExecutions(const Bundle &Rules) {
  std::map<std::string, std::uint64_t> Count{{routeAt(0).Text, 1}};
  std::map<std::string, std::uint64_t> Services;
  for (const RouteSpec &Route : Rules.Routes) {
    Services[Route.Service.Text] += Count[Route.Id.Text];
    for (const EdgeSpec &Edge : Route.Calls)
      Count[Edge.Route.Text] += Count[Route.Id.Text] * Edge.Count;
  }
  return Services;
}

} // namespace pollenwick

#endif
