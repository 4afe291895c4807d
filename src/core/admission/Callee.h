#ifndef POLLENWICK_CORE_ADMISSION_CALLEE_H
#define POLLENWICK_CORE_ADMISSION_CALLEE_H

#include <cstdint>
#include <optional>
#include <vector>

#include "core/admission/CallQueue.h"
#include "core/admission/ConcurrencyLimit.h"
#include "core/admission/Ingress.h"
#include "core/admission/OfferedLoad.h"
#include "pollenwick/Outcome.h"

namespace pollenwick {

/// Parameters of the admission at a callee node.
struct CalleeTuning {
  ThresholdTuning Threshold;
  ConcurrencyLimitTuning Limit;
  /// Greatest queue length, as a multiple of the calls that may run at once.
  double MaxWaitingPerSlot = 2;
};

/// Admission state of a callee node for its backend server. The request path
/// owns it and protects it by one mutex.
struct CalleeState {
  CalleeTuning Tuning;
  ServiceIndex Service = 0;
  ConcurrencyLimit Limit;
  ThresholdState Threshold;
  CallQueue Queue;
  std::vector<std::uint32_t> Running; ///< Calls that hold a slot, by rank.
  std::uint32_t SlotsInUse = 0;
  std::vector<double> MeanOwnTimeUs; ///< Mean time without sub-calls by route,
                                     ///< us; 0 if unknown.
  /// Mean time that a call holds a slot, us; 0 if unknown.
  double MeanServiceTimeUs = 0;
  /// Summed service time of calls that ended in the window, us.
  double WindowServiceTimeUs = 0;
  std::uint32_t WindowServiceSamples = 0; ///< Calls that ended in the window.
  double MeanQueueDelayUs = 0; ///< Mean wait of the calls that got a slot, us.
  /// Calls that got a slot in the window.
  std::uint32_t WindowDelaySamples = 0;
  /// Summed time that slots were held in the window, us.
  double WindowSlotTimeUs = 0;
  Instant SlotTimeUpdatedAt{};
};

/// Creates the initial state for a backend server of `Service`.
CalleeState makeCallee(const BundleIndex &Index, ServiceIndex Service,
                       Instant Now, const CalleeTuning &Tuning = {});

/// Decision on a call that arrived.
enum class OfferDecision : std::uint8_t { Run, Queued, Refused };

/// Decision on a call that arrived, and its effect on the queue.
struct OfferResult {
  OfferDecision Decision = OfferDecision::Refused;
  RefusalReason Reason = RefusalReason::None;
  /// Waiting call that was removed to make room, if any. The caller must answer
  /// it with "not run: shed".
  std::optional<CallId> Evicted;
};

/// Decides on a call that arrived. `Run` takes a slot for it, `Queued` adds it
/// to the queue.
OfferResult offerCall(CalleeState &State, const BundleIndex &Index,
                      const OfferedCall &Call, Instant Now);

/// Result of taking the next call from the queue.
struct DequeueResult {
  std::optional<OfferedCall> Call; ///< Call to run, which holds a slot now.
  std::vector<CallId> Expired; ///< Removed calls to be answered with "not run:
                               ///< deadline exceeded".
};

/// Removes the next waiting call from the queue if a slot is free. Call this
/// repeatedly until `Call` is empty.
DequeueResult dequeueCall(CalleeState &State, Instant Now);

/// Measurements of a call that ended.
struct FinishedCall {
  RouteIndex Route = 0;
  std::uint32_t Rank = 0;
  Duration ServiceTime{}; ///< Time that the call held its slot.
  Duration OwnTime{};     ///< `ServiceTime` without the time of its sub-calls.
  /// False if cancelled or failed; not a latency sample then.
  bool Completed = true;
};

/// Frees the slot of a call that ended and updates the measured times.
void releaseSlot(CalleeState &State, const FinishedCall &Call, Instant Now);

/// Removes a waiting call whose root request is known to fail. Returns false if
/// the call is not waiting.
bool cancelWaitingCall(CalleeState &State, CallId Id);

/// Computes new admission levels if the measuring window is over. `offerCall`
/// calls this; the node also calls it periodically, so that levels relax when
/// no calls arrive.
void refreshThreshold(CalleeState &State, const BundleIndex &Index,
                      Instant Now);

/// Load of the server as replies report it to the caller's node.
struct CalleeReport {
  ThresholdReport Threshold;
  Duration QueueDelay{};
  std::uint32_t InFlight = 0; ///< Calls that hold a slot or wait.
};

/// Returns the current report for calls of `Customer`.
CalleeReport calleeReport(const CalleeState &State, CustomerIndex Customer,
                          Instant Now);

} // namespace pollenwick

#endif
