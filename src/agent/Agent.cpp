#include "agent/Agent.h"
#include "agent/Text.h"

#include <sys/stat.h>

#include <cmath>
#include <random>

namespace pollenwick::agent {
namespace {

constexpr Duration TickEvery = std::chrono::milliseconds(250);
/// Records that the source delivers arrive at all nodes within milliseconds; a
/// node that is still behind a peer after this asks that peer.
constexpr Duration PullAfter = std::chrono::milliseconds(250);
/// From SIGTERM until new connections are refused: callers notice within two
/// readiness checks of a second each.
constexpr Duration ListenWhileDraining = std::chrono::milliseconds(2600);
/// Kept back from the drain grace for the end of the process.
constexpr Duration EndMargin = std::chrono::milliseconds(400);
/// Time for the last lines of the log, part of the margin.
constexpr std::chrono::milliseconds LogEnd{200};
constexpr Duration DrainStep = std::chrono::milliseconds(50);
/// Changes of an admitted share that are worth a line in the log.
constexpr double LoggedKeepStep = 0.1;
constexpr std::uint64_t TicksPerSettingsCheck = 4;

std::uint64_t drawStart() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

std::string_view kindName(RecordKind Kind) {
  return Kind == RecordKind::Rules ? "rules" : "servers";
}

std::string_view fateName(CallFate Fate) {
  switch (Fate) {
  case CallFate::NeverReceived:
    return "not-received";
  case CallFate::Running:
    return "running";
  case CallFate::Answered:
    return "answered";
  case CallFate::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::int64_t inMilliseconds(Duration Time) {
  return std::chrono::floor<std::chrono::milliseconds>(Time).count();
}

std::int64_t fileStamp(const std::string &Path) {
  struct stat Info {};
  if (Path.empty() || ::stat(Path.c_str(), &Info) != 0)
    return 0;
  return Info.st_mtim.tv_sec * 1'000'000'000LL + Info.st_mtim.tv_nsec;
}

} // namespace

/// Answers checks and metric readers with a text made at the moment.
class Agent::StatusPort : public CallerEvents {
public:
  using Render =
      std::function<std::pair<int, std::string>(const std::string &)>;
  StatusPort(EventLoop &Loop, const std::string &Address, Render Make)
      : Answer(std::move(Make)), Port(Loop, *this, Address) {}

  void onRequest(const std::shared_ptr<CallerConnection> &From,
                 CallerRequest &&Request) override {
    const auto [Status, Body] = Answer(Request.Target);
    From->respond(concat("HTTP/1.1 ", Status, " ", reasonPhrase(Status),
                         "\r\nContent-Type: text/plain\r\n",
                         "Content-Length: ", Body.size(), "\r\n\r\n", Body),
                  From->keepsAlive());
  }
  void onCallerLeft(CallerConnection & /*From*/) override {}

private:
  Render Answer;
  CallerPort Port;
};

Agent::Agent(Settings TheOptions, PlatformAdapter TheWords,
             std::unique_ptr<ConfigurationSource> TheReader)
    : Options(std::move(TheOptions)), Words(std::move(TheWords)),
      Log(Options.NodeName), Hosts(Words, Log), Fleet(Options, drawStart()),
      Local(Loop, Words, Log, Options.ServerAddress,
            [this](const std::vector<std::uint64_t> &Prints) {
              for (const std::uint64_t Print : Prints)
                Fleet.countCrash(Print, Loop.now());
            }),
      Peers(Loop, Log, *this, Options.PeerAddress, Fleet.incarnation()),
      Requests(Loop, Words, Options, Log, Counters, Hosts, Fleet, Local, Peers,
               Fleet.incarnation()),
      Callers(Loop, Requests, Options.CallerAddress),
      Reader(std::move(TheReader)), LastTick(Loop.now()),
      SettingsStamp(fileStamp(settingsFile())) {
  Ready = std::make_unique<StatusPort>(
      Loop, Options.ReadyAddress, [this](const std::string &Target) {
        if (Target != Words.ReadyPath)
          return std::pair<int, std::string>(404, "unknown path\n");
        return ready() ? std::pair<int, std::string>(200, "ready\n")
                       : std::pair<int, std::string>(503, "not ready\n");
      });
  if (!Options.MetricsAddress.empty())
    MetricsPort = std::make_unique<StatusPort>(
        Loop, Options.MetricsAddress, [this](const std::string &Target) {
          if (Target != "/metrics")
            return std::pair<int, std::string>(404, "unknown path\n");
          return std::pair<int, std::string>(200, renderMetrics());
        });
}

Agent::~Agent() = default;

void Agent::run() {
  Log.logStateChange(std::move(LogLine("started", Loop.now())
                                   .field("service", Options.Service.Text)
                                   .field("zone", Options.Zone.Text)
                                   .field("callers", Options.CallerAddress)));
  Reader->start([this](ConfigurationUpdate &&News) {
    auto Shared = std::make_shared<ConfigurationUpdate>(std::move(News));
    Loop.post([this, Shared] { takeNews(std::move(*Shared)); });
  });
  Loop.callAt(Loop.now() + TickEvery, [this] { tick(); });
  Loop.run();
  Reader->stop();
  Log.logStateChange(LogLine("stopped", Loop.now()));
  Log.finish(Loop.now(), LogEnd);
}

void Agent::takeNews(ConfigurationUpdate &&News) {
  if (News.Unavailable) {
    if (LostKinds.insert(News.Kind).second)
      Log.logStateChange(
          std::move(LogLine("source-lost", Loop.now())
                        .field("records", kindName(News.Kind))
                        .field("reason", News.UnavailableReason)));
    return;
  }
  if (LostKinds.erase(News.Kind) > 0)
    Log.logStateChange(std::move(
        LogLine("source-regained", Loop.now())
            .field("records", kindName(News.Kind))
            .field("as_of", static_cast<std::int64_t>(News.AsOfRevision))));
  ServiceRegistry::Change Change;
  if (News.IsFullList) {
    Change = Hosts.applyFullList(News.Kind, News.Records, News.AsOfRevision,
                                 News.AfterOutage, Loop.now());
  } else {
    Change = Hosts.applyRecords(News.Records, "source", Loop.now());
    Hosts.advanceRevision(News.Kind, News.AsOfRevision);
  }
  takeChange(Change);
}

void Agent::takeChange(const ServiceRegistry::Change &Change) {
  if (!Change.RulesChanged && !Change.ServersChanged)
    return;
  const ServerEntry *Own = Hosts.findServerByAddress(Options.ServerAddress);
  std::uint32_t Connections = 0;
  if (Hosts.rules()) {
    Callers.setLimits(Hosts.rules()->Source.Limits);
    const auto Found = Hosts.rules()->ByService.find(Options.Service);
    if (Found != Hosts.rules()->ByService.end())
      Connections = Found->second->MaxConnections;
  }
  Local.setServer(Own, Connections);
  if (Change.ServersChanged)
    Peers.setPeers(Hosts.nodeIps());
}

StatusFrame Agent::status() const {
  StatusFrame Status;
  Status.RulesRevision = Hosts.rulesRevision();
  Status.ServersRevision = Hosts.serversRevision();
  Status.Service = Options.Service.Text;
  Status.ServerId = Local.serverId();
  Status.Load = Local.load();
  Status.OfferedSlotMicros = Local.counts().OfferedMicros;
  Status.AvailableSlotMicros = Local.counts().LimitMicros;
  Status.Runs = Local.counts().Runs;
  Fleet.fillStatus(Status);
  return Status;
}

void Agent::tick() {
  Loop.callAt(Loop.now() + TickEvery, [this] { tick(); });
  const Duration Elapsed = Loop.now() - LastTick;
  LastTick = Loop.now();
  takeChange(Hosts.expireMissingServers(Loop.now()));
  Peers.tick();
  StatusFrame Own = status();
  Fleet.planQuotasAndAdmission(Hosts, Own, Elapsed, Loop.now());
  logAdmission();
  Peers.broadcast(changesSince(Own, LastSent));
  LastSent = std::move(Own);
  pullFromPeers();
  Log.tick(Loop.now());
  if (++Ticks % TicksPerSettingsCheck == 0)
    watchSettingsFile();
}

void Agent::logAdmission() {
  for (const auto &[Service, State] : Fleet.admissionPlan().Services) {
    double &Logged = LoggedKeep.try_emplace(Service, 1.0).first->second;
    if (std::abs(State.Keep - Logged) < LoggedKeepStep)
      continue;
    Logged = State.Keep;
    const ServiceUse &Use = State.Seen;
    LogLine Line("admission-changed", Loop.now());
    Line.field("service", Service)
        .field("keep_pct", static_cast<std::int64_t>(100 * State.Keep))
        .field("observed_use_pct",
               static_cast<std::int64_t>(100 * State.Observed))
        .field("predicted_use_pct",
               static_cast<std::int64_t>(100 * State.Predicted))
        .field("offered_use_pct",
               static_cast<std::int64_t>(100 * Use.OfferedUse))
        .field("waiting_pct", static_cast<std::int64_t>(100 * Use.WaitShare));
    for (const auto &[Callee, Calls] : Use.CallsPerRun)
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
                 inMilliseconds(Change.PreviousStateDuration))
          .field("peers_connected",
                 static_cast<std::int64_t>(Peers.connectedPeerCount()))));
}

void Agent::onCallsResumed(const ResumedCallCounts &Calls) {
  LogLine Line("calls-resumed", Loop.now());
  Line.field("peer", Calls.Ip);
  for (const auto &[Fate, Count] : Calls.CountByFate) {
    Counters.incrementCounter("calls_resumed_total", fateName(Fate), Count);
    Line.field(fateName(Fate), static_cast<std::int64_t>(Count));
  }
  Log.logStateChange(std::move(Line));
}

void Agent::onPeerStatus(const std::string &Ip, StatusFrame &&Status) {
  Fleet.applyStatus(Ip, Status, Loop.now());
  if (KnownServer *Server = Hosts.findServer(Status.ServerId);
      Server && Status.Load.Limit > 0) {
    Server->Load = Status.Load;
    Server->LoadReceivedAt = Loop.now();
    Server->SentSince = 0;
  }
  const bool PeerAhead = Status.RulesRevision > Hosts.rulesRevision() ||
                         Status.ServersRevision > Hosts.serversRevision();
  if (!PeerAhead)
    return;
  if (!AheadSince)
    AheadSince = Loop.now();
  AheadPeer = Ip;
}

void Agent::pullFromPeers() {
  if (!AheadSince || Loop.now() - *AheadSince < PullAfter)
    return;
  AheadSince.reset();
  if (PeerLink *Link = Peers.findLiveLink(AheadPeer))
    Link->send(PullFrame{Hosts.rulesRevision(), Hosts.serversRevision()});
}

void Agent::onPeerPull(PeerLink &Link, const PullFrame &Pull) {
  RecordsFrame Frame;
  Frame.RulesRevision = Hosts.rulesRevision();
  Frame.ServersRevision = Hosts.serversRevision();
  Frame.Records = Hosts.recordsAfter(Pull.RulesRevision, Pull.ServersRevision);
  Link.send(Frame);
}

void Agent::onPeerRecords(RecordsFrame &&Frame) {
  const ServiceRegistry::Change Change =
      Hosts.applyRecords(Frame.Records, "peer", Loop.now());
  Hosts.advanceRevision(RecordKind::Rules, Frame.RulesRevision);
  Hosts.advanceRevision(RecordKind::Server, Frame.ServersRevision);
  takeChange(Change);
}

void Agent::onPeerConnected(PeerLink &Link) { Link.send(PeerFrame(status())); }

std::uint64_t Agent::onPeerCall(CallRequest &&Request, AnswerHandler Done) {
  return Local.submit(std::move(Request), std::move(Done));
}

void Agent::onPeerCancel(std::uint64_t Number) { Local.cancel(Number); }

void Agent::watchSettingsFile() {
  const std::int64_t Stamp = fileStamp(settingsFile());
  if (Stamp == SettingsStamp)
    return;
  SettingsStamp = Stamp;
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
    if (DrainBegan)
      return;
    DrainBegan = Loop.now();
    // The server goes on. A call for which peers find no other is served while
    // callers of this node still wait.
    Local.leave(*DrainBegan + Options.DrainGrace - EndMargin);
    Log.logStateChange(LogLine("drain-started", Loop.now()));
    Peers.broadcast(status());
    drainStep();
  });
}

