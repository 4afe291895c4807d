#include "agent/Ingress.h"

#include <algorithm>

#include "absl/strings/str_format.h"
#include "agent/StringUtil.h"

namespace pollenwick::agent {
namespace {

/// Time after a deadline for which the ingress waits for the report of the
/// server's node that the deadline has passed, before it answers by itself.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(60);
constexpr int GatewayTimeoutStatus = 504;
/// Interval between attempts to place a request while no server is usable.
constexpr Duration PlaceAgain = std::chrono::milliseconds(40);
/// A request waits for a usable server for at most its latency target divided
/// by this number, but for at least `MinPlacementWait`.
constexpr int PlacementWaitDivisor = 9;
constexpr Duration MinPlacementWait = std::chrono::milliseconds(100);
/// Time for which an unreachable server receives no further calls.
constexpr Duration UnreachableBackoff = std::chrono::milliseconds(400);

constexpr Duration RetryAfterFailure = std::chrono::milliseconds(300);
constexpr Duration RetryAfterQuarantine = std::chrono::seconds(60);

/// Weight of the latest answer in the moving average of a route's answer size.
constexpr double ResponseBytesWeight = 0.1;

} // namespace

Ingress::Ingress(EventLoop &TheLoop, const PlatformAdapter &TheProtocol,
                 const Settings &TheOptions, LogWriter &TheLog,
                 Metrics &TheCounters, ServiceRegistry &TheDirectory,
                 FleetState &TheFleet, Backend &TheLocal, PeerLinks &ThePeers,
                 std::uint64_t Seed)
    : Loop(TheLoop), Protocol(TheProtocol), Options(TheOptions), Log(TheLog),
      Counters(TheCounters), ServerDirectory(TheDirectory), Fleet(TheFleet),
      LocalBackend(TheLocal), Peers(ThePeers),
      StrippedHeaders(reservedRequestHeaders(TheProtocol)),
      Random(static_cast<std::minstd_rand::result_type>(Seed)), Split(Seed) {}

void Ingress::onRequest(const std::shared_ptr<CallerConnection> &From,
                        CallerRequest &&Request) {
  const ExchangeNumber Id = Request.Number;
  auto Owned = std::make_unique<Exchange>();
  Exchange &Item = *Owned;
  Exchanges.emplace(Id, std::move(Owned));
  Item.Caller = From;
  Item.Rules = ServerDirectory.rules();
  Item.ReceivedAt = Request.FirstByteAt;
  Item.Request.RequestId =
      std::string(headerValue(Request.Headers, Protocol.RequestIdHeader));
  Refusal Details;
  if (!admit(Item, Request, Details)) {
    refuse(Id, Details);
    return;
  }
  buildCall(Item, std::move(Request));
  if (Fleet.isFingerprintQuarantined(Item.Request.Fingerprint)) {
    refuse(Id, {503, "crashes-servers", RetryAfterQuarantine});
    return;
  }
  Item.DeadlineTimer = Loop.callAt(Item.Deadline + DeadlineGrace,
                                   [this, Id] { onDeadline(Id); });
  place(Id);
}

std::vector<KnownServer *> Ingress::usableServers(const Exchange &Item) {
  std::vector<KnownServer *> Servers = ServerDirectory.serversOf(Item.Service);
  std::erase_if(Servers, [&](const KnownServer *Server) {
    const bool AtLocal = Server->Entry.Address == Options.ServerAddress;
    return Server->Entry.State != ServerState::Ready ||
           Server->AvoidUntil > Loop.now() ||
           Item.TriedServers.contains(Server->Entry.Id.Text) ||
           (!AtLocal && !Peers.findLiveLink(Server->NodeIp));
  });
  return Servers;
}

void Ingress::place(ExchangeNumber Id) {
  Exchange &Item = *Exchanges.at(Id);
  Item.PlacementTimer = 0;
  const std::vector<KnownServer *> Servers = usableServers(Item);
  const double Kilobytes = (static_cast<double>(Item.Request.Headers.size() +
                                                Item.Request.Body.size()) +
                            MeanResponseBytes[Item.Route->Name]) /
                           1024;
  std::vector<PlacementCandidate> Candidates(Servers.size());
  std::ranges::transform(Servers, Candidates.begin(), [&](const auto *Server) {
    PlacementCandidate Choice;
    Choice.Load = Server->Load;
    Choice.SentSince = Server->SentSince;
    Choice.SameZone = Server->Entry.Zone == Options.Zone;
    Choice.Local = Server->Entry.Address == Options.ServerAddress;
    Choice.ColdRemaining = Server->ColdUntil - Loop.now();
    Choice.Kilobytes = Kilobytes;
    return Choice;
  });
  const Duration TargetLeft =
      Item.ReceivedAt + Item.Route->LatencyTarget - Loop.now();
  const auto Chosen = chooseServer(Candidates, TargetLeft, Random);
  if (Chosen) {
    send(Id, *Servers[*Chosen]);
    return;
  }
  const Duration Wait = std::max(MinPlacementWait, Item.Route->LatencyTarget /
                                                       PlacementWaitDivisor);
  const Instant PlacementDeadline =
      std::min(Item.ReceivedAt + Wait, Item.Deadline);
  if (Loop.now() + PlaceAgain < PlacementDeadline) {
    Item.PlacementTimer =
        Loop.callAt(Loop.now() + PlaceAgain, [this, Id] { place(Id); });
    return;
  }
  if (Item.LastCause.empty())
    Item.LastCause = "no-usable-server";
  giveUp(Id);
}

void Ingress::send(ExchangeNumber Id, KnownServer &Server) {
  Exchange &Item = *Exchanges.at(Id);
  Item.CurrentServerId = Server.Entry.Id.Text;
  Item.LastServerId = Item.CurrentServerId;
  Item.LoadReportAge = Loop.now() - Server.LoadReceivedAt;
  ++Item.AttemptsSoFar.Placements;
  ++Server.SentSince;
  CallRequest Call = Item.Request;
  Call.ServerId = Item.CurrentServerId;
  Call.Redispatched = Item.AttemptsSoFar.Placements > 1;
  auto Done = [this, Id](CallResult &&Result) {
    onCallResult(Id, std::move(Result));
  };
  Item.OnLocalServer = Server.Entry.Address == Options.ServerAddress;
  if (Item.OnLocalServer) {
    Item.LocalCallNumber =
        LocalBackend.submit(std::move(Call), std::move(Done));
    return;
  }
  Item.PeerIp = Server.NodeIp;
  Item.PeerCallNumber =
      Peers.findLiveLink(Item.PeerIp)->call(std::move(Call), std::move(Done));
}

void Ingress::cancelCall(Exchange &Item) {
  if (Item.CurrentServerId.empty())
    return;
  if (Item.OnLocalServer)
    LocalBackend.cancel(Item.LocalCallNumber);
  else
    Peers.cancel(Item.PeerIp, Item.PeerCallNumber);
  Item.CurrentServerId.clear();
}

void Ingress::onCallResult(ExchangeNumber Id, CallResult &&Result) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  Exchange &Item = *Found->second;
  Item.TriedServers.insert(Item.CurrentServerId);
  updateServerLoad(Item, Result);
  Item.CurrentServerId.clear();
  const AttemptResult Attempt{Result.Outcome, Result.ReachedServer,
                              isServerError(Result.Status) &&
                                  Result.Status != GatewayTimeoutStatus,
                              Result.Cause == "deadline-in-queue"};
  recordAttempt(Item.AttemptsSoFar, Attempt);
  if (Result.Outcome != CallOutcome::Complete)
    Item.LastCause = Result.Cause;
  else if (Attempt.ServerFailed)
    Item.LastCause = "server-failed";
  const AttemptLimits Limits{Item.Request.Retryable, Item.Route->MaxAttempts,
                             Item.Deadline};
  NextStep Step = nextStep(Item.AttemptsSoFar, Limits, Attempt, Loop.now());
  if (Step == NextStep::Retry && !consumeRetryBudget(Item))
    Step = stepWithoutBudget(Attempt);
  switch (Step) {
  case NextStep::ReturnAnswer:
    deliver(Id, Result);
    return;
  case NextStep::PlaceAgain:
    Counters.incrementCounter("replacements_total", Item.LastCause);
    place(Id);
    return;
  case NextStep::Retry:
    Counters.incrementCounter("repeats_total", Item.LastCause);
    place(Id);
    return;
  case NextStep::Fail:
    giveUp(Id);
    return;
  }
}

