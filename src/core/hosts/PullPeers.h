#ifndef POLLENWICK_CORE_HOSTS_PULLPEERS_H
#define POLLENWICK_CORE_HOSTS_PULLPEERS_H

#include <optional>
#include <span>
#include <string>

namespace pollenwick {

/// A reachable peer that may have records which a node lacks.
struct PullCandidate {
  std::string Ip;
  bool HasNewerRecord = false; ///< Than any that the node holds.
  bool Reads = false;          ///< It reads the configuration service.
};

/// Returns the peer to pull from, unset if there is none. Peers with a newer
/// record go first, then readers, because a node that only hears from others
/// may have the same gap. Peers of one rank take turns: the one whose address
/// follows `LastAsked` is next, so that no peer is asked again and again while
/// its answers do not help.
std::optional<std::string>
choosePullPeer(std::span<const PullCandidate> Candidates,
               const std::string &LastAsked);

} // namespace pollenwick

#endif
