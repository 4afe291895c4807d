#ifndef POLLENWICK_AGENT_AGENT_H
#define POLLENWICK_AGENT_AGENT_H

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "agent/Backend.h"
#include "agent/CallerListener.h"
#include "agent/ConfigurationSource.h"
#include "agent/EventLoop.h"
#include "agent/FleetState.h"
#include "agent/Ingress.h"
#include "agent/Log.h"
#include "agent/Metrics.h"
#include "agent/PeerLinks.h"
#include "agent/PlatformAdapter.h"
#include "agent/ServiceRegistry.h"
#include "agent/Settings.h"

namespace pollenwick::agent {

/// One process beside a backend server: joins the ports, the decisions and the
/// source of configuration on one event loop.
class Agent : public PeerEventHandler {
public:
  Agent(Settings Options, PlatformAdapter Protocol,
        std::unique_ptr<ConfigurationSource> ConfigSource);
  ~Agent() override;

  /// Serves until `beginDrain` was called and everything has been answered.
  void run();
  /// Safe from any thread.
  void beginDrain();
  void reload();

  std::uint64_t onPeerCall(CallRequest &&Request,
                           CallResultHandler Done) override;
  void onPeerCancel(std::uint64_t Number) override;
  void onPeerStatus(const std::string &Ip, StatusFrame &&Status) override;
  void onPeerPull(PeerLink &Link, const PullFrame &Pull) override;
  void onPeerRecords(RecordsFrame &&Records) override;
  void onPeerConnected(PeerLink &Link) override;
  void onPeerAvailabilityChange(const PeerAvailabilityChange &Change) override;
  void onCallsResumed(const ResumedCallCounts &Calls) override;

private:
  class StatusEndpoint;

  void applySourceUpdate(ConfigurationUpdate &&News);
  void applyDirectoryChange(const ServiceRegistry::Change &Change);
  void tick();
  void pullFromPeers();
  void logAdmissionChanges();
  void reloadChangedSettings();
  void advanceDrain();
  StatusFrame localStatus() const;
  bool isReady() const {
    return ServerDirectory.rules() != nullptr && !DrainStartedAt;
  }
  std::string renderMetrics();

  Settings Options;
  PlatformAdapter Protocol;
  EventLoop Loop;
  LogWriter Log;
  Metrics Counters;
  ServiceRegistry ServerDirectory;
  FleetState Fleet;
  Backend LocalBackend;
  PeerLinks Peers;
  Ingress RequestIngress;
  CallerListener Listener;
  std::unique_ptr<StatusEndpoint> ReadinessEndpoint;
  std::unique_ptr<StatusEndpoint> MetricsEndpoint;
  std::unique_ptr<ConfigurationSource> ConfigSource;
  std::optional<Instant>
      DrainStartedAt; ///< Set once this process was told to end.
  std::set<RecordKind>
      UnavailableKinds;         ///< Records that the source does not give.
  std::string NewerRecordsPeer; ///< A peer that knows newer records.
  std::optional<Instant> BehindPeerSince;
  Instant LastTickAt;
  std::map<std::string, double> LoggedAdmittedShare;
  StatusFrame LastSentStatus; ///< What the peers know of this node.
  std::uint64_t TickCount = 0;
  std::int64_t SettingsModifiedNs = 0;
};

} // namespace pollenwick::agent

#endif
