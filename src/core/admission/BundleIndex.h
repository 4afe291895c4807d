#ifndef POLLENWICK_CORE_ADMISSION_BUNDLEINDEX_H
#define POLLENWICK_CORE_ADMISSION_BUNDLEINDEX_H

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "pollenwick/Bundle.h"

namespace pollenwick {

/// Positions in the vectors of a `BundleIndex`; valid for one bundle only.
using ServiceIndex = std::uint32_t;
using CustomerIndex = std::uint32_t;
using RouteIndex = std::uint32_t;

struct RouteDependencies {
  ServiceIndex Service = 0;
  std::uint32_t Rank = 0; ///< Dense: 0 is shed last.
  std::vector<ServiceIndex>
      ReachedServices; ///< Reached, its own included, sorted.
};

/// What admission needs of a bundle, computed once per bundle.
struct BundleIndex {
  std::vector<ServiceId> Services;
  std::vector<std::uint32_t> Slots; ///< Per backend server, by service.
  std::vector<CustomerId> Customers;
  std::vector<std::uint32_t> Weights; ///< By customer, at least 1.
  std::vector<RouteDependencies> Routes;
  std::uint32_t RankCount = 1; ///< Number of distinct ranks.
  std::unordered_map<ServiceId, ServiceIndex> ServiceByName;
  std::unordered_map<CustomerId, CustomerIndex> CustomerByName;
  std::unordered_map<RouteId, RouteIndex> RouteByName;
};

/// Edges to unknown routes are ignored, cycles are followed once; the bundle
/// check reports both.
BundleIndex buildBundleIndex(const Bundle &Rules);

} // namespace pollenwick

#endif
