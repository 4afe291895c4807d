#ifndef POLLENWICK_NODE_CALLEE_H
#define POLLENWICK_NODE_CALLEE_H

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "core/admission/Callee.h"
#include "node/AdmissionService.h"
#include "node/BackendClient.h"
#include "node/ComponentRegistry.h"
#include "node/Counters.h"
#include "node/CrashService.h"
#include "node/RunningCallService.h"
#include "node/ViewService.h"
#include "node/WorkerPool.h"
#include "peer/PeerHandlers.h"

namespace pollenwick {

/// Runs calls on the local backend server. Decides on admission, queues calls
/// until a concurrency slot is free, and repeats the authorization and deadline
/// checks immediately before dispatch. Thread-safe.
class Callee {
public:
  Callee(const HostId &Self, std::size_t Workers, std::size_t QueueCapacity,
         const ComponentRegistry &Registry);

  /// Moves the queue to the indexes of the new bundle. Waiting calls whose
  /// route is gone are refused.
  void onBundle(const BundlePtr &New);

  /// Runs a call from this node in the calling thread. Blocks until a slot is
  /// free and the call has finished, or the call is refused.
  CallReply run(const CallRequest &Call);

  /// Runs a call from another node without blocking. `Answer` is called from a
  /// worker thread, or from the thread that refuses the call. A call whose
  /// `Cancelled` flag is set before it starts is not run.
  void submit(CallRequest Call, CancelFlag Cancelled, ReplyCallback Answer);

  /// Refuses all further calls with outcome "not run" and reason "draining".
  void beginDrain() { Draining = true; }
  bool isDraining() const { return Draining; }
  /// Returns whether no call is running or waiting.
  bool isIdle() const;

  /// Updates the admission threshold when a measurement window has ended,
  /// refuses waiting calls that can no longer meet their deadline, and starts
  /// others while a slot is free. Called periodically.
  void tick();
  void stop() { Workers.stop(); }
  void dump(Poco::JSON::Object &Out) const;

private:
  /// Called exactly once per call. `Refused` is unset if the call holds a slot
  /// and may run.
  using SlotCallback = std::function<void(std::optional<CallReply> Refused)>;

  /// A queued call, by names, which stay valid when a new bundle changes the
  /// indexes.
  struct WaitingCall {
    RouteId Route;
    CustomerId Customer;
    ClassId Class; ///< Priority class of the root request.
    SlotCallback Callback;
  };
  /// Callbacks to run once `Mutex` is released.
  struct SlotDecisions {
    std::vector<SlotCallback> Run;
    std::vector<std::pair<SlotCallback, RefusalReason>> Refused;
  };

  /// Offers a call to the admission control and calls `Callback` when it is
  /// refused or holds a slot.
  void acquireSlot(const CallRequest &Call, CallId Id, SlotCallback Callback);
  /// Frees the slot of a call, records its service time and starts waiting
  /// calls. `OwnTime` is `ServiceTime` without the time in sub-calls.
  void freeSlot(const CallRequest &Call, CallId Id, Duration ServiceTime,
                Duration OwnTime, bool Completed);
  /// Takes calls from the queue while a slot is free and adds their callbacks
  /// to `Out`. `Mutex` must be held.
  void startWaitingCalls(SlotDecisions &Out);
  /// Runs the callbacks. `Mutex` must not be held, because a callback may free
  /// its slot again.
  static void notifyDecisions(const SlotDecisions &Calls);

  /// Runs a call that holds a slot, then frees the slot.
  CallReply execute(const CallRequest &Call, CallId Id,
                    const std::atomic<bool> *Cancelled);
  /// Checks route, deadline, view lease and API key again. Returns the refusal,
  /// or nothing if the call may run.
  std::optional<CallReply> checkBeforeDispatch(const CallRequest &Call,
                                               const ActiveBundle &Bundle);
  /// Waits until the quarantine lets the call start. Only a suspect request
  /// waits, until the server is idle. Returns the refusal, or nothing if the
  /// call may start and is counted as in flight.
  std::optional<CallReply> waitForStartPermission(const CallRequest &Call,
                                                  const Fingerprint &Subject);
  /// Runs the call on the backend server. `SubCallTime` receives the time that
  /// the call spent in sub-calls.
  CallReply runOnServer(const CallRequest &Call, Duration &SubCallTime);
  LoadReport loadReport(const CallRequest &Call) const;
  /// Adds the load report of this node and the levels of downstream services to
  /// a reply.
  CallReply withLoad(CallReply Reply, const CallRequest &Call) const;
  CallId nextId() { return CallId(++LastCallId); }

  const HostId Self;
  Counters &NodeCounters;
  ViewService &View;
  BundleStore &Bundles;
  AdmissionService &Admission;
  RunningCallService &Running;
  CrashService &Crashes;
  BackendClient &Backend;
  WorkerPool Workers;
  std::atomic<bool> Draining = false;
  std::atomic<std::uint64_t> LastCallId = 0;

  mutable std::mutex Mutex;
  BundlePtr Bundle;      ///< Bundle that defines the indexes in `State`.
  bool HasState = false; ///< False unless `Bundle` gives this host a service.
  CalleeState State;
  std::unordered_map<CallId, WaitingCall> Waiting;
  /// Priority class of the root request of each call that holds a slot.
  std::unordered_map<CallId, ClassId> ClassByRunningCall;
};

} // namespace pollenwick

#endif
