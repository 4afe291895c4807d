#include "node/Ingress.h"

#include <algorithm>
#include <memory>
#include <stdexcept>

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <openssl/rand.h>

#include "bundle/Digests.h"
#include "peer/Clock.h"

namespace pollenwick {
namespace {

constexpr Duration MinDeadline = std::chrono::milliseconds(1);
/// Retry-After for a caller that repeats a request whose ticket is in use by a
/// call still running.
constexpr Duration InProgressRetryAfter = std::chrono::milliseconds(200);

CallReply replyFromTicketAnswer(const TicketAnswer &Answer) {
  CallReply Reply;
  Reply.Result = Outcome::Done;
  Reply.Status = static_cast<std::uint16_t>(Answer.Status);
  Reply.Body = Answer.Body;
  if (!Answer.ContentType.empty())
    Reply.Headers.push_back({"Content-Type", Answer.ContentType});
  return Reply;
}

TicketResult ticketResultOf(const CallReply &Reply) {
  TicketResult Out{Reply.Result, Reply.Reason, std::nullopt};
  if (Reply.Result != Outcome::Done)
    return Out;
  const std::string *Type = findHeader(Reply.Headers, "Content-Type");
  Out.Answer = TicketAnswer{Reply.Status, Type ? *Type : "", Reply.Body};
  return Out;
}

std::string utcNow() {
  return Poco::DateTimeFormatter::format(
      Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
}

} // namespace

Ingress::Ingress(const IncarnationId &S, std::size_t ClaimWorkers,
                 std::size_t QueueCapacity, const ComponentRegistry &Registry)
    : Self(S), NodeCounters(Registry.find<Counters>("counters")),
      View(Registry.find<ViewService>("view")),
      Bundles(Registry.find<BundleStore>("bundles")),
      Admission(Registry.find<AdmissionService>("admission")),
      Quota(Registry.find<QuotaService>("quota")),
      Crashes(Registry.find<CrashService>("crashes")),
      CallForwarder(Registry.find<Forwarder>("forwarder")),
      Peers(Registry.find<PeerTransport>("peers")),
      ClaimPool(ClaimWorkers, QueueCapacity), Random(S.Start.Value) {
  Tickets.Self = S;
  if (RAND_bytes(Tickets.MacSecret.data(),
                 static_cast<int>(Tickets.MacSecret.size())) != 1)
    throw std::runtime_error(
        "cannot generate the ticket MAC key: RAND_bytes failed; check the "
        "system's random number source");
}

std::optional<CallReply> Ingress::authorizeRoot(CallRequest &Call,
                                                const ActiveBundle &Active,
                                                const RouteEntry &Route) {
  const RouteSpec &Spec = *Route.Spec;
  const auto Permitted =
      authorizeRequest(Active.ApiKeys, Spec,
                       Call.HasKey ? std::optional(Call.Key) : std::nullopt);
  if (const auto *Refused = std::get_if<Refusal>(&Permitted))
    return refuse(*Refused);
  Call.Customer = std::get<AuthorizedCaller>(Permitted).Customer;
  if (!Spec.Open && !View.holdsLease())
    return refuse(Outcome::NotRun, RefusalReason::NoViewLease,
                  "this node cannot confirm its configuration; use another",
                  std::chrono::seconds(1));
  if (Crashes.isRequestQuarantined(
          fingerprintOf(Call.Route, Call.Customer, Call.BodyDigest))) {
    NodeCounters.add(Counter::SuspectsRefused);
    return refuse(Outcome::NotRun, RefusalReason::Quarantined,
                  "this request crashed backend servers; send another");
  }
  return std::nullopt;
}

CallReply Ingress::handle(IncomingRequest Incoming) {
  NodeCounters.add(Counter::RootRequests);
  const Instant Start = now();
  CallRequest Call;
  CallReply Reply;
  const BundlePtr Active = Bundles.current();
  const RouteEntry *Route =
      Active ? findRouteByPath(Active->Routes, Incoming.PathAndQuery) : nullptr;
  if (!Active) {
    Reply = refuse(Outcome::NotRun, RefusalReason::NoBundle,
                   "this node has no configuration yet; use another",
                   std::chrono::seconds(1));
  } else if (!Route) {
    Reply = refuse(Outcome::NotRun, RefusalReason::UnknownRoute,
                   "no route has this path; check it");
  } else {
    const RouteSpec &Spec = *Route->Spec;
    Call.Route = Spec.Id;
    Call.Class = Spec.Class;
    Call.Method = std::move(Incoming.Method);
    Call.PathAndQuery = std::move(Incoming.PathAndQuery);
    Call.Headers = std::move(Incoming.Headers);
    Call.BodyDigest = sha256(Incoming.Body);
    Call.Body = std::move(Incoming.Body);
    Call.HasKey = Incoming.Key.has_value();
    Call.Key = Incoming.Key.value_or(KeyDigest{});
    Call.AdmittedAt = Start;
    Call.Deadline =
        Start + std::clamp(Incoming.Deadline.value_or(Spec.Deadline),
                           MinDeadline, Spec.Deadline);
    Call.Allowance = Active->SourceBundle->Rules.RetryAllowance;
    Call.DecisionRevision = Active->ActiveRevision.Number;
    {
      std::scoped_lock Lock(Mutex);
      Call.Root = RootId(Random());
      Call.Hash = Random();
    }
    Reply = runRoot(Call, Incoming.Ticket, *Active, *Route);
  }
  // A ticket that has not been looked up may have been used before, so the
  // outcome is unknown even if this request has not run.
  const bool TicketChecked =
      Route && !Route->Spec->Idempotent && !Call.Route.empty();
  if (!Incoming.Ticket.empty() && !TicketChecked &&
      Reply.Result == Outcome::NotRun)
    Reply.Result = Outcome::Unknown;
  const Duration Took = now() - Start;
  NodeCounters.recordLatency(Latency::RootRequest, Took);
  if (Reply.Result == Outcome::Done && Reply.BackendDuration > Duration::zero())
    NodeCounters.recordLatency(Latency::Overhead, Took - Reply.BackendDuration);
  recordOutcome(Reply, Call);
  return Reply;
}

CallReply Ingress::runRoot(CallRequest &Call, const std::string &Ticket,
                           const ActiveBundle &Active,
                           const RouteEntry &Route) {
  if (auto Refused = authorizeRoot(Call, Active, Route)) {
    if (!Ticket.empty())
      // An earlier use of the ticket may have run.
      Refused->Result = Outcome::Unknown;
    return std::move(*Refused);
  }
  if (Route.Spec->Idempotent)
    return admitAndRun(Call, Active, Route);
  if (Ticket.empty())
    return withNewTicket(
        refuse(Outcome::NotRun, RefusalReason::TicketNeeded,
               "this route runs at most once; send the request again with the "
               "ticket in Pollenwick-Ticket"),
        Call, Active);
  return runTicketed(Call, Ticket, Active, Route);
}

CallReply Ingress::withNewTicket(CallReply Reply, const CallRequest &Call,
                                 const ActiveBundle &Active) {
  if (Draining)
    return refuse(Outcome::NotRun, RefusalReason::Draining,
                  "this node is stopping; send the request to another");
  std::scoped_lock Lock(Mutex);
  const auto Minted =
      issueTicket(Tickets, Call.Customer, Call.Route,
                  Active.SourceBundle->Rules.TicketLifetime, now());
  if (const auto *Full = std::get_if<Refusal>(&Minted))
    return refuse(*Full);
  NodeCounters.add(Counter::TicketsMinted);
  Reply.Headers.push_back(
      {"Pollenwick-Ticket", encodeTicket(std::get<Ticket>(Minted))});
  return Reply;
}

CallReply Ingress::runTicketed(const CallRequest &Call, const std::string &Text,
                               const ActiveBundle &Active,
                               const RouteEntry &Route) {
  TicketClaimResult Claimed;
  {
    std::scoped_lock Lock(Mutex);
    Claimed = claimTicket(
        Tickets, {Text, Call.Customer, Call.Route, Call.BodyDigest}, now());
  }
  if (const auto *Elsewhere = std::get_if<ForwardToIssuer>(&Claimed))
    return forwardClaim(Elsewhere->Issuer, Text, Call, Active);
  if (const auto *Known = std::get_if<ReplayAnswer>(&Claimed)) {
    NodeCounters.add(Counter::TicketReplays);
    return replyFromTicketAnswer(Known->Answer);
  }
  if (std::holds_alternative<TicketInProgress>(Claimed))
    return refuse(Outcome::Unknown, RefusalReason::TicketUsed,
                  "the first use of the ticket is still running; ask again",
                  InProgressRetryAfter);
  if (const auto *Refused = std::get_if<Refusal>(&Claimed)) {
    CallReply Reply = refuse(*Refused);
    return Reply.Result == Outcome::NotRun
               ? withNewTicket(std::move(Reply), Call, Active)
               : Reply;
  }
  const std::uint64_t Sequence = std::get<ExecuteTicket>(Claimed).Sequence;
  CallReply Reply = admitAndRun(Call, Active, Route);
  {
    std::scoped_lock Lock(Mutex);
    finishTicket(Tickets, Sequence, ticketResultOf(Reply));
  }
  // A refused request uses up its ticket, so the caller gets a new one for the
  // next attempt.
  return Reply.Result == Outcome::NotRun
             ? withNewTicket(std::move(Reply), Call, Active)
             : Reply;
}

CallReply Ingress::forwardClaim(const HostId &Issuer, const std::string &Ticket,
                                const CallRequest &Call,
                                const ActiveBundle &Active) {
  NodeCounters.add(Counter::ClaimsForwarded);
  const HostSpec *Host = findHost(Active, Issuer);
  if (!Host || Issuer == Self.Host)
    return refuse(issuerUnreachableRefusal(Issuer));
  CallReply Reply = Peers.claim(peerAddress(*Host), Ticket, Call);
  // Even if this attempt has not run, an earlier use of the ticket may have
  // run, so the outcome must not be NotRun.
  if (Reply.Reason == RefusalReason::PeerLost ||
      Reply.Reason == RefusalReason::QueueFull)
    return refuse(issuerUnreachableRefusal(Issuer));
  return Reply;
}

CallReply Ingress::runForwardedClaim(const std::string &Ticket,
                                     CallRequest Call) {
  const BundlePtr Active = Bundles.current();
  const RouteEntry *Route =
      Active ? findRoute(Active->Routes, Call.Route) : nullptr;
  // The ticket may have been used before, so no refusal may have the outcome
  // NotRun before the ticket store has been consulted.
  if (!Route || Route->Spec->Idempotent)
    return refuse(Outcome::Unknown, RefusalReason::UnknownRoute,
                  "issuer does not know this route; ask again later");
  if (auto Refused = authorizeRoot(Call, *Active, *Route)) {
    Refused->Result = Outcome::Unknown;
    return std::move(*Refused);
  }
  Call.Allowance = Active->SourceBundle->Rules.RetryAllowance;
  return runTicketed(Call, Ticket, *Active, *Route);
}

void Ingress::submitClaim(std::string Ticket, CallRequest Call,
                          const CancelFlag &Cancelled,
                          const ReplyCallback &Answer) {
  const auto Shared = std::make_shared<CallRequest>(std::move(Call));
  const bool Queued = ClaimPool.submit(
      [this, Ticket = std::move(Ticket), Shared, Cancelled, Reply = Answer] {
        if (Cancelled->load())
          return Reply(refuse(Outcome::Unknown, RefusalReason::Cancelled,
                              "the caller has given up"));
        Reply(runForwardedClaim(Ticket, std::move(*Shared)));
      });
  if (!Queued)
    Answer(refuse(Outcome::Unknown, RefusalReason::QueueFull,
                  "issuer is busy; ask again later"));
}

CallReply Ingress::admitAndRun(const CallRequest &Call,
                               const ActiveBundle &Active,
                               const RouteEntry &Route) {
  if (auto Refused = Admission.admitRoot(Call.Route, Call.Customer, Call.Hash))
    return refuse(*Refused);
  if (!Call.Customer.empty())
    if (auto Refused = Quota.spendToken(Call.Customer, Call.Deadline))
      return refuse(*Refused);
  return CallForwarder.forward(Call, Active, Route);
}

void Ingress::recordOutcome(const CallReply &Reply, const CallRequest &Call) {
  if (Reply.Result == Outcome::Done) {
    NodeCounters.add(Counter::RootAnswered);
    return;
  }
  NodeCounters.recordRefusal({utcNow(), Reply.Reason, Reply.Result,
                              Call.Customer, Call.Route, Reply.Message});
}

void Ingress::tick() {
  std::scoped_lock Lock(Mutex);
  expireTickets(Tickets, now());
}

void Ingress::dump(Poco::JSON::Object &Out) const {
  std::scoped_lock Lock(Mutex);
  Out.set("tickets_remembered", Tickets.UsedTickets.size());
  Out.set("ticket_answer_bytes", Tickets.AnswerBytes);
  Out.set("claim_threads", ClaimPool.startedThreads());
}

} // namespace pollenwick
