#include "agent/Ingress.h"

#include <algorithm>

#include "agent/StringUtil.h"

namespace pollenwick::agent {
namespace {

/// Time after a deadline for which the ingress waits for the report of the
/// server's node that the deadline has passed, before it answers by itself.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(60);

constexpr Duration RetryAfterQuarantine = std::chrono::seconds(60);

/// Weight of the latest answer in the moving average of a route's answer size.
constexpr double ResponseBytesWeight = 0.1;
/// Weight of the latest answer in the moving average of a route's answer time.
constexpr double AnswerTimeWeight = 0.1;

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
  Item.HeaderCharge = std::move(Request.HeaderCharge);
  Item.ReceivedAt = Request.FirstByteAt;
  Item.AdmittedAt = Loop.now();
  Item.Request.RequestId = requestId(Request.Headers);
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
  // When a planned stop ends the time of a request, the answers of servers and
  // peers to that are awaited until `answerRemaining`.
  if (!Stop || Item.Deadline < Stop->CallDeadline)
    Item.DeadlineTimer = Loop.callAt(Item.Deadline + DeadlineGrace,
                                     [this, Id] { onDeadline(Id); });
  place(Id);
}

bool Ingress::mayOverlap(const CallerRequest &Request) const {
  const std::shared_ptr<const RouteTable> &Rules = ServerDirectory.rules();
  if (!Rules)
    return false;
  const RouteRule *Route =
      findRoute(*Rules, headerValue(Request.Headers, "Host"), Request.Target);
  return Route && Route->Safety == RetrySafety::Safe;
}

std::string Ingress::requestId(const HeaderFields &Headers) const {
  return std::string(headerValue(Headers, Protocol.RequestIdHeader));
}

void Ingress::onUnfinishedRequest(const HeaderFields &Headers) {
  Counters.incrementCounter("answers_total",
                            concat(503, "-", NodeStoppingCause));
  Log.logStateChange(std::move(LogLine("request-answered", Loop.now())
                                   .field("request", requestId(Headers))
                                   .field("status", 503)
                                   .field("reason", NodeStoppingCause)
                                   .field("last_cause", "received-in-part")));
}

void Ingress::onMemoryRefusal(int Status, std::string_view Cause) {
  Counters.incrementCounter("answers_total", concat(Status, "-", Cause));
  const MemoryAccount &Memory = Loop.memory();
  Log.logRequest(
      Cause,
      std::move(
          LogLine("request-answered", Loop.now())
              .field("status", Status)
              .field("reason", Cause)
              .field("held_bytes", static_cast<std::int64_t>(Memory.held()))
              .field("limit_bytes", static_cast<std::int64_t>(Memory.limit()))),
      Loop.now());
}

void Ingress::recallWaiting() {
  std::vector<ExchangeNumber> Unplaced;
  for (const auto &[Id, Item] : Exchanges) {
    if (Item->CurrentCall && !Item->CurrentCall->PeerIp.empty())
      Peers.recall(Item->CurrentCall->PeerIp, Item->CurrentCall->Number);
    if (!Item->CurrentCall && Item->SilentCalls.empty())
      Unplaced.push_back(Id);
  }
  // Answers may start requests that were held behind them.
  for (const ExchangeNumber Id : Unplaced)
    if (Exchanges.contains(Id)) {
      Exchanges.at(Id)->LastCause = NodeStoppingCause;
      giveUp(Id);
    }
}

void Ingress::answerRemaining() {
  while (!Exchanges.empty()) {
    const auto &[Id, Item] = *Exchanges.begin();
    // A call that was sent may run, so it must not be reported as not run.
    const bool NotRun = !Item->CurrentCall && Item->SilentCalls.empty() &&
                        canReportNotRun(Item->AttemptsSoFar);
    if (NotRun)
      refuse(Id, {503, NodeStoppingCause, addJitter(RetryAfterStop)});
    else
      refuse(Id, {504, NodeStoppingCause, {}});
  }
}

void Ingress::onCallerDisconnected(CallerRequestNumber Number) {
  const auto Found = Exchanges.find(Number);
  if (Found == Exchanges.end())
    return;
  Counters.incrementCounter("answers_total", "caller-left");
  countOutcome(*Found->second, "caller", "caller-left");
  removeExchange(Number);
}

void Ingress::deliver(ExchangeNumber Id, const CallResult &Result) {
  const Exchange &Item = *Exchanges.at(Id);
  Counters.incrementCounter("answers_total", concat(Result.Status / 100, "xx"));
  Counters.recordLatency(Item.Route->Name, Loop.now() - Item.ReceivedAt);
  double &Micros = MeanAnswerMicros[Item.Route->Name];
  const auto AnswerMicros =
      static_cast<double>((Loop.now() - Item.AdmittedAt).count());
  Micros += (AnswerMicros - Micros) * (Micros == 0 ? 1 : AnswerTimeWeight);
  double &Bytes = MeanResponseBytes[Item.Route->Name];
  Bytes += (static_cast<double>(Result.Headers.size() + Result.Body.size()) -
            Bytes) *
           ResponseBytesWeight;
  if (isServerError(Result.Status)) {
    logOutcome(Item, Result.Status, "server-answer");
    countOutcome(Item, "server", "server-answer");
  } else {
    const Duration Target = Item.Route->LatencyTarget;
    const bool Late =
        Target.count() > 0 && Loop.now() - Item.ReceivedAt > Target;
    countOutcome(Item, "answer", Late ? "late" : "in-target");
  }
  const std::shared_ptr<CallerConnection> From = Item.Caller;
  removeExchange(Id);
  From->respond(
      Id, {Result.Status, Result.Headers, Result.Body, Result.UnsentLength});
}

void Ingress::refuse(ExchangeNumber Id, const Refusal &Details) {
  const Exchange &Item = *Exchanges.at(Id);
  Counters.incrementCounter("answers_total",
                            concat(Details.Status, "-", Details.Reason));
  if (Item.Request.Nested)
    Counters.incrementCounter("nested_calls_failed_total", Item.Service.Text);
  logOutcome(Item, Details.Status, Details.Reason, Details.RetryAfter);
  countOutcome(Item, refusalHop(Item), Details.Reason);
  std::string ExtraHeaders;
  if (Details.RetryAfter.count() > 0)
    ExtraHeaders = retryAfterHeader(Details.RetryAfter);
  if (!Item.Request.RequestId.empty())
    appendAll(ExtraHeaders, Protocol.RequestIdHeader, ": ",
              Item.Request.RequestId, "\r\n");
  const std::shared_ptr<CallerConnection> From = Item.Caller;
  CallerResponse Reply =
      makeLocalReply(Details.Status, Details.Reason, ExtraHeaders);
  removeExchange(Id);
  From->respond(Id, std::move(Reply));
}

void Ingress::removeExchange(ExchangeNumber Id) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  if (Found->second->DeadlineTimer != 0)
    Loop.cancelTimer(Found->second->DeadlineTimer);
  if (Found->second->PlacementTimer != 0)
    Loop.cancelTimer(Found->second->PlacementTimer);
  const std::unique_ptr<Exchange> Removed = std::move(Found->second);
  Exchanges.erase(Found);
  if (Removed->CurrentCall)
    cancel(*Removed->CurrentCall);
  for (const SentCall &Call : Removed->SilentCalls)
    cancel(Call);
}

