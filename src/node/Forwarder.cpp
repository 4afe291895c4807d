#include "node/Forwarder.h"

#include <algorithm>
#include <iterator>

#include <Poco/JSON/Array.h>

#include "peer/Clock.h"

namespace pollenwick {
namespace {

/// Maximum number of hosts that one call tries. Needed because refusals by
/// hosts that are not ready cost no retry.
constexpr std::size_t MaxAttempts = 4;

/// Returns whether every other host would refuse the call for the same reason,
/// so that no further attempt is made.
bool isFinal(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::UnknownKey:
  case RefusalReason::RouteNotAllowed:
  case RefusalReason::DeadlineExceeded:
  case RefusalReason::Quarantined:
  case RefusalReason::BodyTooLarge:
  case RefusalReason::Cancelled:
    return true;
  default:
    return false;
  }
}

/// Returns whether the host refused the call because it cannot serve now, not
/// because it is overloaded. Another host may then be tried at once. This costs
/// no retry, since there is no overload that another attempt would worsen, but
/// `MaxAttempts` still applies.
bool isHostUnready(const CallReply &Reply) {
  if (Reply.Result != Outcome::NotRun)
    return false;
  switch (Reply.Reason) {
  case RefusalReason::Draining:
  case RefusalReason::NoBundle:
  case RefusalReason::NoViewLease:
  case RefusalReason::NoBackendServer:
  case RefusalReason::PeerLost:
  case RefusalReason::UnknownRoute:
    return true;
  default:
    return false;
  }
}

HostReplyKind replyKind(const CallReply &Reply) {
  if (Reply.Reason == RefusalReason::Draining)
    return HostReplyKind::Draining;
  if (Reply.Load.Known && !isHostUnready(Reply) &&
      Reply.Reason != RefusalReason::BackendServerLost)
    return HostReplyKind::Answered;
  return HostReplyKind::Failed;
}

/// Returns the part of the delegated retry allowance that is still unused.
/// Without a reply from the callee node the allowance is lost, unless the call
/// was not run.
std::uint32_t returnedAllowance(const CallReply &Reply,
                                const CallRequest &Call) {
  if (Reply.Load.Known)
    return Reply.UnusedAllowance;
  return Reply.Result == Outcome::NotRun ? Call.Allowance : 0;
}

} // namespace

Forwarder::Forwarder(const IncarnationId &S, const ZoneId &Z,
                     std::uint64_t Seed, const ComponentRegistry &Registry)
    : Self(S), Zone(Z), NodeCounters(Registry.find<Counters>("counters")),
      Admission(Registry.find<AdmissionService>("admission")),
      Running(Registry.find<RunningCallService>("running")),
      LocalCallee(Registry.find<Callee>("callee")),
      Peers(Registry.find<PeerTransport>("peers")), Random(Seed) {}

void Forwarder::onBundle(const BundlePtr &New) {
  std::scoped_lock Lock(Mutex);
  Table = makeHostTable(*New->SourceBundle, New->Reach,
                        Bundle ? &Table : nullptr, now());
  Bundle = New;
}

Forwarder::SelectedHost
Forwarder::selectHost(const ServiceId &Service,
                      const std::vector<HostId> &Tried) {
  std::scoped_lock Lock(Mutex);
  const auto It = Bundle->Reach.ServiceByName.find(Service);
  if (It == Bundle->Reach.ServiceByName.end())
    return {{}, RefusalReason::NoBackendServer};
  std::vector<HostIndex> TriedIndexes;
  for (const HostId &Host : Tried)
    if (const auto Found = Table.IndexByHost.find(Host);
        Found != Table.IndexByHost.end())
      TriedIndexes.push_back(Found->second);
  const auto Here = std::ranges::find(Table.Zones, Zone);
  const auto ZoneIndex = static_cast<std::uint32_t>(Here - Table.Zones.begin());
  const HostChoice Chosen =
      chooseHost(Table, {It->second, ZoneIndex, TriedIndexes}, Random, now());
  if (!Chosen.Host)
    return {{}, Chosen.Reason};
  return {Bundle->SourceBundle->Hosts[*Chosen.Host].Id, RefusalReason::None};
}

CallReply Forwarder::callHost(const HostId &Host, const CallRequest &Call,
                              const ActiveBundle &Active) {
  if (Host == Self.Host)
    return LocalCallee.run(Call);
  const HostSpec *Spec = findHost(Active, Host);
  if (!Spec)
    return refuse(Outcome::NotRun, RefusalReason::PeerLost,
                  "host left the configuration");
  NodeCounters.add(Counter::PeerRequests);
  return Peers.call(peerAddress(*Spec), Call);
}

