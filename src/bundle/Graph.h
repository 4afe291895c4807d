#ifndef POLLENWICK_BUNDLE_GRAPH_H
#define POLLENWICK_BUNDLE_GRAPH_H

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenwick/Bundle.h"

namespace pollenwick {

/// Call graph of the routes of a bundle. Edges to unknown routes are left out.
/// Refers to the bundle, which must outlive it.
class CallGraph {
public:
  explicit CallGraph(const Bundle &Source);

  std::optional<std::size_t> find(const RouteId &Id) const;
  const RouteSpec &route(std::size_t Index) const { return *Routes[Index]; }
  std::size_t size() const { return Routes.size(); }
  /// Routes that a route calls directly.
  const std::vector<std::size_t> &callees(std::size_t Index) const {
    return Edges[Index];
  }

  /// Routes of one cycle, the first one repeated at the end; empty if none.
  std::vector<std::size_t> findCycle() const;
  /// Length of the longest chain of calls from each route, itself included;
  /// empty if the graph has a cycle.
  std::vector<std::uint32_t> callChainLengths() const;
  /// Everything a route reaches, without itself, in breadth-first order.
  std::vector<std::size_t> reachableRoutes(std::size_t From) const;
  /// Calls that one call causes without retries, itself included. Saturates at
  /// 10^12. The graph must have no cycle.
  std::uint64_t declaredCalls(std::size_t From) const;

private:
  /// Routes in an order in which callees come first; the routes that are left
  /// out lie on a cycle or reach one.
  std::vector<std::size_t> topologicalOrder() const;

  std::vector<const RouteSpec *> Routes;
  std::vector<std::vector<std::size_t>> Edges;
  std::vector<std::vector<std::uint32_t>> CallCounts;
  std::unordered_map<RouteId, std::size_t> Index;
};

} // namespace pollenwick

#endif
