#include "core/admission/Callee.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace pollenwick {

namespace {

/// Weight of a window in the mean service time, which determines the capacity
/// estimate: its number of calls / `FullWeightSamples`, but at least the
/// minimum weight. Single calls must not dominate the mean, but a slow server
/// that finishes few calls must still be noticed.
constexpr double FullWeightSamples = 200;
constexpr double MinServiceTimeWeight = 0.05;

/// Weights of one sample in the moving averages.
constexpr double OwnTimeWeight = 0.05;
constexpr double QueueDelayWeight = 0.05;

/// Length at which the queue refuses the best class too while other classes use
/// the server, as a multiple of the usual bound. It only limits memory.
constexpr std::size_t ProtectedQueueFactor = 16;

constexpr std::size_t MinQueueLength = 4;

std::size_t maxQueueLength(const CalleeState &State) {
  const double Bound =
      State.Tuning.MaxWaitingPerSlot * currentLimit(State.Limit);
  return std::max(MinQueueLength, static_cast<std::size_t>(Bound));
}

void updateMeanServiceTime(CalleeState &State) {
  if (State.WindowServiceSamples == 0)
    return;
  const double Mean = State.WindowServiceTimeUs / State.WindowServiceSamples;
  const double Weight =
      std::clamp(State.WindowServiceSamples / FullWeightSamples,
                 MinServiceTimeWeight, 1.0);
  State.MeanServiceTimeUs += (State.MeanServiceTimeUs > 0 ? Weight : 1) *
                             (Mean - State.MeanServiceTimeUs);
  State.WindowServiceTimeUs = 0;
  State.WindowServiceSamples = 0;
}

bool lowerClassesRunning(const CalleeState &State) {
  return std::any_of(State.Running.begin() + 1, State.Running.end(),
                     [](std::uint32_t Count) { return Count > 0; });
}

bool lowerClassesActive(const CalleeState &State) {
  const OfferedCall *ShedCandidate = nextToShed(State.Queue);
  return lowerClassesRunning(State) ||
         (ShedCandidate && ShedCandidate->Rank > 0);
}

void addSlotTime(CalleeState &State, Instant Now) {
  State.WindowSlotTimeUs +=
      State.SlotsInUse *
      static_cast<double>((Now - State.SlotTimeUpdatedAt).count());
  State.SlotTimeUpdatedAt = Now;
}

void takeSlot(CalleeState &State, const OfferedCall &Call, Instant Now) {
  addSlotTime(State, Now);
  ++State.SlotsInUse;
  ++State.Running[Call.Rank];
  const auto Wait = static_cast<double>((Now - Call.ArrivedAt).count());
  State.MeanQueueDelayUs += QueueDelayWeight * (Wait - State.MeanQueueDelayUs);
  ++State.WindowDelaySamples;
}

bool meetsDeadline(const CalleeState &State, const OfferedCall &Call,
                   Instant Now) {
  const Duration Needed{
      static_cast<std::int64_t>(State.MeanOwnTimeUs[Call.Route])};
  return Now + Needed < Call.Deadline;
}

OfferResult refuse(RefusalReason Reason) {
  return {OfferDecision::Refused, Reason, std::nullopt};
}

/// Decides on a call when the queue is full. The call that comes last in the
/// shedding order is refused or evicted, except that the best class is queued
/// beyond the bound while other classes use the server.
OfferResult offerToFullQueue(CalleeState &State, const OfferedCall &Call) {
  const OfferedCall *ShedCandidate = nextToShed(State.Queue);
  if (ShedCandidate && ShedAfter()(Call, *ShedCandidate)) {
    const CallId Evicted = ShedCandidate->Id;
    if (Call.Rank > 0 || ShedCandidate->Rank > 0 ||
        !lowerClassesRunning(State)) {
      removeCall(State.Queue, Evicted);
      pushCall(State.Queue, Call);
      return {OfferDecision::Queued, RefusalReason::None, Evicted};
    }
  }
  const bool IsProtected = Call.Rank == 0 && lowerClassesActive(State);
  if (IsProtected &&
      State.Queue.ById.size() < maxQueueLength(State) * ProtectedQueueFactor) {
    pushCall(State.Queue, Call);
    return {OfferDecision::Queued, RefusalReason::None, std::nullopt};
  }
  return refuse(RefusalReason::QueueFull);
}

/// Returns whether a root call that the ingress admitted under an older level
/// must be shed under the current one. The best class is exempt while other
/// classes use the server.
bool isAboveLevel(const CalleeState &State, const OfferedCall &Call) {
  const double Target =
      State.Tuning.Threshold.TargetWaitingPerSlot * currentLimit(State.Limit);
  if (Call.Nested || static_cast<double>(State.Queue.ById.size()) <= Target)
    return false;
  if (Call.Rank == 0 && lowerClassesActive(State))
    return false;
  const AdmissionLevel Allowed =
      std::min(State.Threshold.CustomerLevels[Call.Customer],
               State.Threshold.CommonLevel);
  return sheddingPosition(Call.Rank, Call.Hash) >= Allowed;
}

} // namespace