void Forwarder::recordReply(const HostId &Host, const CallReply &Reply) {
  std::scoped_lock Lock(Mutex);
  if (const auto It = Table.IndexByHost.find(Host);
      It != Table.IndexByHost.end())
    onHostReply(Table, It->second, {replyKind(Reply), Reply.Load.InFlight},
                now());
}

CallReply Forwarder::forward(CallRequest Call, const ActiveBundle &Active,
                             const RouteEntry &Route) {
  bool MayHaveRun = false;
  CallReply Reply = tryHosts(std::move(Call), Active, Route, MayHaveRun);
  Reply.Result = overallOutcome(MayHaveRun, Reply.Result);
  return Reply;
}

CallReply Forwarder::tryHosts(CallRequest Call, const ActiveBundle &Active,
                              const RouteEntry &Route, bool &MayHaveRun) {
  const RouteSpec &Spec = *Route.Spec;
  RetryAllowance RemainingAllowance{Call.Allowance};
  std::vector<HostId> Tried;
  HostId RequiredHost;
  Running.countFirstAttempt(Spec.Service,
                            Active.SourceBundle->Rules.RetryRatioPermille);
  Call.Caller = Self;
  for (;;) {
    // The previous refusal may name the only host that may run the call. That
    // host is not chosen by load, and `Table` does not count the call for it.
    const bool IsRequiredHost = !RequiredHost.empty();
    SelectedHost Next = IsRequiredHost
                            ? SelectedHost{std::exchange(RequiredHost, {})}
                            : selectHost(Spec.Service, Tried);
    if (Next.Host.empty()) {
      CallReply None = refuse(Outcome::NotRun, Next.Reason,
                              "no backend server of service \"" +
                                  Spec.Service.Text + "\" takes calls");
      None.UnusedAllowance = RemainingAllowance.RemainingRetries;
      return None;
    }
    Call.Id = CallId(++LastCallId);
    Call.Allowance = delegateRetries(RemainingAllowance);
    CallReply Reply = callHost(Next.Host, Call, Active);
    returnRetries(RemainingAllowance, Call.Allowance,
                  returnedAllowance(Reply, Call));
    Admission.recordLoadReport(Call.Customer, Reply.Load);
    if (!IsRequiredHost)
      recordReply(Next.Host, Reply);
    MayHaveRun = MayHaveRun || Reply.Result == Outcome::Unknown;
    Tried.push_back(Next.Host);
    Reply.UnusedAllowance = RemainingAllowance.RemainingRetries;
    if (Reply.Result == Outcome::Done || isFinal(Reply.Reason) ||
        Tried.size() >= MaxAttempts)
      return Reply;
    if (isHostUnready(Reply) && now() < Call.Deadline)
      continue;
    RequiredHost = Reply.RequiredHost;
    const RetryDecision Verdict = Running.decideRetry(
        RemainingAllowance, {Reply.Result, Spec.Idempotent, Reply.Suspect,
                             Route.RetryCost, Spec.Service, Call.Deadline});
    if (Verdict != RetryDecision::Retry) {
      Reply.UnusedAllowance = RemainingAllowance.RemainingRetries;
      return Reply;
    }
    NodeCounters.add(Counter::Retries);
  }
}

void Forwarder::onLeaving(const HostId &Host) {
  std::scoped_lock Lock(Mutex);
  if (const auto It = Table.IndexByHost.find(Host);
      It != Table.IndexByHost.end())
    onHostDraining(Table, It->second, now());
}

void Forwarder::onIncarnation(const HostId &Host, StartId Start) {
  std::scoped_lock Lock(Mutex);
  if (const auto It = Table.IndexByHost.find(Host);
      It != Table.IndexByHost.end())
    onHostIncarnation(Table, It->second, Start.Value, now());
}

void Forwarder::onHostList(const HostId &Host, bool Leaving) {
  std::scoped_lock Lock(Mutex);
  if (const auto It = Table.IndexByHost.find(Host);
      It != Table.IndexByHost.end())
    onHostListHint(Table, It->second, Leaving);
}

void Forwarder::dump(Poco::JSON::Object &Out) const {
  std::scoped_lock Lock(Mutex);
  Poco::JSON::Array::Ptr Hosts = new Poco::JSON::Array;
  for (HostIndex I = 0; I < Table.Hosts.size(); ++I) {
    Poco::JSON::Object::Ptr One = new Poco::JSON::Object;
    One->set("host", Bundle->SourceBundle->Hosts[I].Id.Text);
    One->set("own_in_flight", Table.Hosts[I].LocalInFlight);
    One->set("load", loadPerSlot(Table, I, now()));
    One->set("draining", isDraining(Table, I, now()));
    One->set("ejected", isEjected(Table, I, now()));
    Hosts->add(One);
  }
  Out.set("hosts", Hosts);
}

} // namespace pollenwick
