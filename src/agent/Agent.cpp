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

std::string_view fateName(CallStatus Fate) {
  switch (Fate) {
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

Agent::Agent(Settings TheOptions, Dialect TheWords,
             std::unique_ptr<Source> TheReader)
    : Options(std::move(TheOptions)), Words(std::move(TheWords)),
      Log(Options.NodeName), Hosts(Words, Log), Fleet(Options, drawStart()),
      Local(Loop, Words, Log, Options.ServerAddress,
            [this](const std::vector<std::uint64_t> &Prints) {
              for (const std::uint64_t Print : Prints)
                Fleet.countCrash(Print, Loop.now());
            }),
      Peers(Loop, Log, *this, Options.PeerAddress, Fleet.start()),
      Requests(Loop, Words, Options, Log, Counters, Hosts, Fleet, Local, Peers,
               Fleet.start()),
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
  Log.state(std::move(LogLine("started", Loop.now())
                          .field("service", Options.Service.Text)
                          .field("zone", Options.Zone.Text)
                          .field("callers", Options.CallerAddress)));
  Reader->start([this](SourceNews &&News) {
    auto Shared = std::make_shared<SourceNews>(std::move(News));
    Loop.post([this, Shared] { takeNews(std::move(*Shared)); });
  });
  Loop.callAt(Loop.now() + TickEvery, [this] { tick(); });
  Loop.run();
  Reader->stop();
  Log.state(LogLine("stopped", Loop.now()));
  Log.finish(Loop.now(), LogEnd);
}

void Agent::takeNews(SourceNews &&News) {
  if (News.Lost) {
    if (LostKinds.insert(News.Kind).second)
      Log.state(std::move(LogLine("source-lost", Loop.now())
                              .field("records", kindName(News.Kind))
                              .field("reason", News.Reason)));
    return;
  }
  if (LostKinds.erase(News.Kind) > 0)
    Log.state(
        std::move(LogLine("source-regained", Loop.now())
                      .field("records", kindName(News.Kind))
                      .field("as_of", static_cast<std::int64_t>(News.AsOf))));
  Directory::Change Change;
  if (News.FullList) {
    Change = Hosts.applyFullList(News.Kind, News.Records, News.AsOf,
                                 News.AfterOutage, Loop.now());
  } else {
    Change = Hosts.apply(News.Records, "source", Loop.now());
    Hosts.advance(News.Kind, News.AsOf);
  }
  takeChange(Change);
}

void Agent::takeChange(const Directory::Change &Change) {
  if (!Change.Rules && !Change.Servers)
    return;
  const ServerEntry *Own = Hosts.atAddress(Options.ServerAddress);
  std::uint32_t Connections = 0;
  if (Hosts.rules()) {
    Callers.setLimits(Hosts.rules()->Source.Limits);
    const auto Found = Hosts.rules()->ByService.find(Options.Service);
    if (Found != Hosts.rules()->ByService.end())
      Connections = Found->second->MaxConnections;
  }
  Local.setServer(Own, Connections);
  if (Change.Servers)
    Peers.setPeers(Hosts.nodeIps());
}

StatusFrame Agent::status() const {
  StatusFrame Status;
  Status.RulesRevision = Hosts.rulesRevision();
  Status.ServersRevision = Hosts.serversRevision();
  Status.Service = Options.Service.Text;
  Status.ServerId = Local.serverId();
  Status.Load = Local.load();
  Status.OfferedMicros = Local.counts().OfferedMicros;
  Status.LimitMicros = Local.counts().LimitMicros;
  Status.Runs = Local.counts().Runs;
  Fleet.fillStatus(Status);
  return Status;
}

void Agent::tick() {
  Loop.callAt(Loop.now() + TickEvery, [this] { tick(); });
  const Duration Elapsed = Loop.now() - LastTick;
  LastTick = Loop.now();
  takeChange(Hosts.expire(Loop.now()));
  Peers.tick();
  StatusFrame Own = status();
  Fleet.plan(Hosts, Own, Elapsed, Loop.now());
  logAdmission();
  Peers.broadcast(changesSince(Own, LastSent));
  LastSent = std::move(Own);
  pullFromPeers();
  Log.tick(Loop.now());
  if (++Ticks % TicksPerSettingsCheck == 0)
    watchSettingsFile();
}

void Agent::logAdmission() {
  for (const auto &[Service, State] : Fleet.admission().Services) {
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
    Log.state(std::move(Line));
  }
}

void Agent::onPeerPresence(const PeerPresence &Change) {
  Log.state(std::move(
      LogLine(Change.Usable ? "peer-regained" : "peer-lost", Loop.now())
          .field("peer", Change.Ip)
          .field(Change.Usable ? "lost_ms" : "usable_ms",
                 inMilliseconds(Change.Before))
          .field("peers_connected",
                 static_cast<std::int64_t>(Peers.connectedCount()))));
}

void Agent::onCallsResumed(const ResumedCalls &Calls) {
  LogLine Line("calls-resumed", Loop.now());
  Line.field("peer", Calls.Ip);
  for (const auto &[Fate, Count] : Calls.Told) {
    Counters.count("calls_resumed_total", fateName(Fate), Count);
    Line.field(fateName(Fate), static_cast<std::int64_t>(Count));
  }
  Log.state(std::move(Line));
}

void Agent::onPeerStatus(const std::string &Ip, StatusFrame &&Status) {
  Fleet.takeStatus(Ip, Status, Loop.now());
  if (KnownServer *Server = Hosts.find(Status.ServerId);
      Server && Status.Load.Limit > 0) {
    Server->Load = Status.Load;
    Server->LoadAt = Loop.now();
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
  if (PeerLink *Link = Peers.find(AheadPeer))
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
  const Directory::Change Change =
      Hosts.apply(Frame.Records, "peer", Loop.now());
  Hosts.advance(RecordKind::Rules, Frame.RulesRevision);
  Hosts.advance(RecordKind::Server, Frame.ServersRevision);
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
      Log.state(LogLine("settings-reloaded", Loop.now()));
    for (const std::string &Error : Errors)
      Log.state(std::move(
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
    Log.state(LogLine("drain-started", Loop.now()));
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
    Log.state(std::move(LogLine("drain-finished", Loop.now())
                            .field("unanswered", static_cast<std::int64_t>(
                                                     Requests.pending()))));
    Loop.stop();
    return;
  }
  Loop.callAt(Loop.now() + DrainStep, [this] { drainStep(); });
}

std::string Agent::renderMetrics() {
  const ServerLoad Load = Local.load();
  Counters.gauge("server_running", Load.Running);
  Counters.gauge("server_waiting", Load.Waiting);
  Counters.gauge("server_limit", Load.Limit);
  Counters.gauge("server_service_us", Load.Service.count());
  Counters.gauge("server_failed_permille",
                 std::lround(1000 * Load.FailureShare));
  Counters.gauge("peers_connected",
                 static_cast<std::int64_t>(Peers.connectedCount()));
  Counters.gauge("callers_connected",
                 static_cast<std::int64_t>(Callers.connectionCount()));
  Counters.gauge("rules_version",
                 Hosts.rules()
                     ? static_cast<std::int64_t>(Hosts.rules()->Source.Version)
                     : 0);
  Counters.gauge("source_lost", LostKinds.empty() ? 0 : 1);
  for (const auto &[Key, Share] : Fleet.admission().ShareByKey)
    Counters.gauge(concat("admitted_share_pct{key=\"", Key, "\"}"),
                   static_cast<std::int64_t>(100 * Share));
  return Counters.render();
}

} // namespace pollenwick::agent
