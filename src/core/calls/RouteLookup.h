#ifndef POLLENWICK_CORE_CALLS_ROUTELOOKUP_H
#define POLLENWICK_CORE_CALLS_ROUTELOOKUP_H

#include <cstdint>
#include <memory>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "pollenwick/Bundle.h"

namespace pollenwick {

/// A route and the price of retrying it.
struct RouteEntry {
  const RouteSpec *Spec = nullptr;
  /// Retry allowance that one retry of the route consumes: the number of times
  /// that the most frequently called service runs for one call of the route. It
  /// is 1 if the calls form a chain of different services.
  std::uint32_t RetryCost = 1;
};

/// Index of the routes of one bundle by id. Immutable, shared between threads.
struct RouteLookup {
  std::shared_ptr<const Bundle> Rules;
  absl::flat_hash_map<std::string_view, RouteEntry> Routes;
};

RouteLookup indexRoutes(std::shared_ptr<const Bundle> Rules);

/// Returns the route with the given id, or null if the bundle has none.
const RouteEntry *findRoute(const RouteLookup &Index, const RouteId &Route);

/// Returns the route of a request path `/SERVICE/ROUTE[/...][?...]`, or null if
/// the bundle has none for the path.
const RouteEntry *findRouteByPath(const RouteLookup &Index,
                                  std::string_view Path);

} // namespace pollenwick

#endif
