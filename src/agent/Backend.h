#ifndef POLLENWICK_AGENT_BACKEND_H
#define POLLENWICK_AGENT_BACKEND_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "agent/Call.h"
#include "agent/ColdStartState.h"
#include "agent/EventLoop.h"
#include "agent/Log.h"
#include "agent/PlatformAdapter.h"
#include "agent/RoomQueue.h"
#include "agent/ServerPace.h"
#include "agent/ServerTerms.h"
#include "core/dispatch/DispatchQueue.h"
#include "core/placement/FailureRate.h"
#include "core/shedding/RouteWork.h"
#include "core/startlimits/StartLimits.h"

namespace pollenwick::agent {

class BackendConnection;

/// Totals since the start of the process.
struct BackendCounts {
  std::uint64_t CallsStarted = 0; ///< Calls that were given a slot.
  std::uint64_t ConnectionsOpened = 0;
  /// Waiting calls that were refused in favour of a more important one.
  std::uint64_t CallsDisplaced = 0;
  /// Expected slot time of all offered calls, in microseconds.
  std::uint64_t OfferedSlotMicros = 0;
  /// Slot time that the server provided while it was ready, in microseconds.
  std::uint64_t AvailableSlotMicros = 0;
};

/// Limits on the responses that a node holds in memory.
struct ResponseLimits {
  /// Of one response body.
  std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024;
  /// Of the received parts of all responses that are not complete yet.
  std::size_t MaxBufferedBytes = std::size_t{256} * 1024 * 1024;
};

/// Returns the limits of a process that may use `MemoryBytes`; the default
/// limits if that is 0.
ResponseLimits responseLimitsFor(std::size_t MemoryBytes);

/// Client of the backend server on this host. It queues calls, limits how many
/// run at once and manages the connections to the server.
class Backend {
public:
  /// `OnCrash` receives the fingerprints of the calls that were running when
  /// the server crashed.
  Backend(EventLoop &Loop, const PlatformAdapter &Protocol, LogWriter &Log,
          std::string Address,
          std::function<void(const std::vector<std::uint64_t> &)> OnCrash,
          const ResponseLimits &Limits = {});
  ~Backend();

  using CallNumber = std::uint64_t;

  /// Sets the receiver of the fingerprint of each call that the server answers.
  void setCompletionHandler(std::function<void(std::uint64_t)> Handler) {
    OnCompletion = std::move(Handler);
  }

  /// Runs a call as soon as a slot is free, or refuses it. Calls `Done` exactly
  /// once unless the call is cancelled, and never before `submit` returns.
  CallNumber submit(CallRequest &&Request, CallResultHandler Done);
  /// Drops a call whose caller no longer waits. A call that is not retryable
  /// and may have reached the server keeps its slot until it ends.
  void cancel(CallNumber Number);
  /// Refuses a call of which nothing was sent; any other runs on.
  void recall(CallNumber Number);
  /// Refuses all calls of which nothing was sent, because this process ends.
  void recallAll();
  /// Reports that the outcome of all running calls is unknown, because this
  /// process ends before their answers.
  void giveUpRunning();

  /// Sets the registration of the backend server; `Entry` is null when the
  /// server is not registered. Calls that wait for a server that drains, is
  /// gone or was replaced are refused as not run.
  void setServer(const ServerEntry *Entry, std::uint32_t MaxConnections);

  ColdStartState &coldStart() { return ColdStart; }
  /// Returns whether the server answered since the last failed connection
  /// attempt.
  bool reachable() const { return Reachable; }

  /// Refuses calls that have not been sent with this cause until it is called
  /// with an empty `Cause`. Running calls finish.
  void refuseCalls(const std::string &Cause);

  /// Returns the current load. `MaxRunning` is 0 when no calls are accepted.
  ServerLoad load() const;
  const BackendCounts &counts() const { return Counts; }
  /// Returns the work of the calls that have ended at the server, by route.
  const RouteWork &routeWork() const { return WorkByRoute; }
  const ServerPace &pace() const { return Pace; }
  const ServerTerms &terms() const { return Terms; }
  const ResponseLimits &responseLimits() const { return Limits; }
  /// Returns the size of the received parts of incomplete responses.
  std::size_t bufferedBytes() const { return BufferedBytes; }
  /// Returns the number of calls that wait for a slot or run.
  std::size_t pendingCount() const { return Calls.size(); }
  /// Returns the id of the server; empty when it is not registered.
  std::string serverId() const { return Server ? Server->Id.Text : ""; }
  /// Refuses new calls whose deadline is after `Until`, because this process
  /// ends soon. Their nodes place them on other servers.
  void drainUntil(Instant Until) { DrainDeadline = Until; }

private:
  friend class BackendConnection;

