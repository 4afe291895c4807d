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
#include "node/Counters.h"
#include "node/CrashService.h"
#include "node/RunningCallService.h"
#include "node/ServiceRegistry.h"
#include "node/ViewService.h"
#include "node/WorkerPool.h"
#include "peer/PeerHandlers.h"

namespace pollenwick {

/// Runs calls on the local backend server: decides on admission, keeps the
/// queue, repeats the checks immediately before dispatch. Thread-safe.
class Callee {
public:
  Callee(const HostId &Self, std::size_t Workers, std::size_t QueueCapacity,
         const ServiceRegistry &Registry);

  void onBundle(const BundlePtr &New);

  /// Runs a call of this node in the calling thread; waits for a slot.
  CallReply run(const CallRequest &Call);

  /// Runs a call of another node; answers from a worker thread. Never blocks.
  void submit(CallRequest Call, CancelFlag Cancelled, ReplyCallback Answer);

  /// From now on every call is refused with "not run: draining".
  void beginDrain() { Draining = true; }
  bool isDraining() const { return Draining; }
  bool isIdle() const;

  /// Ends measuring windows and drops waiting calls that are overdue.
  void tick();
  void stop() { Workers.stop(); }
  void dump(Poco::JSON::Object &Out) const;

private:
  /// Called once per call: without a refusal a slot was taken.
  using SlotCallback = std::function<void(std::optional<CallReply> Refused)>;

  struct WaitingCall {
    RouteId Route;
    CustomerId Customer;
    ClassId Class; ///< Of the root request.
    SlotCallback Callback;
  };
  struct SlotDecisions {
    std::vector<SlotCallback> Run;
    std::vector<std::pair<SlotCallback, RefusalReason>> Refused;
  };

  void acquireSlot(const CallRequest &Call, CallId Id, SlotCallback Callback);
  void freeSlot(const CallRequest &Call, CallId Id, Duration ServiceTime,
                Duration OwnTime, bool Completed);
  void startWaitingCalls(SlotDecisions &Out);
  static void notifyDecisions(const SlotDecisions &Calls);

  /// Needs a slot; frees it.
  CallReply execute(const CallRequest &Call, CallId Id,
                    const std::atomic<bool> *Cancelled);
  std::optional<CallReply> checkBeforeDispatch(const CallRequest &Call,
                                               const ActiveBundle &Bundle);
  std::optional<CallReply> waitForStartPermission(const CallRequest &Call,
                                                  const Fingerprint &Subject);
  CallReply runOnServer(const CallRequest &Call, Duration &SubCallTime);
  LoadReport loadReport(const CallRequest &Call) const;
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
  BundlePtr Bundle; ///< The bundle whose indexes `State` uses.
  bool HasState = false;
  CalleeState State;
  std::unordered_map<CallId, WaitingCall> Waiting;
  /// Class of the root request of each call in a slot.
  std::unordered_map<CallId, ClassId> ClassByRunningCall;
};

} // namespace pollenwick

#endif
