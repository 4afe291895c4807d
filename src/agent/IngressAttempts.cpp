#include "agent/Ingress.h"

#include <algorithm>

#include "agent/StringUtil.h"

namespace pollenwick::agent {
namespace {

constexpr int GatewayTimeoutStatus = 504;
/// Interval between attempts to place a request while no server is usable.
constexpr Duration PlaceAgain = std::chrono::milliseconds(40);
/// A request waits for a usable server for at most its latency target divided
/// by this number, but for at least `MinPlacementWait`.
constexpr int PlacementWaitDivisor = 9;
constexpr Duration MinPlacementWait = std::chrono::milliseconds(100);
/// Time for which an unreachable server receives no further calls.
constexpr Duration UnreachableBackoff = std::chrono::milliseconds(400);

} // namespace

std::vector<KnownServer *> Ingress::usableServers(const Exchange &Item) {
  std::vector<KnownServer *> Servers = ServerDirectory.serversOf(Item.Service);
  std::erase_if(Servers, [&](const KnownServer *Server) {
    const bool AtLocal = Server->Entry.Address == Options.ServerAddress;
    return Server->Entry.State != ServerState::Ready || Server->Heard.Leaving ||
           Server->AvoidUntil > Loop.now() ||
           !mayGetCalls(ServerDirectory.evacuations(), Server->Entry.Zone) ||
           Item.TriedServers.contains(Server->Entry.Id.Text) ||
           (!AtLocal && !Peers.findLiveLink(Server->NodeIp));
  });
  return Servers;
}

void Ingress::place(ExchangeNumber Id) {
  Exchange &Item = *Exchanges.at(Id);
  Item.PlacementTimer = 0;
  if (Stop && Loop.now() >= Stop->CallDeadline) {
    Item.LastCause = NodeStoppingCause;
    giveUp(Id);
    return;
  }
  const std::vector<KnownServer *> Servers = usableServers(Item);
  const double Kilobytes = (static_cast<double>(Item.Request.Headers.size() +
                                                Item.Request.Body.size()) +
                            MeanResponseBytes[Item.Route->Name]) /
                           1024;
  std::vector<PlacementCandidate> Candidates(Servers.size());
  std::ranges::transform(Servers, Candidates.begin(), [&](const auto *Server) {
    PlacementCandidate Choice;
    Choice.Load = Server->Load;
    Choice.LoadAge = Loop.now() - Server->LoadReceivedAt;
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
  if (Item.LastCause == ServerColdCause || Item.LastCause == ServerLimitCause) {
    // Only the queue beside such a server lets calls wait for it.
    giveUp(Id);
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
    Item.LastCause = ServerDirectory.allEvacuated(Item.Service)
                         ? ZoneEvacuatedCause
                         : "no-usable-server";
  giveUp(Id);
}

void Ingress::send(ExchangeNumber Id, KnownServer &Server) {
  Exchange &Item = *Exchanges.at(Id);
  SentCall &Sent = Item.CurrentCall.emplace();
  Sent.ServerId = Server.Entry.Id.Text;
  Item.LastServerId = Sent.ServerId;
  Item.LoadReportAge = Loop.now() - Server.LoadReceivedAt;
  const std::uint32_t Attempt = ++Item.AttemptsSoFar.Placements;
  Sent.Attempt = Attempt;
  Sent.CrossZone = Server.Entry.Zone != Options.Zone;
  RouteTraffic &Traffic = TrafficByRoute[Item.Route->Name];
  ++Traffic.Calls;
  if (Sent.CrossZone) {
    ++Traffic.CrossZoneCalls;
    Traffic.CrossZoneBytes +=
        Item.Request.Headers.size() + Item.Request.Body.size();
  }
  ++Server.SentSince;
  if (!Item.FirstSentAt)
    Item.FirstSentAt = Loop.now();
  CallRequest Call = Item.Request;
  Call.ServerId = Sent.ServerId;
  Call.Deadline = limitDeadline(Stop, Item.Deadline);
  Call.Redispatched = Attempt > 1;
  Call.ServerRequestsPerS = Server.Heard.RequestsPerS;
  auto Done = [this, Id, Attempt](CallResult &&Result) {
    onCallResult(Id, Attempt, std::move(Result));
  };
  if (Server.Entry.Address == Options.ServerAddress) {
    Sent.Number = LocalBackend.submit(std::move(Call), std::move(Done));
    return;
  }
  Sent.PeerIp = Server.NodeIp;
  Sent.Number = Peers.findLiveLink(Sent.PeerIp)
                    ->call(std::move(Call), std::move(Done),
                           [this, Id, Attempt] { onNodeSilent(Id, Attempt); });
}

void Ingress::cancel(const SentCall &Call) {
  if (Call.PeerIp.empty())
    LocalBackend.cancel(Call.Number);
  else
    Peers.cancel(Call.PeerIp, Call.Number);
}

void Ingress::onCallResult(ExchangeNumber Id, std::uint32_t Attempt,
                           CallResult &&Result) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  Exchange &Item = *Found->second;
  const auto Silent =
      std::ranges::find(Item.SilentCalls, Attempt, &SentCall::Attempt);
  if (Silent != Item.SilentCalls.end()) {
    updateServerLoad(Silent->ServerId, Result);
    Item.SilentCalls.erase(Silent);
    onSilentCallResult(Id, Result);
    return;
  }
  Item.TriedServers.insert(Item.CurrentCall->ServerId);
  updateServerLoad(Item.CurrentCall->ServerId, Result);
  if (Item.CurrentCall->CrossZone)
    TrafficByRoute[Item.Route->Name].CrossZoneBytes +=
        Result.Headers.size() + Result.Body.size();
  Item.CurrentCall.reset();
  const AttemptResult Last{Result.Outcome, Result.ReachedServer,
                           isServerError(Result.Status) &&
                               Result.Status != GatewayTimeoutStatus,
                           Result.Cause == "deadline-in-queue"};
  recordAttempt(Item.AttemptsSoFar, Last);
  if (Result.Outcome != CallOutcome::Complete)
    Item.LastCause = Result.Cause;
  else if (Last.ServerFailed)
    Item.LastCause = "server-failed";
  NextStep Step =
      nextStep(Item.AttemptsSoFar, attemptLimits(Item), Last, Loop.now());
  if (Step == NextStep::Retry && !consumeRetryBudget(Item))
    Step = stepWithoutBudget(Last);
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

void Ingress::onSilentCallResult(ExchangeNumber Id, const CallResult &Result) {
  const Exchange &Item = *Exchanges.at(Id);
  if (Result.Outcome == CallOutcome::Complete && !isServerError(Result.Status))
    deliver(Id, Result);
  else if (!Item.CurrentCall && Item.PlacementTimer == 0)
    giveUp(Id);
}

void Ingress::onNodeSilent(ExchangeNumber Id, std::uint32_t Attempt) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  Exchange &Item = *Found->second;
  if (!Item.CurrentCall || Item.CurrentCall->Attempt != Attempt ||
      !mayAttemptBeside(Item.AttemptsSoFar, attemptLimits(Item), Loop.now()) ||
      usableServers(Item).empty() || !consumeRetryBudget(Item))
    return;
  recordAttempt(Item.AttemptsSoFar, {CallOutcome::Unknown, true});
  Item.TriedServers.insert(Item.CurrentCall->ServerId);
  Item.SilentCalls.push_back(std::move(*Item.CurrentCall));
  Item.CurrentCall.reset();
  Item.LastCause = "peer-silent";
  Counters.incrementCounter("repeats_total", Item.LastCause);
  place(Id);
}

AttemptLimits Ingress::attemptLimits(const Exchange &Item) const {
  return {Item.Request.Retryable, Item.Route->MaxAttempts, Item.Deadline};
}

void Ingress::updateServerLoad(const std::string &ServerId,
                               const CallResult &Result) {
  ServerDirectory.applyLoad(ServerId, Result.Load, Loop.now());
  KnownServer *Server = ServerDirectory.findServer(ServerId);
  if (Server && !Result.ReachedServer && Result.Cause == "server-unreachable")
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
  if (!Item.SilentCalls.empty())
    return;
  if (canReportNotRun(Item.AttemptsSoFar))
    refuse(Id, {503, Item.LastCause,
                Stop ? addJitter(RetryAfterStop) : retryAfterRefusal(Item)});
  else
    refuse(Id, {502, Item.LastCause, {}});
}

void Ingress::onDeadline(ExchangeNumber Id) {
  Exchange &Item = *Exchanges.at(Id);
  Item.DeadlineTimer = 0;
  Item.LastCause = "deadline-passed";
  // A call that was sent to a server may run until it is cancelled, so it must
  // not be reported as not run.
  if (!Item.CurrentCall && canReportNotRun(Item.AttemptsSoFar)) {
    giveUp(Id);
    return;
  }
  refuse(Id, {GatewayTimeoutStatus, Item.LastCause, {}});
}

} // namespace pollenwick::agent
