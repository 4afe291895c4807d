#include "core/memory/DescriptorShares.h"

#include <algorithm>

namespace pollenwick {
namespace {

/// The platform keeps this many descriptors of a process for files.
constexpr std::size_t FileDescriptors = 200;
/// Event loop, listeners, connections to the store, log, and connections for
/// readiness and metrics.
constexpr std::size_t ProcessDescriptors = 64;
/// Both nodes may open a connection at the same time, and a lost one may still
/// be open while the next is opened.
constexpr std::size_t DescriptorsPerPeer = 3;
/// Peers that are assumed while the list of servers is not known or short.
constexpr std::size_t MinPeers = 16;
/// Callers are served even if the limit is too small for all shares.
constexpr std::size_t MinCallerConnections = 16;

} // namespace

std::size_t callerConnectionLimit(std::size_t Limit,
                                  const DescriptorNeeds &Needs) {
  const std::size_t Reserved =
      FileDescriptors + ProcessDescriptors +
      DescriptorsPerPeer * std::max(MinPeers, Needs.Peers) +
      Needs.ServerConnections;
  return std::max(MinCallerConnections, Limit - std::min(Limit, Reserved));
}

} // namespace pollenwick
