#include "agent/Agent.h"
#include "agent/StringUtil.h"
#include "core/memory/DescriptorShares.h"

#include <sys/resource.h>
#include <sys/stat.h>

#include <cmath>
#include <random>

namespace pollenwick::agent {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(250);
/// Time to write the last log lines, after the `ExitBy` of the stop.
constexpr std::chrono::milliseconds LogFlushTimeout{200};
constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);
/// Smallest change of an admitted share (0 to 1) that is logged.
constexpr double MinLoggedShareChange = 0.1;
constexpr std::uint64_t TicksPerSettingsCheck = 4;
constexpr std::uint64_t TicksPerTrafficLine = 40;
/// Readiness and metrics are read by few clients.
constexpr std::size_t MaxStatusConnections = 16;

std::uint64_t randomStartId() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

std::string_view callStatusName(CallStatus ResumedStatus) {
  switch (ResumedStatus) {
  case CallStatus::NeverReceived:
    return "not-received";
  case CallStatus::Running:
    return "running";
  case CallStatus::Answered:
    return "answered";
  case CallStatus::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::int64_t toMilliseconds(Duration Time) {
  return std::chrono::floor<std::chrono::milliseconds>(Time).count();
}

std::int64_t fileModifiedNs(const std::string &Path) {
  struct stat Info {};
  if (Path.empty() || ::stat(Path.c_str(), &Info) != 0)
    return 0;
  return Info.st_mtim.tv_sec * 1'000'000'000LL + Info.st_mtim.tv_nsec;
}

} // namespace

/// HTTP endpoint for readiness checks or metrics. It renders the response body
/// for each request.
class Agent::StatusEndpoint : public CallerEventHandler {
public:
  using Render =
      std::function<std::pair<int, std::string>(const std::string &)>;
  StatusEndpoint(EventLoop &Loop, const std::string &Address,
                 Render TheRenderBody)
      : RenderBody(std::move(TheRenderBody)), Port(Loop, *this, Address) {
    Port.setConnectionLimit(MaxStatusConnections);
  }

  void onRequest(const std::shared_ptr<CallerConnection> &From,
                 CallerRequest &&Request) override {
    const auto [Status, Body] = RenderBody(Request.Target);
    From->respond(Request.Number,
                  {Status, "Content-Type: text/plain\r\n", Body, Body.size()});
  }
  bool mayOverlap(const CallerRequest & /*Request*/) const override {
    return false;
  }
  void onCallerDisconnected(CallerRequestNumber /*Number*/) override {}

private:
  Render RenderBody;
  CallerListener Port;
};

Agent::Agent(Settings TheOptions, PlatformAdapter TheProtocol,
             std::unique_ptr<ConfigurationSource> TheConfigSource)
    : Options(std::move(TheOptions)), Protocol(std::move(TheProtocol)),
      Log(Options.NodeName), ServerDirectory(Protocol, Log),
      Fleet(Options, randomStartId()),
      LocalBackend(
          Loop, Protocol, Log, Options.ServerAddress,
          [this](const std::vector<std::uint64_t> &Fingerprints) {
            for (const std::uint64_t Fingerprint : Fingerprints)
              Fleet.countCrash(Fingerprint, Loop.now());
          },
          responseLimitsFor(Options.MemoryBytes)),
      Health(Loop, Protocol, Log, Counters, Options.ServerAddress,
             [this](Duration ColdRemaining) {
               LocalBackend.coldStart().onHealthReport(ColdRemaining,
                                                       Loop.now());
             }),
      Peers(Loop, Log, *this, Options.PeerAddress, Fleet.incarnation()),
      RequestIngress(Loop, Protocol, Options, Log, Counters, ServerDirectory,
                     Fleet, LocalBackend, Peers, Fleet.incarnation()),
      Listener(Loop, RequestIngress, Options.CallerAddress, Options.Pipeline),
      MemoryState(Loop.memory(), Listener),
      ConfigSource(std::move(TheConfigSource)),
      Records(Loop, Options, Log, ServerDirectory, Peers, *ConfigSource,
              [this](const ServiceRegistry::Change &Change) {
                applyDirectoryChange(Change);
              }),
      Statuses(Options, ServerDirectory, Peers), LastTickAt(Loop.now()),
      CustomerReport(Log),
      SettingsModifiedNs(fileModifiedNs(settingsFilePath())) {
  LocalBackend.setCompletionHandler([this](std::uint64_t Fingerprint) {
    Fleet.countCompletion(Fingerprint);
  });
  limitConnections(0);
  Loop.memory().setLimit(accountLimitFor(Options.MemoryBytes));
  ReadinessEndpoint = std::make_unique<StatusEndpoint>(
      Loop, Options.ReadyAddress, [this](const std::string &Target) {
        if (Target != Protocol.ReadyPath)
          return std::pair<int, std::string>(404, "unknown path\n");
        return isReady() ? std::pair<int, std::string>(200, "ready\n")
                         : std::pair<int, std::string>(503, "not ready\n");
      });
  if (!Options.MetricsAddress.empty())
    MetricsEndpoint = std::make_unique<StatusEndpoint>(
        Loop, Options.MetricsAddress, [this](const std::string &Target) {
          if (Target != "/metrics")
            return std::pair<int, std::string>(404, "unknown path\n");
          return std::pair<int, std::string>(200, renderMetrics());
        });
}

Agent::~Agent() = default;

void Agent::run() {
  LocalBackend.refuseCalls(NoConfigurationCause);
  Log.logStateChange(std::move(LogLine("started", Loop.now())
                                   .field("service", Options.Service.Text)
                                   .field("zone", Options.Zone.Text)
                                   .field("callers", Options.CallerAddress)));
  ConfigSource->start([this](ConfigurationUpdate &&News) {
    auto Shared = std::make_shared<ConfigurationUpdate>(std::move(News));
    Loop.post(
        [this, Shared] { Records.applySourceUpdate(std::move(*Shared)); });
  });
  Loop.callAt(Loop.now() + TickInterval, [this] { tick(); });
  Loop.run();
  ConfigSource->stop();
  Log.logStateChange(LogLine("stopped", Loop.now()));
  Log.finish(Loop.now(), LogFlushTimeout);
}

void Agent::applyDirectoryChange(const ServiceRegistry::Change &Change) {
  const ServerEntry *Own =
      ServerDirectory.findServerByAddress(Options.ServerAddress);
  ServiceRule Limits;
  if (ServerDirectory.rules()) {
    const auto Found = ServerDirectory.rules()->ByService.find(Options.Service);
    if (Found != ServerDirectory.rules()->ByService.end())
      Limits = *Found->second;
  }
  const std::string RefusalCause = serverRefusalCause(
      ServerDirectory.evacuations(), Options.Zone, Own ? Own->Zone : ZoneId(),
      ServerDirectory.recordsKnown());
  LocalBackend.coldStart().setRule(Limits.ColdStart);
  LocalBackend.refuseCalls(RefusalCause);
  const bool AskForHealth =
      Own && RefusalCause.empty() && Limits.ColdStart.StartsPerS > 0;
  Health.setTarget(AskForHealth ? HealthTarget{Limits.HealthPath, Own->Id.Text}
                                : HealthTarget{});
  if (!Change.RulesChanged && !Change.ServersChanged)
    return;
  if (ServerDirectory.rules())
    Listener.setLimits(ServerDirectory.rules()->Source.Limits);
  LocalBackend.setServer(Own, Limits.MaxConnections);
  limitConnections(Limits.MaxConnections);
  if (Change.ServersChanged)
    Peers.setPeers(ServerDirectory.nodeIps());
}

void Agent::limitConnections(std::size_t ServerConnections) {
  struct rlimit Limit {};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Listener.setConnectionLimit(callerConnectionLimit(
      Limit.rlim_cur, {ServerDirectory.nodeIps().size(), ServerConnections}));
}

StatusFrame Agent::localStatus() const {
  StatusFrame Status;
  Status.SentAt = Loop.now();
  Records.fillStatus(Status);
  Status.Service = Options.Service.Text;
  Status.ServerId = LocalBackend.serverId();
  Status.Load = LocalBackend.load();
  Status.OfferedSlotMicros = LocalBackend.counts().OfferedSlotMicros;
  Status.AvailableSlotMicros = LocalBackend.counts().AvailableSlotMicros;
  Status.Runs = LocalBackend.counts().CallsStarted;
  for (const auto &[Route, Work] : LocalBackend.routeWork().Routes)
    Status.RouteWork.push_back({Route, Work.Calls, Work.SlotMicros});
  Fleet.fillStatus(Status);
  return Status;
}

void Agent::tick() {
  Loop.callAt(Loop.now() + TickInterval, [this] { tick(); });
  const Duration Elapsed = Loop.now() - LastTickAt;
  LastTickAt = Loop.now();
  Peers.tick();
  Records.tick();
  StatusFrame Own = localStatus();
  Fleet.planQuotasAndAdmission(ServerDirectory, Own, Elapsed, Loop.now());
  logAdmissionChanges();
  CustomerReport.logChanges(Fleet.customerShares(), Fleet.admissionPlan(),
                            Loop.now());
  Statuses.send(std::move(Own));
  MemoryState.tick(Log, Loop.now());
  Log.tick(Loop.now());
  if (++TickCount % TicksPerSettingsCheck == 0)
    reloadChangedSettings();
  if (TickCount % TicksPerTrafficLine == 0) {
    logPeerTraffic();
    RequestIngress.logZoneTraffic();
    logTrafficTotals();
  }
}

void Agent::logPeerTraffic() {
  LogLine Line("peer-traffic", Loop.now());
  for (std::size_t Kind = 0; Kind < PeerFrameKinds; ++Kind)
    Line.field(concat(peerFrameName(Kind), "_bytes"),
               static_cast<std::int64_t>(Peers.sentBytes()[Kind]));
  Log.logStateChange(std::move(Line));
}

void Agent::logTrafficTotals() {
  Log.logStateChange(std::move(
      LogLine("traffic-totals", Loop.now())
          .field("zone", Options.Zone.Text)
          .field("service", Options.Service.Text)
          .field("server", LocalBackend.serverId())
          .field("runs_since_start",
                 static_cast<std::int64_t>(LocalBackend.counts().CallsStarted))
          .field("requests", RequestIngress.totals().takeRows())));
}

void Agent::logAdmissionChanges() {
  for (const auto &[Service, State] : Fleet.admissionPlan().Services) {
    double &Logged =
        LoggedAdmittedShare.try_emplace(Service, 1.0).first->second;
    if (std::abs(State.SustainableShare - Logged) < MinLoggedShareChange)
      continue;
    Logged = State.SustainableShare;
    const ServiceStats &Use = State.LatestStats;
    LogLine Line("admission-changed", Loop.now());
    Line.field("service", Service)
        .field("keep_pct",
               static_cast<std::int64_t>(100 * State.SustainableShare))
        .field("observed_use_pct",
               static_cast<std::int64_t>(100 * State.ObservedUtilization))
        .field("predicted_use_pct",
               static_cast<std::int64_t>(100 * State.PredictedUtilization))
        .field("offered_use_pct",
               static_cast<std::int64_t>(100 * Use.OfferedUtilization))
        .field("waiting_pct",
               static_cast<std::int64_t>(100 * Use.WaitingPerSlot));
    for (const auto &[Callee, Calls] : Use.NestedCallsPerRun)
      Line.field(concat("calls_", Callee, "_pct"),
                 static_cast<std::int64_t>(100 * Calls));
    Log.logStateChange(std::move(Line));
  }
}

void Agent::onPeerAvailabilityChange(const PeerAvailabilityChange &Change) {
  Log.logStateChange(std::move(
      LogLine(Change.Usable ? "peer-regained" : "peer-lost", Loop.now())
          .field("peer", Change.Ip)
          .field(Change.Usable ? "lost_ms" : "usable_ms",
                 toMilliseconds(Change.PreviousStateDuration))
          .field("peers_connected",
                 static_cast<std::int64_t>(Peers.connectedPeerCount()))));
}

void Agent::onCallsResumed(const ResumedCallCounts &Calls) {
  LogLine Line("calls-resumed", Loop.now());
  Line.field("peer", Calls.Ip);
  for (const auto &[ResumedStatus, Count] : Calls.CountByStatus) {
    Counters.incrementCounter("calls_resumed_total",
                              callStatusName(ResumedStatus), Count);
    Line.field(callStatusName(ResumedStatus), static_cast<std::int64_t>(Count));
  }
  Log.logStateChange(std::move(Line));
}

void Agent::onPeerStatus(const std::string &Ip, StatusFrame &&Status) {
  Fleet.applyStatus(Ip, Status, Loop.now());
  ServerDirectory.applyLoad(Status.ServerId, Status.Load, Loop.now());
  Records.onPeerStatus(Ip, Status);
}

void Agent::onStatusToRelay(const std::string &Ip,
                            const RelayedStatusFrame &Frame) {
  Statuses.relay(Ip, Frame);
}

void Agent::onPeerPull(PeerLink &Link, const PullFrame &Pull) {
  Records.onPeerPull(Link, Pull);
}

void Agent::onPeerRecords(const std::string &Ip, RecordsFrame &&Frame) {
  Records.onPeerRecords(Ip, Frame);
}

void Agent::onPeerConnected(PeerLink &Link) {
  Link.send(PeerFrame(localStatus()));
}

std::uint64_t Agent::onPeerCall(CallRequest &&Request, CallResultHandler Done) {
  return LocalBackend.submit(std::move(Request), std::move(Done));
}

void Agent::onPeerCancel(std::uint64_t Number) { LocalBackend.cancel(Number); }

void Agent::onPeerRecall(std::uint64_t Number) { LocalBackend.recall(Number); }

void Agent::reloadChangedSettings() {
  const std::int64_t ModifiedNs = fileModifiedNs(settingsFilePath());
  if (ModifiedNs == SettingsModifiedNs)
    return;
  SettingsModifiedNs = ModifiedNs;
  reload();
}

void Agent::reload() {
  Loop.post([this] {
    const std::vector<std::string> Errors = reloadSettings(Options);
    if (Errors.empty())
      Log.logStateChange(LogLine("settings-reloaded", Loop.now()));
    for (const std::string &Error : Errors)
      Log.logStateChange(std::move(
          LogLine("settings-rejected", Loop.now()).field("error", Error)));
  });
}

void Agent::beginDrain() {
  Loop.post([this] {
    if (Stop)
      return;
    Stop = planStop(Loop.now(), Options.DrainGrace);
    // The backend server keeps running. While callers of this node still wait,
    // the node also accepts calls that peers can place on no other server.
    LocalBackend.drainUntil(Stop->CallDeadline);
    RequestIngress.beginStop(*Stop);
    Log.logStateChange(LogLine("drain-started", Loop.now()));
    Peers.broadcast(localStatus());
    Loop.callAt(Stop->CallDeadline, [this] { giveUpWaiting(); });
    Loop.callAt(Stop->AnswerBy, [this] { answerRemaining(); });
    advanceDrain();
  });
}

void Agent::giveUpWaiting() {
  Listener.stopListening();
  Listener.drain();
  LocalBackend.recallAll();
  RequestIngress.recallWaiting();
  Listener.refuseUnfinishedRequests();
}

void Agent::answerRemaining() {
  UnansweredAtStop = RequestIngress.pendingCount();
  RequestIngress.answerRemaining();
  Listener.refuseUnfinishedRequests();
  // What still runs now was sent by peers.
  LocalBackend.giveUpRunning();
}

void Agent::advanceDrain() {
  // A request that runs at the own server makes its calls through this node.
  const bool ServerMayCall = LocalBackend.pendingCount() > 0;
  if (Loop.now() >= Stop->ListenUntil && !ServerMayCall &&
      !Listener.draining()) {
    Listener.stopListening();
    Listener.drain();
  }
  const bool CallersDone = Listener.draining() &&
                           RequestIngress.pendingCount() == 0 &&
                           Listener.busyConnectionCount() == 0;
  if (CallersDone)
    LocalBackend.drainUntil(Loop.now());
  const bool AnswersSent = CallersDone && Loop.now() >= Stop->AnswerBy;
  if ((CallersDone && LocalBackend.pendingCount() == 0) || AnswersSent ||
      Loop.now() >= Stop->ExitBy) {
    logTrafficTotals();
    const std::vector<std::string> Unsent = Listener.unsentResponses();
    for (const std::string &Id : Unsent)
      Log.logStateChange(std::move(LogLine("request-unanswered", Loop.now())
                                       .field("request", Id)
                                       .field("status", 0)
                                       .field("reason", "answer-not-read")));
    Log.logStateChange(
        std::move(LogLine("drain-finished", Loop.now())
                      .field("answered_at_stop",
                             static_cast<std::int64_t>(UnansweredAtStop))
                      .field("answers_not_read",
                             static_cast<std::int64_t>(Unsent.size()))));
    Loop.stop();
    return;
  }
  Loop.callAt(Loop.now() + DrainPollInterval, [this] { advanceDrain(); });
}

} // namespace pollenwick::agent
