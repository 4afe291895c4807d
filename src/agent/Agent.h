#ifndef POLLENWICK_AGENT_AGENT_H
#define POLLENWICK_AGENT_AGENT_H

#include <memory>
#include <optional>
#include <string>

#include "agent/Backend.h"
#include "agent/CallerListener.h"
#include "agent/ConfigurationSource.h"
#include "agent/CustomerShareReport.h"
#include "agent/EventLoop.h"
#include "agent/FleetState.h"
#include "agent/HealthClient.h"
#include "agent/Ingress.h"
#include "agent/Log.h"
#include "agent/MemoryReport.h"
#include "agent/Metrics.h"
#include "agent/PeerLinks.h"
#include "agent/PlatformAdapter.h"
#include "agent/RecordSync.h"
#include "agent/ServiceRegistry.h"
#include "agent/Settings.h"
#include "agent/StatusExchange.h"
#include "core/drain/StopPlan.h"

namespace pollenwick::agent {

/// The process that runs next to each backend server. It connects the caller
/// port, the peer port, the configuration source and the decisions on admission
/// and placement through one event loop.
class Agent : public PeerEventHandler {
public:
  Agent(Settings Options, PlatformAdapter Protocol,
        std::unique_ptr<ConfigurationSource> ConfigSource);
  ~Agent() override;

  /// Serves until a drain that `beginDrain` started has finished: all requests
  /// are answered or the drain grace period is over.
  void run();
  /// Starts a graceful shutdown. Safe to call from any thread.
  void beginDrain();
  /// Reads the settings file again and logs its errors. Safe to call from any
  /// thread.
  void reload();

  std::uint64_t onPeerCall(CallRequest &&Request,
                           CallResultHandler Done) override;
  void onPeerCancel(std::uint64_t Number) override;
  void onPeerRecall(std::uint64_t Number) override;
  void onPeerStatus(const std::string &Ip, StatusFrame &&Status) override;
  void onStatusToRelay(const std::string &Ip,
                       const RelayedStatusFrame &Frame) override;
  void onPeerPull(PeerLink &Link, const PullFrame &Pull) override;
  void onPeerRecords(const std::string &Ip, RecordsFrame &&Frame) override;
  void onPeerConnected(PeerLink &Link) override;
  void onPeerAvailabilityChange(const PeerAvailabilityChange &Change) override;
  void onCallsResumed(const ResumedCallCounts &Calls) override;

private:
  class StatusEndpoint;

  void applyDirectoryChange(const ServiceRegistry::Change &Change);
  /// Bounds the connections of callers by the descriptors that the other parts
  /// leave.
  void limitConnections(std::size_t ServerConnections);
  void tick();
  void logAdmissionChanges();
  void logPeerTraffic();
  void logTrafficTotals();
  void reloadChangedSettings();
  void advanceDrain();
  /// Gives up what has not begun when the stop's call deadline has passed.
  void giveUpWaiting();
  /// Answers what is left, shortly before the process ends.
  void answerRemaining();
  StatusFrame localStatus() const;
  bool isReady() const { return ServerDirectory.rules() != nullptr && !Stop; }
  std::string renderMetrics();

  Settings Options;
  PlatformAdapter Protocol;
  EventLoop Loop;
  LogWriter Log;
  Metrics Counters;
  ServiceRegistry ServerDirectory;
  FleetState Fleet;
  Backend LocalBackend;
  HealthClient Health;
  PeerLinks Peers;
  Ingress RequestIngress;
  CallerListener Listener;
  MemoryReport MemoryState;
  std::unique_ptr<StatusEndpoint> ReadinessEndpoint;
  std::unique_ptr<StatusEndpoint> MetricsEndpoint;
  std::unique_ptr<ConfigurationSource> ConfigSource;
  RecordSync Records;
  StatusExchange Statuses;
  std::optional<StopPlan> Stop; ///< Unset until `beginDrain`.
  /// Requests that had no answer at the stop's `AnswerBy`.
  std::size_t UnansweredAtStop = 0;
  Instant LastTickAt;
  CustomerShareReport CustomerReport;
  /// Admitted share that was last logged, 0 to 1, by service.
  std::map<std::string, double> LoggedAdmittedShare;
  std::uint64_t TickCount = 0;
  /// Modification time of the settings file in nanoseconds since the Unix
  /// epoch; 0 when there is no file.
  std::int64_t SettingsModifiedNs = 0;
};

} // namespace pollenwick::agent

#endif