void Agent::drainStep() {
  const Duration Since = Loop.now() - *DrainBegan;
  if (Since >= ListenWhileDraining && !Callers.leaving()) {
    Callers.stopListening();
    Callers.leave();
  }
  const bool CallersDone =
      Callers.leaving() && Requests.pending() == 0 && Callers.busyCount() == 0;
  if (CallersDone)
    Local.leave(Loop.now());
  if ((CallersDone && Local.pending() == 0) ||
      Since >= Options.DrainGrace - EndMargin) {
    Log.logStateChange(
        std::move(LogLine("drain-finished", Loop.now())
                      .field("unanswered",
                             static_cast<std::int64_t>(Requests.pending()))));
    Loop.stop();
    return;
  }
  Loop.callAt(Loop.now() + DrainStep, [this] { drainStep(); });
}

std::string Agent::renderMetrics() {
  const ServerLoad Load = Local.load();
  Counters.setGauge("server_running", Load.Running);
  Counters.setGauge("server_waiting", Load.Waiting);
  Counters.setGauge("server_limit", Load.Limit);
  Counters.setGauge("server_service_us", Load.Service.count());
  Counters.setGauge("server_failed_permille",
                    std::lround(1000 * Load.FailureShare));
  Counters.setGauge("peers_connected",
                    static_cast<std::int64_t>(Peers.connectedPeerCount()));
  Counters.setGauge("callers_connected",
                    static_cast<std::int64_t>(Callers.connectionCount()));
  Counters.setGauge(
      "rules_version",
      Hosts.rules() ? static_cast<std::int64_t>(Hosts.rules()->Source.Version)
                    : 0);
  Counters.setGauge("source_lost", LostKinds.empty() ? 0 : 1);
  for (const auto &[Key, Share] : Fleet.admissionPlan().ShareByKey)
    Counters.setGauge(concat("admitted_share_pct{key=\"", Key, "\"}"),
                      static_cast<std::int64_t>(100 * Share));
  return Counters.render();
}

} // namespace pollenwick::agent
