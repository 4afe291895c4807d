#ifndef POLLENWICK_AGENT_BACKEND_H
#define POLLENWICK_AGENT_BACKEND_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "agent/Call.h"
#include "agent/Dialect.h"
#include "agent/EventLoop.h"
#include "agent/Log.h"
#include "core/dispatch/DispatchQueue.h"
#include "core/placement/FailureShare.h"

namespace pollenwick::agent {

class BackendConnection;

/// Totals since the start of the process.
struct BackendCounts {
  std::uint64_t CallsStarted = 0; ///< Calls that were given a slot.
  std::uint64_t ConnectionsOpened = 0;
  std::uint64_t OfferedSlotMicros =
      0; ///< Slot time that the offered calls need.
  std::uint64_t AvailableSlotMicros = 0; ///< Slot time that was there.
};

/// The way to the backend server beside this node: queue, slots, connections.
class Backend {
public:
  /// `OnCrash` receives the fingerprints of calls that ran when the server
  /// crashed.
  Backend(EventLoop &Loop, const Dialect &Protocol, LogWriter &Log,
          std::string Address,
          std::function<void(const std::vector<std::uint64_t> &)> OnCrash);
  ~Backend();

  using CallNumber = std::uint64_t;

  /// Runs a call when a slot is free. `Done` is called once, never during
  /// `submit`, unless the call is cancelled.
  CallNumber submit(CallRequest &&Request, CallResultHandler Done);
  /// The caller no longer waits. A call that may not be repeated and has begun
  /// runs to its end.
  void cancel(CallNumber Number);

  /// What the server says of itself; null when it is not registered.
  void setServer(const ServerEntry *Entry, std::uint32_t MaxConnections);

  ServerLoad load() const;
  const BackendCounts &counts() const { return Counts; }
  std::size_t pendingCount() const { return Calls.size(); }
  std::string serverId() const { return Server ? Server->Id.Text : ""; }
  /// From now on only calls run that end by `Until` at the latest: others are
  /// placed elsewhere, and this process ends soon.
  void drainUntil(Instant Until) { DrainDeadline = Until; }

private:
  friend class BackendConnection;

  struct PendingCall {
    CallRequest Request;
    CallResultHandler Done;
    WaitingCall QueueEntry;
    BackendConnection *Connection = nullptr;
    Instant StartedAt;
    bool Abandoned = false;
  };

  void refuse(CallResultHandler &&Done, std::string Cause);
  void dispatch(CallNumber Number);
  void dispatchWaiting();
  BackendConnection *acquireConnection();
  void completeCall(CallNumber Number, CallResult &&Result);
  void onConnectionClosed(BackendConnection &Connection, bool WasConnected);
  void recordLostCall(const PendingCall &Call);
  void onServerUnreachable();
  void sweep();

  EventLoop &Loop;
  const Dialect &Protocol;
  LogWriter &Log;
  std::string Address;
  std::function<void(const std::vector<std::uint64_t> &)> OnCrash;
  std::optional<ServerEntry> Server;
  std::uint32_t MaxConnections = 0;
  std::optional<Instant> DrainDeadline; ///< Set while this node leaves.
  DispatchQueue Queue;
  FailureShare RecentFailures;
  BackendCounts Counts;
  CallNumber LastCallNumber = 0;
  absl::flat_hash_map<CallNumber, PendingCall> Calls;
  std::map<BackendConnection *, std::shared_ptr<BackendConnection>> Connections;
  std::vector<BackendConnection *> IdleConnections;
  struct LostCall {
    Instant LostAt;
    std::uint64_t Fingerprint;
  };
  std::vector<LostCall> LostCalls;
  Instant LastSweepAt;
  Instant LastFinishedAt;
  bool Reachable = true;
};

} // namespace pollenwick::agent

#endif
