#include "node/Callee.h"

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <thread>

#include "peer/Clock.h"

namespace pollenwick {
namespace {

/// Interval at which a suspect request checks whether the server is idle.
constexpr Duration SuspectPollInterval = std::chrono::milliseconds(5);

std::string queueRefusalText(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::DeadlineExceeded:
    return "the call cannot meet its deadline here";
  case RefusalReason::NoBundle:
    return "callee node has no configuration yet; use another";
  case RefusalReason::UnknownRoute:
    return "callee node does not serve this route; use another";
  default:
    return "backend server is busy; send again later";
  }
}

CallReply notRun(RefusalReason Reason, std::string Message) {
  return refuse(Outcome::NotRun, Reason, std::move(Message));
}

} // namespace

Callee::Callee(const HostId &S, std::size_t MaxWorkers,
               std::size_t QueueCapacity, const ComponentRegistry &Registry)
    : Self(S), NodeCounters(Registry.find<Counters>("counters")),
      View(Registry.find<ViewService>("view")),
      Bundles(Registry.find<BundleStore>("bundles")),
      Admission(Registry.find<AdmissionService>("admission")),
      Running(Registry.find<RunningCallService>("running")),
      Crashes(Registry.find<CrashService>("crashes")),
      Backend(Registry.find<BackendClient>("backend")),
      Workers(MaxWorkers, QueueCapacity) {}

// A new bundle may assign other indexes to services, customers and routes, so
// waiting calls are queued again under the indexes of their names, and the
// calls that hold a slot are counted again.
void Callee::onBundle(const BundlePtr &New) {
  const HostSpec *Here = findHost(*New, Self);
  SlotDecisions Out;
  {
    std::scoped_lock Lock(Mutex);
    const bool SameIndexes =
        HasState && Here && Bundle->Reach.Services == New->Reach.Services &&
        Bundle->Reach.Slots == New->Reach.Slots &&
        Bundle->Reach.Customers == New->Reach.Customers &&
        Bundle->Reach.RouteByName == New->Reach.RouteByName &&
        Bundle->RankByClass == New->RankByClass;
    Bundle = New;
    if (SameIndexes)
      return;
    const BundleIndex &Reach = New->Reach;
    const auto Waited =
        HasState ? std::move(State.Queue.ById) : decltype(State.Queue.ById)();
    HasState = Here && Reach.ServiceByName.contains(Here->Service);
    if (HasState) {
      State = makeCallee(Reach, Reach.ServiceByName.at(Here->Service), now());
      for (const auto &[Id, Class] : ClassByRunningCall) {
        ++State.SlotsInUse;
        ++State.Running[classRank(*New, Class)];
      }
    }
    for (auto [Id, Call] : Waited) {
      const WaitingCall &Entry = Waiting.at(Id);
      const auto It = Reach.RouteByName.find(Entry.Route);
      if (HasState && It != Reach.RouteByName.end()) {
        Call.Route = It->second;
        Call.Rank = classRank(*New, Entry.Class);
        Call.Customer = customerIndex(Reach, Entry.Customer);
        pushCall(State.Queue, Call);
        continue;
      }
      Out.Refused.emplace_back(Entry.Callback, RefusalReason::UnknownRoute);
      Waiting.erase(Id);
    }
  }
  notifyDecisions(Out);
}

std::optional<CallReply>
Callee::checkBeforeDispatch(const CallRequest &Call,
                            const ActiveBundle &Active) {
  const RouteEntry *Route = findRoute(Active.Routes, Call.Route);
  if (!Route)
    return notRun(RefusalReason::UnknownRoute,
                  "route \"" + Call.Route.Text + "\" is not in revision " +
                      std::to_string(Active.ActiveRevision.Number.Value));
  if (now() >= Call.Deadline)
    return notRun(RefusalReason::DeadlineExceeded,
                  "deadline passed before the call started");
  if (!Route->Spec->Open && !View.holdsLease())
    return notRun(RefusalReason::NoViewLease,
                  "callee node cannot confirm its configuration");
  // Internal routes are closed to external callers but open to sub-calls, so
  // only the API key of a sub-call is checked.
  RouteSpec Checked = *Route->Spec;
  if (Call.SubCall)
    Checked.Internal = false;
  const std::optional<KeyDigest> Key =
      Call.HasKey ? std::optional(Call.Key) : std::nullopt;
  if (Call.SubCall && !Call.HasKey && Call.Customer.empty())
    return std::nullopt; // The root request came in on an open route.
  if (auto Refused = reauthorizeRequest(Active.ApiKeys, Checked, Key,
                                        AuthorizedCaller{Call.Customer}))
    return refuse(*Refused);
  return std::nullopt;
}

