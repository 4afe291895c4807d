#ifndef POLLENWICK_CORE_MEMORY_DESCRIPTORSHARES_H
#define POLLENWICK_CORE_MEMORY_DESCRIPTORSHARES_H

#include <cstddef>

namespace pollenwick {

/// What needs descriptors beside the connections of callers.
struct DescriptorNeeds {
  std::size_t Peers = 0;             ///< Other nodes of the fleet.
  std::size_t ServerConnections = 0; ///< Most connections to the own server.
};

/// Returns how many connections of callers a process may hold that may open
/// `Limit` descriptors; at least a few.
std::size_t callerConnectionLimit(std::size_t Limit,
                                  const DescriptorNeeds &Needs);

} // namespace pollenwick

#endif
