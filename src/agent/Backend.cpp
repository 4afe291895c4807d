#include "agent/Backend.h"

#include <algorithm>
#include <utility>

#include "agent/BackendConnection.h"
#include "agent/HttpMessage.h"

namespace pollenwick::agent {
namespace {

constexpr Duration SweepInterval = std::chrono::milliseconds(50);
/// Time after the deadline at which a call without an answer is aborted. A
/// working server answers by itself when the deadline passes.
constexpr Duration ResponseGrace = std::chrono::milliseconds(200);
/// The mean service time is reset to unknown when the server has finished no
/// call for this long, because the server may have become faster, for example
/// after a cold start.
constexpr Duration ServiceTimeMaxAge = std::chrono::seconds(2);
/// Cause of a waiting call that makes room for a more important one.
constexpr const char *DisplacedCause = "displaced";
/// Assumed for the offered load while the mean service time is unknown.
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(50);
/// The process's memory / the largest response body.
constexpr std::size_t MemoryPerResponseBody = 16;

} // namespace

ResponseLimits responseLimitsFor(std::size_t MemoryBytes) {
  if (MemoryBytes == 0)
    return {};
  return {MemoryBytes / MemoryPerResponseBody, accountLimitFor(MemoryBytes)};
}

Backend::Backend(
    EventLoop &TheLoop, const PlatformAdapter &TheProtocol, LogWriter &TheLog,
    std::string TheAddress,
    std::function<void(const std::vector<std::uint64_t> &)> CrashHandler,
    const ResponseLimits &TheLimits)
    : Loop(TheLoop), Protocol(TheProtocol), Log(TheLog),
      Address(std::move(TheAddress)), OnCrash(std::move(CrashHandler)),
      Limits(TheLimits), WaitingForRoom(TheLoop),
      ColdStart(TheLog, TheLoop.now()), Pace(TheLog), Terms(TheLog),
      LastSweepAt(TheLoop.now()) {
  Loop.callAt(Loop.now() + SweepInterval, [this] { sweep(); });
}

Backend::~Backend() = default;

void Backend::setServer(const ServerEntry *Entry,
                        std::uint32_t NewMaxConnections) {
  MaxConnections = NewMaxConnections;
  if (!Entry) {
    if (Server)
      RemovedServerId = Server->Id.Text;
    ColdStart.onEntryRemoved();
    Server.reset();
    refuseUnsentCalls();
    return;
  }
  const bool Restarted = !Server || Server->Id != Entry->Id ||
                         Server->StartedAtUnixMs != Entry->StartedAtUnixMs;
  if (Server && Restarted)
    reportCrashBeforeRestart();
  Server = *Entry;
  ColdStart.onEntry(*Entry, Restarted, Loop.now());
  Terms.setServer(*Entry);
  if (Restarted) {
    Queue.MeanServiceTime = Duration{};
    forgetMeanSlotTimes(WorkByRoute);
    Pace.onMeanReset();
    RecentFailures = FailureRate{};
    Reachable = true;
  }
  Pace.setServer(*Entry, Loop.now());
  Queue.MaxRunning = Pace.limit();
  refuseUnsentCalls();
}

ServerLoad Backend::load() const {
  ServerLoad Load;
  Load.Running = Queue.Running;
  Load.Waiting = static_cast<std::uint32_t>(Queue.Waiting.size());
  const bool AcceptsCalls = Server && Server->State == ServerState::Ready &&
                            !Terms.leaving() && RefusalCause.empty() &&
                            (!DrainDeadline || Loop.now() < *DrainDeadline);
  Load.MaxRunning = AcceptsCalls ? Queue.MaxRunning : 0;
  Load.MeanServiceTime = Queue.MeanServiceTime;
  Load.FailureRate = failureRate(RecentFailures, Loop.now());
  Load.RecentCalls = recentCalls(RecentFailures, Loop.now());
  Load.Leaving = DrainDeadline.has_value();
  ColdStart.fillLoad(Load, Loop.now());
  Terms.fillLoad(Load, Loop.now());
  Load.ReportedSlowdown = Pace.slowdownOfMean(Loop.now());
  Load.MemoryShort = Loop.memory().isShort();
  return Load;
}

bool Backend::updateBufferedBytes(std::size_t Previous, std::size_t Current) {
  BufferedBytes += Current;
  BufferedBytes -= Previous;
  return Current <= Previous || BufferedBytes <= Limits.MaxBufferedBytes;
}

Backend::CallNumber Backend::submit(CallRequest &&Request,
                                    CallResultHandler Done) {
  const CallNumber Number = ++LastCallNumber;
  // A call that is refused and placed on another server counts as offered once.
  if (!Request.Redispatched)
    Counts.OfferedSlotMicros += static_cast<std::uint64_t>(
        expectedSlotTime(WorkByRoute, Request.Route,
                         Queue.MeanServiceTime.count() > 0
                             ? Queue.MeanServiceTime
                             : DefaultServiceTime)
            .count());
  if (std::string Cause = serverRefusal(Request.ServerId); !Cause.empty()) {
    refuse(std::move(Done), std::move(Cause));
    return Number;
  }
  if (DrainDeadline && Request.Deadline > *DrainDeadline) {
    refuse(std::move(Done), "node-leaving");
    return Number;
  }
  Terms.onPeerReport(Request.ServerRequestsPerS, Loop.now());
  CallRequirements Needs;
  Needs.ArrivedAt = Loop.now();
  Needs.Deadline = Request.Deadline;
  Needs.LatencyTarget = Request.LatencyTarget;
  Needs.Rank = Request.Rank;
  Needs.Nested = Request.Nested;
  const WaitingCall Waiting{Number,
                            dueTime(Needs),
                            Request.Deadline,
                            latestStart(Needs),
                            precedence(Needs),
                            expectedSlotTime(WorkByRoute, Request.Route, {})};
  const bool StartsTooLate =
      startsTooLate(startLimits(), Queue, Waiting, Loop.now());
  const QueueDecision Decision =
      offerCall(Queue, startLimits(), Waiting, Loop.now());
  if (Decision == QueueDecision::Refuse) {
    refuse(std::move(Done), StartsTooLate
                                ? lateStartCause(startLimits(), Loop.now())
                                : "queue-too-long");
    return Number;
  }
  PendingCall Call;
  Call.Request = std::move(Request);
  Call.Done = std::move(Done);
  Call.QueueEntry = Waiting;
  Calls.emplace(Number, std::move(Call));
  if (Decision == QueueDecision::Run) {
    dispatch(Number);
    return Number;
  }
  const std::vector<WaitingCall> Displaced =
      displaceCalls(Queue, Waiting, Loop.now());
  Counts.CallsDisplaced += Displaced.size();
  refuseDropped(Displaced, DisplacedCause);
  return Number;
}

BackendConnection *Backend::takeIdleConnection(const std::string &RequestId) {
  BackendConnection *Taken = nullptr;
  std::vector<BackendConnection *> Unsuitable;
  while (!IdleConnections.empty() && !Taken) {
    BackendConnection *Last = IdleConnections.back();
    IdleConnections.pop_back();
    if (!Last->usable(Loop.now())) {
      Last->close();
      Loop.deferRelease(Connections[Last]);
      Connections.erase(Last);
    } else if (Last->hasRefused(RequestId)) {
      Unsuitable.push_back(Last);
    } else {
      Taken = Last;
    }
  }
  IdleConnections.insert(IdleConnections.end(), Unsuitable.rbegin(),
                         Unsuitable.rend());
  return Taken;
}

BackendConnection *Backend::acquireConnection(const std::string &RequestId) {
  if (BackendConnection *Idle = takeIdleConnection(RequestId))
    return Idle;
  auto New = std::make_shared<BackendConnection>(Loop, Protocol, *this);
  if (!New->open(Address))
    return nullptr;
  ++Counts.ConnectionsOpened;
  BackendConnection *Raw = New.get();
  Connections.emplace(Raw, std::move(New));
  return Raw;
}

void Backend::dispatch(CallNumber Number) {
  PendingCall &Call = Calls.at(Number);
  Call.StartedAt = Loop.now();
  ++Counts.CallsStarted;
  ColdStart.recordStart(Loop.now());
  Terms.recordRequest(Loop.now());
  BackendConnection *Connection = acquireConnection(Call.Request.RequestId);
  if (!Connection) {
    Loop.callAtTurnEnd([this, Number] {
      CallResult Result;
      Result.Outcome = CallOutcome::NotRun;
      Result.Cause = "server-unreachable";
      completeCall(Number, std::move(Result));
    });
    return;
  }
  Call.Connection = Connection;
  Connection->startCall(Number, Call.Request, Loop.now());
}

void Backend::dispatchWaiting() {
  while (const auto Next = dequeueCall(Queue, startLimits(), Loop.now()))
    dispatch(Next->Id);
}

void Backend::completeCall(CallNumber Number, CallResult &&Result) {
  const auto Found = Calls.find(Number);
  if (Found == Calls.end())
    return;
  PendingCall Call = std::move(Found->second);
  Calls.erase(Found);
  const bool Sent = wasSent(Call);
  if (Call.Connection && !Sent) {
    // Nothing was sent because the connection was never established.
    Result.Outcome = CallOutcome::NotRun;
    Result.ReachedServer = false;
  } else if (Result.Cause == "server-connection-lost") {
    recordLostCall(Call);
  }
  const bool WasLeaving = Terms.leaving();
  if (Result.Notice)
    Terms.onAnswer(*Result.Notice, Call.StartedAt, Loop.now());
  recordCallResult(RecentFailures,
                   Result.Outcome != CallOutcome::Complete ||
                       isServerError(Result.Status),
                   Loop.now());
  Pace.onCallEnded(Call.Request, Result, Loop.now() - Call.StartedAt,
                   Queue.Running, Loop.now());
  releaseSlot(Queue, Loop.now() - Call.StartedAt);
  // A call that was not sent, or that the server refused, is no work of it. A
  // server that refuses all calls at once would make its route look cheap.
  if (Sent && Result.Outcome != CallOutcome::NotRun)
    recordRouteWork(WorkByRoute, Call.Request.Route,
                    Loop.now() - Call.StartedAt);
  LastFinishedAt = Loop.now();
  if (Result.Outcome == CallOutcome::Complete) {
    LastAnswerAt = Loop.now();
    if (OnCompletion)
      OnCompletion(Call.Request.Fingerprint);
    if (!std::exchange(Reachable, true))
      Pace.onRecovered(Loop.now());
  }
  Queue.MaxRunning = Pace.limit();
  if (Call.Connection && Call.Connection->usable(Loop.now()))
    IdleConnections.push_back(Call.Connection);
  if (Terms.leaving() && !WasLeaving)
    refuseUnsentCalls();
  dispatchWaiting();
  if (Call.Abandoned)
    return;
  Result.Load = load();
  Call.Done(std::move(Result));
}

void Backend::onConnectionClosed(BackendConnection &Connection,
                                 bool WasConnected) {
  std::erase(IdleConnections, &Connection);
  const auto Found = Connections.find(&Connection);
  if (Found == Connections.end())
    return;
  Loop.deferRelease(Found->second);
  Connections.erase(Found);
  if (!WasConnected)
    onServerUnreachable();
}

void Backend::cancel(CallNumber Number) {
  const auto Found = Calls.find(Number);
  if (Found == Calls.end())
    return;
  PendingCall &Call = Found->second;
  if (cancelWaitingCall(Queue, Call.QueueEntry)) {
    Calls.erase(Found);
    return;
  }
  const bool Sent = wasSent(Call);
  if (Sent && !Call.Request.Retryable) {
    Call.Abandoned = true;
    return;
  }
  BackendConnection *Connection = Call.Connection;
  const Duration SlotTime = Loop.now() - Call.StartedAt;
  if (Sent) {
    recordRouteWork(WorkByRoute, Call.Request.Route, SlotTime);
    Pace.onCallCancelled(Call.Request, SlotTime, Queue.Running, Loop.now());
  }
  Calls.erase(Found);
  releaseSlot(Queue, SlotTime);
  Queue.MaxRunning = Pace.limit();
  if (Connection) {
    Connection->close();
    onConnectionClosed(*Connection, true);
  }
  dispatchWaiting();
}

void Backend::sweep() {
  Loop.callAt(Loop.now() + SweepInterval, [this] { sweep(); });
  const Duration Elapsed = Loop.now() - LastSweepAt;
  LastSweepAt = Loop.now();
  if (Loop.now() - LastFinishedAt >= ServiceTimeMaxAge) {
    Queue.MeanServiceTime = Duration{};
    forgetMeanSlotTimes(WorkByRoute);
    Pace.onMeanReset();
  }
  Pace.tick(Queue.Running, Loop.now());
  Queue.MaxRunning = Pace.limit();
  if (Server && Server->State == ServerState::Ready && RefusalCause.empty())
    Counts.AvailableSlotMicros += static_cast<std::uint64_t>(
        static_cast<double>(Elapsed.count()) * usableSlots(load()));
  refuseDropped(dropExpired(Queue, Loop.now()), "deadline-in-queue");
  refuseDropped(dropLateStarts(Queue, startLimits(), Loop.now()),
                lateStartCause(startLimits(), Loop.now()));
  // Calls that waited for their start on a server that limits them.
  dispatchWaiting();
  std::vector<CallNumber> OverdueCalls;
  for (const auto &[Number, Call] : Calls)
    if (Call.Connection && Call.Request.Deadline + ResponseGrace <= Loop.now())
      OverdueCalls.push_back(Number);
  for (const CallNumber Number : OverdueCalls) {
    const auto Found = Calls.find(Number);
    if (Found == Calls.end())
      continue;
    BackendConnection *Connection = Found->second.Connection;
    CallResult Result;
    Result.ReachedServer = true;
    Result.Cause = "server-silent";
    Connection->close();
    completeCall(Number, std::move(Result));
    onConnectionClosed(*Connection, true);
  }
}

} // namespace pollenwick::agent