void Ingress::updateServerLoad(const Exchange &Item, const CallResult &Result) {
  KnownServer *Server = ServerDirectory.findServer(Item.CurrentServerId);
  if (!Server)
    return;
  if (Result.Load.MaxRunning > 0) {
    Server->Load = Result.Load;
    Server->LoadReceivedAt = Loop.now();
    Server->SentSince = 0;
  }
  if (!Result.ReachedServer && Result.Cause == "server-unreachable")
    Server->AvoidUntil = Loop.now() + UnreachableBackoff;
}

bool Ingress::consumeRetryBudget(Exchange &Item) {
  if (Fleet.tryConsumeRetry(Item.Service, Loop.now()))
    return true;
  Item.RetryBudgetExhausted = true;
  Counters.incrementCounter("repeats_denied_total", Item.Service.Text);
  return false;
}

void Ingress::giveUp(ExchangeNumber Id) {
  const Exchange &Item = *Exchanges.at(Id);
  if (canReportNotRun(Item.AttemptsSoFar))
    refuse(Id, {503, Item.LastCause, addJitter(RetryAfterFailure)});
  else
    refuse(Id, {502, Item.LastCause, {}});
}

void Ingress::onDeadline(ExchangeNumber Id) {
  Exchange &Item = *Exchanges.at(Id);
  Item.DeadlineTimer = 0;
  Item.LastCause = "deadline-passed";
  // A call that was sent to a server may run until it is cancelled, so it must
  // not be reported as not run.
  if (Item.CurrentServerId.empty() && canReportNotRun(Item.AttemptsSoFar)) {
    giveUp(Id);
    return;
  }
  cancelCall(Item);
  refuse(Id, {GatewayTimeoutStatus, Item.LastCause, {}});
}

