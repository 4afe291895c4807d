#include "agent/StatusExchange.h"

#include <set>
#include <utility>

#include "core/fleet/StatusRelay.h"

namespace pollenwick::agent {
namespace {

/// Every so many statuses one is sent in full. A peer that has missed some
/// changes, because a relay was lost, is complete again after it.
constexpr std::uint64_t FullStatusInterval = 8;

} // namespace

StatusExchange::StatusExchange(const Settings &TheOptions,
                               const ServiceRegistry &TheRegistry,
                               PeerLinks &ThePeers)
    : Options(TheOptions), Registry(TheRegistry), Peers(ThePeers) {}

std::map<ZoneId, std::vector<std::string>>
StatusExchange::relayedZones() const {
  std::map<ZoneId, std::vector<std::string>> Zones;
  for (const auto &[Ip, Zone] : Registry.nodeZones())
    if (Zone != Options.Zone && Peers.hasLiveLink(Ip))
      Zones[Zone].push_back(Ip);
  std::erase_if(Zones, [](const auto &Item) {
    return Item.second.size() < MinRelayedNodes;
  });
  return Zones;
}

void StatusExchange::send(StatusFrame &&Full) {
  const bool Everything = SendCount++ % FullStatusInterval == 0;
  const std::map<ZoneId, std::vector<std::string>> Relayed = relayedZones();
  const StatusFrame Changes = Everything ? Full : changesSince(Full, LastSent);
  const PeerFrame Direct = Changes;
  const PeerFrame ToRelay = RelayedStatusFrame{"", packStatus(Changes)};
  const PeerFrame Heartbeat = HeartbeatFrame{};
  std::set<std::string> Relays;
  std::set<std::string> Covered;
  for (const auto &[Zone, Ips] : Relayed) {
    Relays.insert(chooseRelay(Options.Ip, Ips));
    Covered.insert(Ips.begin(), Ips.end());
  }
  Peers.broadcast([&](const std::string &Ip) -> const PeerFrame & {
    if (Relays.contains(Ip))
      return ToRelay;
    return Covered.contains(Ip) ? Heartbeat : Direct;
  });
  LastSent = std::move(Full);
}

void StatusExchange::relay(const std::string &Origin,
                           const RelayedStatusFrame &Frame) {
  std::vector<std::string> Ips;
  for (const auto &[Ip, Zone] : Registry.nodeZones())
    if (Zone == Options.Zone && Ip != Options.Ip)
      Ips.push_back(Ip);
  Peers.sendTo(Ips, RelayedStatusFrame{Origin, Frame.Packed});
}

} // namespace pollenwick::agent