CalleeState makeCallee(const BundleIndex &Index, ServiceIndex Service,
                       Instant Now, const CalleeTuning &Tuning) {
  CalleeState State;
  State.Tuning = Tuning;
  State.Service = Service;
  State.Limit = makeConcurrencyLimit(Index.Slots[Service], Index.Routes.size(),
                                     Now, Tuning.Limit);
  State.Threshold = makeThresholdState(Index, Now, Tuning.Threshold);
  State.Running.resize(Index.RankCount);
  State.MeanOwnTimeUs.resize(Index.Routes.size());
  State.SlotTimeUpdatedAt = Now;
  return State;
}

OfferResult offerCall(CalleeState &State, const BundleIndex &Index,
                      const OfferedCall &Call, Instant Now) {
  assert(Call.Rank < State.Running.size());
  refreshThreshold(State, Index, Now);
  recordOfferedCall(State.Threshold, Call.Rank, Call.Customer);
  if (!meetsDeadline(State, Call, Now))
    return refuse(RefusalReason::DeadlineExceeded);
  if (isAboveLevel(State, Call))
    return refuse(RefusalReason::Shed);
  if (State.SlotsInUse < currentLimit(State.Limit) &&
      State.Queue.ById.empty()) {
    takeSlot(State, Call, Now);
    return {OfferDecision::Run, RefusalReason::None, std::nullopt};
  }
  if (State.Queue.ById.size() >= maxQueueLength(State))
    return offerToFullQueue(State, Call);
  pushCall(State.Queue, Call);
  return {OfferDecision::Queued, RefusalReason::None, std::nullopt};
}

DequeueResult dequeueCall(CalleeState &State, Instant Now) {
  DequeueResult Result;
  while (State.SlotsInUse < currentLimit(State.Limit)) {
    std::optional<OfferedCall> Next = popNext(State.Queue);
    if (!Next)
      break;
    if (!meetsDeadline(State, *Next, Now)) {
      Result.Expired.push_back(Next->Id);
      continue;
    }
    takeSlot(State, *Next, Now);
    Result.Call = Next;
    break;
  }
  return Result;
}

void releaseSlot(CalleeState &State, const FinishedCall &Call, Instant Now) {
  assert(State.SlotsInUse > 0 && State.Running[Call.Rank] > 0);
  const bool Saturated = State.SlotsInUse >= currentLimit(State.Limit);
  addSlotTime(State, Now);
  --State.SlotsInUse;
  --State.Running[Call.Rank];
  State.WindowServiceTimeUs += static_cast<double>(Call.ServiceTime.count());
  ++State.WindowServiceSamples;
  if (!Call.Completed)
    return;
  double &MeanOwnTime = State.MeanOwnTimeUs[Call.Route];
  const auto Sample = static_cast<double>(Call.OwnTime.count());
  MeanOwnTime = MeanOwnTime == 0
                    ? Sample
                    : MeanOwnTime + OwnTimeWeight * (Sample - MeanOwnTime);
  recordOwnTime(State.Limit, Call.Route, Call.OwnTime, Saturated, Now);
}

bool cancelWaitingCall(CalleeState &State, CallId Id) {
  return removeCall(State.Queue, Id);
}

void refreshThreshold(CalleeState &State, const BundleIndex &Index,
                      Instant Now) {
  if (!isThresholdUpdateDue(State.Threshold, Now))
    return;
  addSlotTime(State, Now);
  const auto Window =
      static_cast<double>((Now - State.Threshold.ComputedAt).count());
  if (State.WindowDelaySamples == 0) {
    // No call got a slot in this window. The delay grows by the window if calls
    // wait; otherwise it is zero.
    if (State.Queue.ById.empty())
      State.MeanQueueDelayUs = 0;
    else
      State.MeanQueueDelayUs += Window;
  }
  updateMeanServiceTime(State);
  WindowMeasurement Measure;
  Measure.Limit = currentLimit(State.Limit);
  if (State.MeanServiceTimeUs > 0)
    Measure.CapacityPerSecond = Measure.Limit / State.MeanServiceTimeUs * 1e6;
  const double FreeSlots = Measure.Limit - State.WindowSlotTimeUs / Window;
  Measure.Backlog = static_cast<double>(State.Queue.ById.size()) - FreeSlots;
  Measure.LowerClassesActive = lowerClassesActive(State);
  updateThreshold(State.Threshold, Index, Measure, Now);
  State.WindowSlotTimeUs = 0;
  State.WindowDelaySamples = 0;
}

CalleeReport calleeReport(const CalleeState &State, CustomerIndex Customer,
                          Instant Now) {
  CalleeReport Report;
  Report.Threshold.Service = State.Service;
  Report.Threshold.CustomerLevel = State.Threshold.CustomerLevels[Customer];
  Report.Threshold.CommonLevel = State.Threshold.CommonLevel;
  Report.Threshold.Age = Now - State.Threshold.ComputedAt;
  Report.QueueDelay =
      Duration{static_cast<std::int64_t>(State.MeanQueueDelayUs)};
  Report.InFlight =
      State.SlotsInUse + static_cast<std::uint32_t>(State.Queue.ById.size());
  return Report;
}

} // namespace pollenwick
