#ifndef POLLENWICK_NODE_MEMBERSHIPSERVICE_H
#define POLLENWICK_NODE_MEMBERSHIPSERVICE_H

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/DatagramSocket.h>

#include "core/membership/Membership.h"
#include "node/ComponentRegistry.h"
#include "node/ConfigUpdater.h"
#include "node/Counters.h"
#include "node/CrashService.h"
#include "node/Forwarder.h"
#include "node/Settings.h"
#include "node/ViewService.h"

namespace pollenwick {

/// Exchanges heartbeats with a few other nodes. Reports hosts that leave or
/// restart to the Forwarder, and tells the ConfigUpdater which hosts to pull
/// the configuration from. Heartbeats also carry crash suspicions.
class MembershipService final : public Component {
public:
  MembershipService(const Settings &S, const IncarnationId &Self,
                    const ComponentRegistry &Registry);

  std::string_view name() const override { return "membership"; }
  /// Binds the UDP socket. Returns an empty string on success, otherwise an
  /// error message that names the remedy.
  std::string open();
  void start() override;
  void stop() override;
  void dump(Poco::JSON::Object &Out) const override;

  /// Sets the members to the hosts of a new bundle and updates the pull
  /// sources.
  void onBundle(const BundlePtr &New);
  /// Marks this host as leaving in its heartbeats and sends the next one at
  /// once.
  void announceLeaving();

private:
  void run();
  void receive();
  void sendDueHeartbeats();
  void applyHeartbeat(const Heartbeat &Beat);
  void publishPullSources();
  void readHostList();

  const Settings Options;
  const IncarnationId Self;
  Counters &NodeCounters;
  ViewService &View;
  BundleStore &Bundles;
  CrashService &Crashes;
  Forwarder &CallForwarder;
  ConfigUpdater &Config;
  Poco::Net::DatagramSocket Socket;

  mutable std::mutex Mutex;
  MembershipState State;
  MembershipSettings Tuning;

  std::atomic<bool> Stopping = false;
  std::thread Thread;
  std::thread HostListThread;
};

} // namespace pollenwick

#endif
