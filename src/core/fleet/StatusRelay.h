#ifndef POLLENWICK_CORE_FLEET_STATUSRELAY_H
#define POLLENWICK_CORE_FLEET_STATUSRELAY_H

#include <cstddef>
#include <span>
#include <string>

namespace pollenwick {

/// Smallest number of nodes of another availability zone to which a node sends
/// its status through a relay. To fewer it sends the status itself: they save
/// little traffic, and a lost relay delays the status.
inline constexpr std::size_t MinRelayedNodes = 8;

/// Returns the node that passes on the status of the node at `OwnIp` within
/// another zone, of those there that can be reached; empty if there is none.
/// Different nodes choose different relays. The choice changes only when the
/// relay cannot be reached any more, or a preferred one can.
std::string chooseRelay(const std::string &OwnIp,
                        std::span<const std::string> ReachableIps);

} // namespace pollenwick

#endif