void Callee::acquireSlot(const CallRequest &Call, CallId Id,
                         SlotCallback Callback) {
  if (Draining)
    return Callback(notRun(RefusalReason::Draining,
                           "this backend server is leaving; use another"));
  SlotDecisions Out;
  {
    std::scoped_lock Lock(Mutex);
    const auto It =
        HasState ? Bundle->Reach.RouteByName.find(Call.Route)
                 : decltype(Bundle->Reach.RouteByName.find(Call.Route)){};
    if (!HasState) {
      Out.Refused.emplace_back(std::move(Callback), RefusalReason::NoBundle);
    } else if (It == Bundle->Reach.RouteByName.end() ||
               Bundle->Reach.Routes[It->second].Service != State.Service) {
      Out.Refused.emplace_back(std::move(Callback),
                               RefusalReason::UnknownRoute);
    } else {
      const BundleIndex &Reach = Bundle->Reach;
      const Instant Now = now();
      const OfferedCall Offered{Id,
                                It->second,
                                customerIndex(Reach, Call.Customer),
                                classRank(*Bundle, Call.Class),
                                Call.Hash,
                                Call.SubCall,
                                Call.AdmittedAt,
                                Call.Deadline,
                                Now};
      const OfferResult Result = offerCall(State, Reach, Offered, Now);
      if (Result.Evicted)
        if (auto Node = Waiting.extract(*Result.Evicted))
          Out.Refused.emplace_back(std::move(Node.mapped().Callback),
                                   RefusalReason::Shed);
      switch (Result.Decision) {
      case OfferDecision::Run:
        ClassByRunningCall.emplace(Id, Call.Class);
        Out.Run.push_back(std::move(Callback));
        break;
      case OfferDecision::Queued:
        Waiting.emplace(Id, WaitingCall{Call.Route, Call.Customer, Call.Class,
                                        std::move(Callback)});
        break;
      case OfferDecision::Refused:
        Out.Refused.emplace_back(std::move(Callback), Result.Reason);
        break;
      }
    }
  }
  notifyDecisions(Out);
}

void Callee::startWaitingCalls(SlotDecisions &Out) {
  for (;;) {
    const DequeueResult Taken = dequeueCall(State, now());
    for (const CallId &Id : Taken.Expired)
      if (auto Node = Waiting.extract(Id))
        Out.Refused.emplace_back(std::move(Node.mapped().Callback),
                                 RefusalReason::DeadlineExceeded);
    if (!Taken.Call)
      return;
    if (auto Node = Waiting.extract(Taken.Call->Id)) {
      ClassByRunningCall.emplace(Node.key(), Node.mapped().Class);
      Out.Run.push_back(std::move(Node.mapped().Callback));
    }
  }
}

void Callee::notifyDecisions(const SlotDecisions &Calls) {
  for (const auto &[Callback, Reason] : Calls.Refused)
    Callback(notRun(Reason, queueRefusalText(Reason)));
  for (const SlotCallback &Callback : Calls.Run)
    Callback(std::nullopt);
}

void Callee::freeSlot(const CallRequest &Call, CallId Id, Duration ServiceTime,
                      Duration OwnTime, bool Completed) {
  SlotDecisions Out;
  {
    std::scoped_lock Lock(Mutex);
    ClassByRunningCall.erase(Id);
    if (HasState) {
      const auto It = Bundle->Reach.RouteByName.find(Call.Route);
      const bool KnownRoute = It != Bundle->Reach.RouteByName.end();
      const RouteIndex Route = KnownRoute ? It->second : 0;
      const std::uint32_t Rank = classRank(*Bundle, Call.Class);
      releaseSlot(State,
                  {Route, Rank, ServiceTime, OwnTime, Completed && KnownRoute},
                  now());
      startWaitingCalls(Out);
    }
  }
  notifyDecisions(Out);
}