void Ingress::logOutcome(const Exchange &Item, int Status,
                         std::string_view Reason, Duration RetryAfter) {
  LogLine Line("request-answered", Loop.now());
  Line.field("request", Item.Request.RequestId)
      .field("status", Status)
      .field("reason", Reason)
      .field("nested", Item.Request.Nested ? 1 : 0)
      .field("held_us", (Loop.now() - Item.ReceivedAt).count())
      .field("retry_after_us", RetryAfter.count());
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
        .field(
            "customer_share_pct",
            static_cast<std::int64_t>(
                100 * Fleet.admittedFraction(*Item.Route, Item.CustomerPriority,
                                             Item.Customer)))
        .field("placements", Item.AttemptsSoFar.Placements)
        .field("arrivals", Item.AttemptsSoFar.Arrivals)
        .field("last_cause", Item.LastCause)
        .field("retry_budget_spent", Item.RetryBudgetExhausted ? 1 : 0)
        .field("server", Item.LastServerId)
        .field("load_age_us", Item.LoadReportAge.count());
  // The lines on a stop are not limited: each request that it ended is
  // explained, and their number is bounded by that of the connections.
  if (Reason == NodeStoppingCause)
    Log.logStateChange(std::move(Line));
  else
    Log.logRequest(Reason, std::move(Line), Loop.now());
}

void Ingress::logZoneTraffic() {
  for (auto &[Route, Traffic] : TrafficByRoute) {
    if (Traffic.Calls == Traffic.LoggedCalls)
      continue;
    Traffic.LoggedCalls = Traffic.Calls;
    Log.logStateChange(std::move(
        LogLine("zone-traffic", Loop.now())
            .field("route", Route)
            .field("calls", static_cast<std::int64_t>(Traffic.Calls))
            .field("cross_zone_calls",
                   static_cast<std::int64_t>(Traffic.CrossZoneCalls))
            .field("cross_zone_bytes",
                   static_cast<std::int64_t>(Traffic.CrossZoneBytes))));
  }
}

Duration Ingress::addJitter(Duration Base) {
  std::uniform_real_distribution<double> Factor(0.7, 1.3);
  return Duration(static_cast<std::int64_t>(static_cast<double>(Base.count()) *
                                            Factor(Random)));
}

} // namespace pollenwick::agent
