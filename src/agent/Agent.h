#ifndef POLLENWICK_AGENT_AGENT_H
#define POLLENWICK_AGENT_AGENT_H

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "agent/Backend.h"
#include "agent/CallerListener.h"
#include "agent/Dialect.h"
#include "agent/Directory.h"
#include "agent/EventLoop.h"
#include "agent/FleetState.h"
#include "agent/Ingress.h"
#include "agent/Log.h"
#include "agent/Metrics.h"
#include "agent/PeerLinks.h"
#include "agent/Settings.h"
#include "agent/Source.h"

namespace pollenwick::agent {

/// One process beside a backend server: joins the ports, the decisions and the
/// source of configuration on one event loop.
class Agent : public PeerEvents {
public:
  Agent(Settings Options, Dialect Protocol,
        std::unique_ptr<Source> ConfigSource);
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
  void onPeerPresence(const PeerPresence &Change) override;
  void onCallsResumed(const ResumedCalls &Calls) override;

private:
  class StatusEndpoint;

  void applySourceUpdate(SourceNews &&News);
  void applyDirectoryChange(const Directory::Change &Change);
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
  Dialect Protocol;
  EventLoop Loop;
  LogWriter Log;
  Metrics Counters;
  Directory ServerDirectory;
  FleetState Fleet;
  Backend LocalBackend;
  PeerLinks Peers;
  Ingress RequestIngress;
  CallerListener Listener;
  std::unique_ptr<StatusEndpoint> ReadinessEndpoint;
  std::unique_ptr<StatusEndpoint> MetricsEndpoint;
  std::unique_ptr<Source> ConfigSource;
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
