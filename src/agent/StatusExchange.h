#ifndef POLLENWICK_AGENT_STATUSEXCHANGE_H
#define POLLENWICK_AGENT_STATUSEXCHANGE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "agent/PeerLinks.h"
#include "agent/PeerWire.h"
#include "agent/ServiceRegistry.h"
#include "agent/Settings.h"

namespace pollenwick::agent {

/// Sends the status of this node to all peers: within its availability zone and
/// to small zones directly, to a large zone once, through a relay there. Peers
/// that get no status directly get a heartbeat, because a silent connection
/// gets no calls.
class StatusExchange {
public:
  StatusExchange(const Settings &Options, const ServiceRegistry &Registry,
                 PeerLinks &Peers);

  /// Sends what has changed since the last call, now and then everything.
  void send(StatusFrame &&Full);
  /// Passes the status of the node at `Origin` on to the nodes of this zone.
  void relay(const std::string &Origin, const RelayedStatusFrame &Frame);

private:
  /// Returns the reachable peers of the zones that get the status through a
  /// relay, by zone.
  std::map<ZoneId, std::vector<std::string>> relayedZones() const;

  const Settings &Options;
  const ServiceRegistry &Registry;
  PeerLinks &Peers;
  StatusFrame LastSent;
  std::uint64_t SendCount = 0;
};

} // namespace pollenwick::agent

#endif
