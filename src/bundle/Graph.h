#ifndef POLLENWICK_BUNDLE_GRAPH_H
#define POLLENWICK_BUNDLE_GRAPH_H

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenwick/Bundle.h"

namespace pollenwick {

/// Directed graph of the calls that the routes of a bundle declare. Omits calls
/// to routes that the bundle does not define. Keeps references to the bundle,
/// which must outlive the graph.
class CallGraph {
public:
  explicit CallGraph(const Bundle &Source);

  /// Returns the index of a route, or nothing if the bundle does not define it.
  std::optional<std::size_t> find(const RouteId &Id) const;
  const RouteSpec &route(std::size_t Index) const { return *Routes[Index]; }
  std::size_t size() const { return Routes.size(); }
  /// Returns the indexes of the routes that a route calls directly.
  const std::vector<std::size_t> &callees(std::size_t Index) const {
    return Edges[Index];
  }

  /// Returns the routes of one cycle in call order, with the first route
  /// repeated at the end. Returns an empty list if the graph has no cycle.
  std::vector<std::size_t> findCycle() const;
  /// Returns, for each route, the number of routes in the longest chain of
  /// calls that starts at it, including the route itself. Returns an empty list
  /// if the graph has a cycle.
  std::vector<std::uint32_t> callChainLengths() const;
  /// Returns the routes that a route calls directly or indirectly, in
  /// breadth-first order and without the route itself.
  std::vector<std::size_t> reachableRoutes(std::size_t From) const;
  /// Returns the number of calls that one call to a route causes without
  /// retries, including the call itself. The count saturates at 10^12. The
  /// graph must have no cycle.
  std::uint64_t declaredCalls(std::size_t From) const;

private:
  /// Returns the routes sorted so that each route follows the routes that it
  /// calls. Omits the routes that are on a cycle or call into one.
  std::vector<std::size_t> topologicalOrder() const;

  std::vector<const RouteSpec *> Routes;
  std::vector<std::vector<std::size_t>> Edges;
  std::vector<std::vector<std::uint32_t>> CallCounts;
  std::unordered_map<RouteId, std::size_t> Index;
};

} // namespace pollenwick

#endif
