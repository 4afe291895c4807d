#include "core/calls/RouteLookup.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pollenwick {
namespace {

constexpr std::uint32_t MaxCost = std::numeric_limits<std::uint32_t>::max();

std::uint32_t saturate(std::uint64_t Value) {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(Value, MaxCost));
}

using ServiceExecutions = absl::flat_hash_map<std::string_view, std::uint32_t>;

/// Counts how often each service runs for one call of a route, according to the
/// declared sub-calls.
struct ExecutionCounter {
  const RouteLookup &Index;
  absl::flat_hash_map<std::string_view, ServiceExecutions> CountedRoutes;
  absl::flat_hash_map<std::string_view, bool> VisitedRoutes;

  // The depth of the call graph bounds the recursion. Bundle validation rejects
  // cycles; should there be one, its routes get the maximum cost, so they are
  // never retried.
  // NOLINTNEXTLINE(misc-no-recursion)
  ServiceExecutions countExecutions(const RouteSpec &Route) {
    if (const auto It = CountedRoutes.find(Route.Id.Text);
        It != CountedRoutes.end())
      return It->second;
    ServiceExecutions Total;
    if (std::exchange(VisitedRoutes[Route.Id.Text], true)) {
      Total[Route.Service.Text] = MaxCost;
      return Total;
    }
    Total[Route.Service.Text] = 1;
    for (const EdgeSpec &Edge : Route.Calls) {
      const RouteEntry *Callee = findRoute(Index, Edge.Route);
      if (Callee == nullptr)
        continue;
      for (const auto &[Service, Calls] : countExecutions(*Callee->Spec)) {
        std::uint32_t &CalleeExecutions = Total[Service];
        CalleeExecutions =
            saturate(CalleeExecutions + std::uint64_t{Calls} * Edge.Count);
      }
    }
    return CountedRoutes[Route.Id.Text] = std::move(Total);
  }
};

} // namespace

RouteLookup indexRoutes(std::shared_ptr<const Bundle> Rules) {
  RouteLookup Index;
  Index.Rules = std::move(Rules);
  for (const RouteSpec &Route : Index.Rules->Routes)
    Index.Routes.try_emplace(Route.Id.Text, RouteEntry{&Route, 1});
  ExecutionCounter Counter{Index, {}, {}};
  absl::flat_hash_map<std::string_view, std::uint32_t> Costs;
  for (const RouteSpec &Route : Index.Rules->Routes) {
    std::uint32_t Cost = 1;
    for (const auto &[Service, Calls] : Counter.countExecutions(Route))
      Cost = std::max(Cost, Calls);
    Costs[Route.Id.Text] = Cost;
  }
  for (auto &[Id, Entry] : Index.Routes)
    Entry.RetryCost = Costs[Id];
  return Index;
}

const RouteEntry *findRoute(const RouteLookup &Index, const RouteId &Route) {
  const auto It = Index.Routes.find(Route.Text);
  return It == Index.Routes.end() ? nullptr : &It->second;
}

const RouteEntry *findRouteByPath(const RouteLookup &Index,
                                  std::string_view Path) {
  if (!Path.starts_with('/'))
    return nullptr;
  Path.remove_prefix(1);
  Path = Path.substr(0, Path.find_first_of("?#"));
  const std::size_t ServiceEnd = Path.find('/');
  if (ServiceEnd == std::string_view::npos)
    return nullptr;
  const auto It =
      Index.Routes.find(Path.substr(0, Path.find('/', ServiceEnd + 1)));
  return It == Index.Routes.end() ? nullptr : &It->second;
}

} // namespace pollenwick