void Callee::tick() {
  SlotDecisions Out;
  {
    std::scoped_lock Lock(Mutex);
    if (!HasState)
      return;
    refreshThreshold(State, Bundle->Reach, now());
    startWaitingCalls(Out);
  }
  notifyDecisions(Out);
}

std::optional<CallReply>
Callee::waitForStartPermission(const CallRequest &Call,
                               const Fingerprint &Subject) {
  for (;;) {
    const StartDecision Verdict = Crashes.tryStart(Subject);
    if (std::holds_alternative<StartCall>(Verdict))
      return std::nullopt;
    if (const auto *Refused = std::get_if<Refusal>(&Verdict)) {
      NodeCounters.add(Counter::SuspectsRefused);
      return refuse(*Refused);
    }
    if (const auto *Elsewhere = std::get_if<TryAtHost>(&Verdict)) {
      CallReply Reply =
          notRun(RefusalReason::Shed, "the call runs next on host \"" +
                                          Elsewhere->Host.Text + "\" only");
      Reply.RequiredHost = Elsewhere->Host;
      return Reply;
    }
    if (!std::get<ServerReserved>(Verdict).ForSuspect)
      return notRun(RefusalReason::Shed,
                    "backend server is reserved for one call; use another");
    if (now() + SuspectPollInterval >= Call.Deadline)
      return notRun(RefusalReason::DeadlineExceeded,
                    "backend server did not become idle for this call");
    std::this_thread::sleep_for(SuspectPollInterval);
  }
}

CallReply Callee::runOnServer(const CallRequest &Call, Duration &SubCallTime) {
  auto Begun = Running.begin(Call);
  if (auto *Refused = std::get_if<Refusal>(&Begun))
    return refuse(*Refused);
  const CallHandle Handle = std::get<CallHandle>(Begun);
  const Instant Start = now();
  BackendResult Result = Backend.run(Call, formatCallHandle(Handle));
  NodeCounters.add(Counter::LocalRuns);
  Result.Reply.BackendDuration = now() - Start;
  NodeCounters.recordLatency(Latency::BackendRun, Result.Reply.BackendDuration);
  const FinishedRun Finished = Running.finish(Handle);
  SubCallTime = Finished.SubCallTime;
  Result.Reply.UnusedAllowance = Finished.UnusedAllowance;
  // The call is still counted as in flight here, so that a crash makes suspects
  // of this call and of all others that were running.
  if (Result.ConnectionLost)
    Result.Reply.Suspect = Crashes.onConnectionLost(Backend, Start);
  return std::move(Result.Reply);
}

CallReply Callee::execute(const CallRequest &Call, CallId Id,
                          const std::atomic<bool> *Cancelled) {
  const Instant Start = now();
  Duration SubCallTime{};
  CallReply Reply;
  const BundlePtr Active = Bundles.current();
  if (Cancelled && Cancelled->load()) {
    Reply = notRun(RefusalReason::Cancelled, "the caller has given up");
  } else if (auto Refused = checkBeforeDispatch(Call, *Active)) {
    Reply = std::move(*Refused);
  } else {
    const Fingerprint Subject =
        fingerprintOf(Call.Route, Call.Customer, Call.BodyDigest);
    if (auto Barred = waitForStartPermission(Call, Subject)) {
      Reply = std::move(*Barred);
    } else {
      // The view lease may have expired, or the bundle changed, during the wait
      // for an idle server.
      if (auto Late = checkBeforeDispatch(Call, *Bundles.current()))
        Reply = std::move(*Late);
      else
        Reply = runOnServer(Call, SubCallTime);
      Crashes.finish(Subject, Reply.Result == Outcome::Done);
    }
  }
  if (Reply.Result == Outcome::NotRun)
    Reply.UnusedAllowance = Call.Allowance;
  const Duration ServiceTime = now() - Start;
  freeSlot(Call, Id, ServiceTime,
           std::max(ServiceTime - SubCallTime, Duration::zero()),
           Reply.Result == Outcome::Done);
  return withLoad(std::move(Reply), Call);
}

