#ifndef POLLENWICK_CORE_HOSTS_SOURCEREADERS_H
#define POLLENWICK_CORE_HOSTS_SOURCEREADERS_H

#include <cstdint>
#include <span>
#include <string>

namespace pollenwick {

/// What a node knows of another node of its availability zone.
struct ZonePeer {
  std::string Ip;
  /// Whether the peer was heard within the silence timeout.
  bool Reachable = false;
  /// Whether the peer reports that it cannot read the configuration service.
  bool SourceLost = false;
};

/// How a node uses the configuration service.
enum class SourceUse : std::uint8_t {
  Idle,  ///< Peers pass on what they read.
  Read,  ///< Reads, and retries quickly after a failure.
  Probe, ///< Reads, and retries slowly after a failure, because enough others
         ///< retry quickly.
};

/// Returns the number of nodes of each zone that read the configuration
/// service, so that a fleet has some spare readers.
std::size_t readersPerZone(std::size_t Zones);

/// Decides how the node at `OwnIp` uses the configuration service. All nodes of
/// a zone rank each other the same way. A node reads unless enough reachable
/// nodes that can read rank before it, so no message is needed to replace a
/// reader. Nodes whose views differ may read in larger number, and a node that
/// reaches nobody reads for itself.
SourceUse chooseSourceUse(const std::string &OwnIp,
                          std::span<const ZonePeer> Peers,
                          std::size_t ReadersPerZone);

} // namespace pollenwick

#endif