bool Ingress::mayOverlap(const CallerRequest &Request) const {
  const std::shared_ptr<const RouteTable> &Rules = ServerDirectory.rules();
  if (!Rules)
    return false;
  const RouteRule *Route =
      findRoute(*Rules, headerValue(Request.Headers, "Host"), Request.Target);
  return Route && Route->Safety == RetrySafety::Safe;
}

void Ingress::onCallerDisconnected(CallerRequestNumber Number) {
  const auto Found = Exchanges.find(Number);
  if (Found == Exchanges.end())
    return;
  Counters.incrementCounter("answers_total", "caller-left");
  cancelCall(*Found->second);
  removeExchange(Number);
}

void Ingress::deliver(ExchangeNumber Id, const CallResult &Result) {
  const Exchange &Item = *Exchanges.at(Id);
  std::string Message =
      concat("HTTP/1.1 ", Result.Status, " ", reasonPhrase(Result.Status),
             "\r\n", Result.Headers);
  if (!Item.Caller->keepsAlive(Id))
    appendAll(Message, "Connection: close\r\n");
  if (Result.Status != 204 && Result.Status != 304)
    appendAll(Message, "Content-Length: ", Result.Body.size(), "\r\n");
  appendAll(Message, "\r\n", Result.Body);
  Counters.incrementCounter("answers_total", concat(Result.Status / 100, "xx"));
  Counters.recordLatency(Item.Route->Name, Loop.now() - Item.ReceivedAt);
  double &Bytes = MeanResponseBytes[Item.Route->Name];
  Bytes += (static_cast<double>(Message.size()) - Bytes) * ResponseBytesWeight;
  if (isServerError(Result.Status))
    logOutcome(Item, Result.Status, "server-answer");
  const std::shared_ptr<CallerConnection> From = Item.Caller;
  removeExchange(Id);
  From->respond(Id, std::move(Message));
}

void Ingress::refuse(ExchangeNumber Id, const Refusal &Details) {
  const Exchange &Item = *Exchanges.at(Id);
  Counters.incrementCounter("answers_total",
                            concat(Details.Status, "-", Details.Reason));
  logOutcome(Item, Details.Status, Details.Reason);
  std::string ExtraHeaders;
  if (Details.RetryAfter.count() > 0)
    ExtraHeaders =
        absl::StrFormat("Retry-After: %.2f\r\n",
                        static_cast<double>(Details.RetryAfter.count()) / 1e6);
  if (!Item.Request.RequestId.empty())
    appendAll(ExtraHeaders, Protocol.RequestIdHeader, ": ",
              Item.Request.RequestId, "\r\n");
  const std::shared_ptr<CallerConnection> From = Item.Caller;
  std::string Message = makeLocalReply(Details.Status, Details.Reason,
                                       ExtraHeaders, From->keepsAlive(Id));
  removeExchange(Id);
  From->respond(Id, std::move(Message));
}

void Ingress::removeExchange(ExchangeNumber Id) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  if (Found->second->DeadlineTimer != 0)
    Loop.cancelTimer(Found->second->DeadlineTimer);
  if (Found->second->PlacementTimer != 0)
    Loop.cancelTimer(Found->second->PlacementTimer);
  Exchanges.erase(Found);
}

void Ingress::logOutcome(const Exchange &Item, int Status,
                         std::string_view Reason) {
  LogLine Line("request-answered", Loop.now());
  Line.field("request", Item.Request.RequestId)
      .field("status", Status)
      .field("reason", Reason)
      .field("nested", Item.Request.Nested ? 1 : 0)
      .field("held_us", (Loop.now() - Item.ReceivedAt).count());
  if (Item.Rules)
    Line.field("rules_version",
               static_cast<std::int64_t>(Item.Rules->Source.Version));
  if (Item.Route)
    Line.field("route", Item.Route->Name)
        .field("service", Item.Service.Text)
        .field("customer", Item.Customer)
        .field("admitted_share_pct",
               static_cast<std::int64_t>(
                   100 *
                   Fleet.admittedFraction(*Item.Route, Item.CustomerPriority)))
        .field("placements", Item.AttemptsSoFar.Placements)
        .field("arrivals", Item.AttemptsSoFar.Arrivals)
        .field("last_cause", Item.LastCause)
        .field("retry_budget_spent", Item.RetryBudgetExhausted ? 1 : 0)
        .field("server", Item.LastServerId)
        .field("load_age_us", Item.LoadReportAge.count());
  Log.logRequest(Reason, std::move(Line), Loop.now());
}

Duration Ingress::addJitter(Duration Base) {
  std::uniform_real_distribution<double> Factor(0.7, 1.3);
  return Duration(static_cast<std::int64_t>(static_cast<double>(Base.count()) *
                                            Factor(Random)));
}

} // namespace pollenwick::agent
