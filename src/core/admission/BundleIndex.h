#ifndef POLLENWICK_CORE_ADMISSION_BUNDLEINDEX_H
#define POLLENWICK_CORE_ADMISSION_BUNDLEINDEX_H

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "pollenwick/Bundle.h"

namespace pollenwick {

/// Indexes into the vectors of a `BundleIndex`, valid for one bundle only.
using ServiceIndex = std::uint32_t;
using CustomerIndex = std::uint32_t;
using RouteIndex = std::uint32_t;

/// Rank of a route and the services that its calls reach.
struct RouteDependencies {
  ServiceIndex Service = 0; ///< Service that the route belongs to.
  /// Rank of its class, numbered without gaps; 0 is shed last.
  std::uint32_t Rank = 0;
  /// Services in the call graph below the route and its own, sorted.
  std::vector<ServiceIndex> ReachedServices;
};

/// Data of a bundle that admission needs, with names resolved to indexes. It is
/// computed once per bundle.
struct BundleIndex {
  std::vector<ServiceId> Services;
  std::vector<std::uint32_t> Slots; ///< Slots per backend server, by service.
  std::vector<CustomerId> Customers;
  /// Fairness weight by customer, at least 1.
  std::vector<std::uint32_t> Weights;
  std::vector<RouteDependencies> Routes; ///< By route.
  std::uint32_t RankCount = 1; ///< Number of distinct ranks, at least 1.
  std::unordered_map<ServiceId, ServiceIndex> ServiceByName;
  std::unordered_map<CustomerId, CustomerIndex> CustomerByName;
  std::unordered_map<RouteId, RouteIndex> RouteByName;
};

/// Builds the index of a bundle. Calls to unknown routes are ignored and cycles
/// of calls are followed once; the bundle check reports both as errors.
BundleIndex buildBundleIndex(const Bundle &Rules);

} // namespace pollenwick

#endif
