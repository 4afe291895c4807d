#ifndef POLLENWICK_CORE_CALLS_ROUTELOOKUP_H
#define POLLENWICK_CORE_CALLS_ROUTELOOKUP_H

#include <cstdint>
#include <memory>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "pollenwick/Bundle.h"

namespace pollenwick {

struct RouteEntry {
  const RouteSpec *Spec = nullptr;
  /// Allowance that one retry of the route consumes: the largest number of
  /// executions of any one service that one call of the route declares. 1 for
  /// a chain.
  std::uint32_t RetryCost = 1;
};

/// Routes of one bundle by id. Immutable, shared between threads.
struct RouteLookup {
  std::shared_ptr<const Bundle> Rules;
  absl::flat_hash_map<std::string_view, RouteEntry> Routes;
};

RouteLookup indexRoutes(std::shared_ptr<const Bundle> Rules);

/// Null if the bundle has no such route.
const RouteEntry *findRoute(const RouteLookup &Index, const RouteId &Route);

/// Route of a request path `/SERVICE/ROUTE[/...][?...]`; null if none.
const RouteEntry *findRouteByPath(const RouteLookup &Index,
                                  std::string_view Path);

} // namespace pollenwick

#endif
