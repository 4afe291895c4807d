#ifndef POLLENWICK_AGENT_AGENT_H
#define POLLENWICK_AGENT_AGENT_H

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "agent/Backend.h"
#include "agent/CallerPort.h"
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
  Agent(Settings Options, PlatformAdapter Words,
        std::unique_ptr<ConfigurationSource> Reader);
  ~Agent() override;

  /// Serves until `beginDrain` was called and everything has been answered.
  void run();
  /// Safe from any thread.
  void beginDrain();
  void reload();

  std::uint64_t onPeerCall(CallRequest &&Request, AnswerHandler Done) override;
  void onPeerCancel(std::uint64_t Number) override;
  void onPeerStatus(const std::string &Ip, StatusFrame &&Status) override;
  void onPeerPull(PeerLink &Link, const PullFrame &Pull) override;
  void onPeerRecords(RecordsFrame &&Records) override;
  void onPeerConnected(PeerLink &Link) override;
  void onPeerAvailabilityChange(const PeerAvailabilityChange &Change) override;
  void onCallsResumed(const ResumedCallCounts &Calls) override;

private:
  class StatusPort;

  void takeNews(ConfigurationUpdate &&News);
  void takeChange(const ServiceRegistry::Change &Change);
  void tick();
  void pullFromPeers();
  void logAdmission();
  void watchSettingsFile();
  void drainStep();
  StatusFrame status() const;
  bool ready() const { return Hosts.rules() != nullptr && !DrainBegan; }
  std::string renderMetrics();

  Settings Options;
  PlatformAdapter Words;
  EventLoop Loop;
  LogWriter Log;
  Metrics Counters;
  ServiceRegistry Hosts;
  FleetState Fleet;
  Backend Local;
  PeerLinks Peers;
  Ingress Requests;
  CallerPort Callers;
  std::unique_ptr<StatusPort> Ready;
  std::unique_ptr<StatusPort> MetricsPort;
  std::unique_ptr<ConfigurationSource> Reader;
  std::optional<Instant> DrainBegan; ///< Set once this process was told to end.
  std::set<RecordKind> LostKinds;    ///< Records that the source does not give.
  std::string AheadPeer;             ///< A peer that knows newer records.
  std::optional<Instant> AheadSince;
  Instant LastTick;
  std::map<std::string, double> LoggedKeep;
  StatusFrame LastSent; ///< What the peers know of this node.
  std::uint64_t Ticks = 0;
  std::int64_t SettingsStamp = 0;
};

} // namespace pollenwick::agent

#endif
