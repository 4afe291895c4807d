#include "bundle/Graph.h"

#include <algorithm>

namespace pollenwick {
namespace {

constexpr std::uint64_t MaxDeclaredCalls = 1'000'000'000'000;

} // namespace

CallGraph::CallGraph(const Bundle &Source) {
  for (const RouteSpec &Route : Source.Routes)
    if (Index.emplace(Route.Id, Routes.size()).second)
      Routes.push_back(&Route);
  Edges.resize(Routes.size());
  CallCounts.resize(Routes.size());
  for (std::size_t I = 0; I < Routes.size(); ++I)
    for (const EdgeSpec &Edge : Routes[I]->Calls)
      if (const auto To = find(Edge.Route)) {
        Edges[I].push_back(*To);
        CallCounts[I].push_back(Edge.Count);
      }
}

std::optional<std::size_t> CallGraph::find(const RouteId &Id) const {
  const auto Found = Index.find(Id);
  if (Found == Index.end())
    return std::nullopt;
  return Found->second;
}

std::vector<std::size_t> CallGraph::topologicalOrder() const {
  std::vector<std::size_t> UnorderedCallees(size());
  std::vector<std::vector<std::size_t>> Callers(size());
  for (std::size_t I = 0; I < size(); ++I) {
    UnorderedCallees[I] = Edges[I].size();
    for (const std::size_t To : Edges[I])
      Callers[To].push_back(I);
  }
  std::vector<std::size_t> Order;
  for (std::size_t I = 0; I < size(); ++I)
    if (UnorderedCallees[I] == 0)
      Order.push_back(I);
  for (std::size_t Next = 0; Next < Order.size(); ++Next)
    for (const std::size_t Caller : Callers[Order[Next]])
      if (--UnorderedCallees[Caller] == 0)
        Order.push_back(Caller);
  return Order;
}

std::vector<std::size_t> CallGraph::findCycle() const {
  const std::vector<std::size_t> Order = topologicalOrder();
  if (Order.size() == size())
    return {};
  std::vector<bool> Sorted(size(), false);
  for (const std::size_t I : Order)
    Sorted[I] = true;
  // Each unsorted route calls another unsorted route, so a walk along these
  // calls must reach a route that it has already visited.
  std::size_t At = static_cast<std::size_t>(
      std::find(Sorted.begin(), Sorted.end(), false) - Sorted.begin());
  std::vector<std::size_t> Path;
  std::vector<bool> Visited(size(), false);
  while (!Visited[At]) {
    Visited[At] = true;
    Path.push_back(At);
    At = *std::find_if(Edges[At].begin(), Edges[At].end(),
                       [&](std::size_t To) { return !Sorted[To]; });
  }
  Path.erase(Path.begin(), std::find(Path.begin(), Path.end(), At));
  Path.push_back(At);
  return Path;
}

std::vector<std::uint32_t> CallGraph::callChainLengths() const {
  const std::vector<std::size_t> Order = topologicalOrder();
  if (Order.size() != size())
    return {};
  std::vector<std::uint32_t> Depth(size(), 1);
  for (const std::size_t I : Order)
    for (const std::size_t To : Edges[I])
      Depth[I] = std::max(Depth[I], Depth[To] + 1);
  return Depth;
}

std::vector<std::size_t> CallGraph::reachableRoutes(std::size_t From) const {
  std::vector<bool> Seen(size(), false);
  Seen[From] = true;
  std::vector<std::size_t> Found{From};
  for (std::size_t Next = 0; Next < Found.size(); ++Next)
    for (const std::size_t To : Edges[Found[Next]])
      if (!Seen[To]) {
        Seen[To] = true;
        Found.push_back(To);
      }
  Found.erase(Found.begin());
  return Found;
}

std::uint64_t CallGraph::declaredCalls(std::size_t From) const {
  std::vector<std::uint64_t> Calls(size(), 1);
  for (const std::size_t I : topologicalOrder())
    for (std::size_t E = 0; E < Edges[I].size(); ++E)
      Calls[I] = std::min(MaxDeclaredCalls,
                          Calls[I] + Calls[Edges[I][E]] * CallCounts[I][E]);
  return Calls[From];
}

} // namespace pollenwick
