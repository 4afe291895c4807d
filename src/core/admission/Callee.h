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

struct CalleeTuning {
  ThresholdTuning Threshold;
  ConcurrencyLimitTuning Limit;
  /// Waiting calls per allowed running call.
  double MaxWaitingPerSlot = 2;
};

/// Admission state of the callee node beside one backend server. Owner: the
/// request path, under one mutex.
struct CalleeState {
  CalleeTuning Tuning;
  ServiceIndex Service = 0;
  ConcurrencyLimit Limit;
  ThresholdState Threshold;
  CallQueue Queue;
  std::vector<std::uint32_t> Running; ///< Calls in slots, by rank.
  std::uint32_t SlotsInUse = 0;
  std::vector<double> MeanOwnTimeUs; ///< Mean own time by route, us.
  double MeanServiceTimeUs = 0;      ///< Mean time a slot is held, us.
  double WindowServiceTimeUs = 0;    ///< Of calls that ended in the window, us.
  std::uint32_t WindowServiceSamples = 0; ///< Calls that ended in the window.
  double MeanQueueDelayUs = 0; ///< Mean wait of calls that got a slot, us.
  std::uint32_t WindowDelaySamples = 0; ///< In the window.
  double WindowSlotTimeUs = 0; ///< Slot-microseconds used in the window.
  Instant SlotTimeUpdatedAt{};
};

CalleeState makeCallee(const BundleIndex &Index, ServiceIndex Service,
                       Instant Now, const CalleeTuning &Tuning = {});

enum class OfferDecision : std::uint8_t { Run, Queued, Refused };

struct OfferResult {
  OfferDecision Decision = OfferDecision::Refused;
  RefusalReason Reason = RefusalReason::None;
  /// Waiting call that made room. Its answer is "not run: shed".
  std::optional<CallId> Evicted;
};

/// Decides on a call that arrived. `Run` takes a slot.
OfferResult offerCall(CalleeState &State, const BundleIndex &Index,
                      const OfferedCall &Call, Instant Now);

struct DequeueResult {
  std::optional<OfferedCall> Call; ///< Has taken a slot.
  std::vector<CallId> Expired;     ///< Answer "not run: deadline exceeded".
};

/// Next waiting call, if a slot is free. Ask again until `Call` is empty.
DequeueResult dequeueCall(CalleeState &State, Instant Now);

struct FinishedCall {
  RouteIndex Route = 0;
  std::uint32_t Rank = 0;
  Duration ServiceTime{}; ///< Time the slot was held.
  Duration OwnTime{};     ///< `ServiceTime` without the time of its sub-calls.
  bool Completed = true;  ///< False: cancelled or failed; not a latency sample.
};

/// Frees the slot of a call that ended.
void releaseSlot(CalleeState &State, const FinishedCall &Call, Instant Now);

/// Removes a waiting call whose root is known to fail. False if not waiting.
bool cancelWaitingCall(CalleeState &State, CallId Id);

/// Ends the measuring window if it is over. Called by `offerCall`; the shell
/// also calls it on its tick, so that an idle node relaxes.
void refreshThreshold(CalleeState &State, const BundleIndex &Index,
                      Instant Now);

/// Part of a reply that tells the caller's node about this server.
struct CalleeReport {
  ThresholdReport Threshold;
  Duration QueueDelay{};
  std::uint32_t InFlight = 0; ///< In slots and waiting.
};

CalleeReport calleeReport(const CalleeState &State, CustomerIndex Customer,
                          Instant Now);

} // namespace pollenwick

#endif