  /// A call that waits for a slot or runs.
  struct PendingCall {
    CallRequest Request;
    CallResultHandler Done;
    WaitingCall QueueEntry;
    BackendConnection *Connection = nullptr;
    Instant StartedAt;
    bool Abandoned = false; ///< Cancelled while running; `Done` is not called.
  };

  StartLimits startLimits() const {
    return {ColdStart.limiter(), Terms.limit()};
  }
  /// Replaces the part of `bufferedBytes` that one connection reported.
  /// Returns false if the sum exceeds its limit.
  bool updateBufferedBytes(std::size_t Previous, std::size_t Current);
  void refuse(CallResultHandler &&Done, std::string Cause);
  /// Returns why a call to this server must not be sent, by what is known of
  /// the server; empty if it may be.
  std::string serverRefusal(const std::string &ServerId) const;
  /// Refuses the calls that have not been sent and must not be any more. Called
  /// whenever what `serverRefusal` rests on has changed.
  void refuseUnsentCalls();
  /// Returns whether the server may have received a part of the call. Until its
  /// connection is established, nothing of it has left this node.
  bool wasSent(const PendingCall &Call) const;
  /// Refuses a call if nothing of it was sent.
  void refuseUnsent(CallNumber Number, std::string Cause);
  /// Refuses calls that were removed from the queue before they ran.
  void refuseDropped(const std::vector<WaitingCall> &Dropped,
                     const std::string &Cause);
  void dispatch(CallNumber Number);
  void dispatchWaiting();
  /// Returns an idle connection that has not refused the request; null if there
  /// is none.
  BackendConnection *takeIdleConnection(const std::string &RequestId);
  /// Returns an idle or a new connection for the request, null if none can be
  /// opened.
  BackendConnection *acquireConnection(const std::string &RequestId);
  void completeCall(CallNumber Number, CallResult &&Result);
  void onConnectionClosed(BackendConnection &Connection, bool WasConnected);
  /// Keeps a running call whose connection was lost as one that may have
  /// crashed the server, and has that checked.
  void recordLostCall(const PendingCall &Call);
  /// Connects to the server unless it has answered a call since `LostAt`.
  void probeServer(Instant LostAt);
  /// Takes a connection that was established without a call.
  void onProbeConnected(BackendConnection &Connection);
  /// Reports the requests of the calls that were lost since `Since` as running
  /// at a crash.
  void reportCrash(Instant Since);
  /// Reports a crash if calls were lost shortly before a new run of the server
  /// is known, and none was answered since.
  void reportCrashBeforeRestart();
  void onServerUnreachable();
  void sweep();

  EventLoop &Loop;
  const PlatformAdapter &Protocol;
  LogWriter &Log;
  std::string Address;
  std::function<void(const std::vector<std::uint64_t> &)> OnCrash;
  std::function<void(std::uint64_t)> OnCompletion; ///< Empty: not reported.
  ResponseLimits Limits;
  std::size_t BufferedBytes = 0;
  RoomQueue WaitingForRoom; ///< Connections whose answers wait for memory.
  std::optional<ServerEntry> Server;
  std::string RemovedServerId; ///< Last server whose entry was removed.
  std::uint32_t MaxConnections = 0;
  std::string RefusalCause; ///< Why all calls are refused; empty: they are not.
  std::optional<Instant> DrainDeadline; ///< Unset unless this node drains.
  DispatchQueue Queue;
  ColdStartState ColdStart;
  ServerPace Pace;
  ServerTerms Terms;
  FailureRate RecentFailures;
  BackendCounts Counts;
  RouteWork WorkByRoute;
  CallNumber LastCallNumber = 0;
  absl::flat_hash_map<CallNumber, PendingCall> Calls;
  std::map<BackendConnection *, std::shared_ptr<BackendConnection>> Connections;
  std::vector<BackendConnection *> IdleConnections;
  /// A running call whose connection was lost.
  struct LostCall {
    Instant LostAt;
    std::uint64_t Fingerprint;
  };
  std::deque<LostCall> LostCalls; ///< Oldest first, at most `MaxLostCalls`.
  Instant LastSweepAt;
  Instant LastFinishedAt;
  Instant LastAnswerAt; ///< End of the last call with a complete answer.
  /// False from a failed connection attempt until the next complete answer or a
  /// restart of the server.
  bool Reachable = true;
};

} // namespace pollenwick::agent

#endif