CallReply Callee::run(const CallRequest &Call) {
  struct Wait {
    std::mutex Mutex;
    std::condition_variable Changed;
    bool Decided = false;
    std::optional<CallReply> Refused;
  };
  const auto State = std::make_shared<Wait>();
  const CallId Id = nextId();
  acquireSlot(Call, Id, [State](std::optional<CallReply> Refused) {
    std::scoped_lock Lock(State->Mutex);
    State->Refused = std::move(Refused);
    State->Decided = true;
    State->Changed.notify_one();
  });
  {
    std::unique_lock Lock(State->Mutex);
    State->Changed.wait(Lock, [&] { return State->Decided; });
  }
  if (State->Refused) {
    State->Refused->UnusedAllowance = Call.Allowance;
    return withLoad(std::move(*State->Refused), Call);
  }
  return execute(Call, Id, nullptr);
}

void Callee::submit(CallRequest Call, CancelFlag Cancelled,
                    ReplyCallback Answer) {
  NodeCounters.add(Counter::CallsForPeers);
  const auto Shared = std::make_shared<const CallRequest>(std::move(Call));
  const CallId Id = nextId();
  acquireSlot(
      *Shared, Id,
      [this, Shared, Id, Cancelled = std::move(Cancelled),
       Answer = std::move(Answer)](std::optional<CallReply> Refused) {
        if (Refused) {
          Refused->UnusedAllowance = Shared->Allowance;
          return Answer(withLoad(std::move(*Refused), *Shared));
        }
        const bool Queued =
            Workers.submit([this, Shared, Id, Cancelled, Answer] {
              Answer(execute(*Shared, Id, Cancelled.get()));
            });
        if (Queued)
          return;
        freeSlot(*Shared, Id, Duration::zero(), Duration::zero(), false);
        CallReply Full = notRun(RefusalReason::QueueFull,
                                "worker ring is full; send again later");
        Full.UnusedAllowance = Shared->Allowance;
        Answer(withLoad(std::move(Full), *Shared));
      });
}

LoadReport Callee::loadReport(const CallRequest &Call) const {
  LoadReport Out;
  std::scoped_lock Lock(Mutex);
  Out.Draining = Draining;
  if (!HasState)
    return Out;
  const CalleeReport Made =
      calleeReport(State, customerIndex(Bundle->Reach, Call.Customer), now());
  Out.Known = true;
  Out.InFlight = Made.InFlight;
  Out.QueueDelay = Made.QueueDelay;
  Out.Thresholds.push_back(toNamedThreshold(Bundle->Reach, Made.Threshold));
  return Out;
}

CallReply Callee::withLoad(CallReply Reply, const CallRequest &Call) const {
  Reply.Load = loadReport(Call);
  const auto Downstream =
      Admission.downstreamThresholds(Call.Route, Call.Customer);
  Reply.Load.Thresholds.insert(Reply.Load.Thresholds.end(), Downstream.begin(),
                               Downstream.end());
  return Reply;
}

bool Callee::isIdle() const {
  std::scoped_lock Lock(Mutex);
  return ClassByRunningCall.empty() && Waiting.empty();
}

void Callee::dump(Poco::JSON::Object &Out) const {
  std::scoped_lock Lock(Mutex);
  Out.set("draining", Draining.load());
  Out.set("in_slots", ClassByRunningCall.size());
  Out.set("waiting", Waiting.size());
  Out.set("worker_threads", Workers.startedThreads());
  if (!HasState)
    return;
  Out.set("limit", currentLimit(State.Limit));
  Out.set("queue_delay_us", State.MeanQueueDelayUs);
  Out.set("common_level", State.Threshold.CommonLevel.Value);
}

} // namespace pollenwick
