#include "core/dispatch/DispatchQueue.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// Share of the slots that may be in use at once.
constexpr double UsableSlotShare = 0.94;
/// Share of its latency target that a call may wait for a slot.
constexpr double MaxWaitShareOfTarget = 0.5;
/// Latency target assumed for the due time of a call that has none.
constexpr Duration DefaultLatencyTarget = std::chrono::milliseconds(1000);
/// Delay of the due time for each rank below the most important one.
constexpr Duration DelayPerRank = std::chrono::milliseconds(20);
/// Time by which nested calls are due earlier, because their callers hold slots
/// while they wait.
constexpr Duration NestedCallAdvance = std::chrono::milliseconds(50);

} // namespace

std::uint32_t concurrencyLimit(std::uint32_t Slots) {
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(std::floor(Slots * UsableSlotShare)));
}

Instant dueTime(const CallRequirements &Requirements) {
  const Duration Target = Requirements.LatencyTarget.count() > 0
                              ? Requirements.LatencyTarget
                              : DefaultLatencyTarget;
  Instant Due = Requirements.ArrivedAt + std::chrono::duration_cast<Duration>(
                                             Target * MaxWaitShareOfTarget);
  Due += DelayPerRank * Requirements.Rank;
  return Requirements.Nested ? Due - NestedCallAdvance : Due;
}

Instant latestStart(const CallRequirements &Requirements) {
  if (Requirements.Nested || Requirements.LatencyTarget.count() == 0)
    return Requirements.Deadline;
  return std::min(Requirements.Deadline,
                  Requirements.ArrivedAt +
                      std::chrono::duration_cast<Duration>(
                          Requirements.LatencyTarget * MaxWaitShareOfTarget));
}

Duration expectedWait(const DispatchQueue &Queue) {
  if (Queue.Running < Queue.MaxRunning && Queue.Waiting.empty())
    return Duration{};
  return Queue.MeanServiceTime *
         static_cast<std::int64_t>(Queue.Waiting.size() + 1) /
         static_cast<std::int64_t>(Queue.MaxRunning);
}

QueueDecision offerCall(DispatchQueue &Queue, const WaitingCall &Call,
                        Instant Now) {
  if (Call.Deadline <= Now)
    return QueueDecision::Refuse;
  if (Queue.Running < Queue.MaxRunning && Queue.Waiting.empty()) {
    ++Queue.Running;
    return QueueDecision::Run;
  }
  if (Now + expectedWait(Queue) >= Call.LatestStart)
    return QueueDecision::Refuse;
  Queue.Waiting.insert(Call);
  return QueueDecision::Wait;
}

std::optional<WaitingCall> dequeueCall(DispatchQueue &Queue) {
  if (Queue.Running >= Queue.MaxRunning || Queue.Waiting.empty())
    return std::nullopt;
  const WaitingCall Next = *Queue.Waiting.begin();
  Queue.Waiting.erase(Queue.Waiting.begin());
  ++Queue.Running;
  return Next;
}

std::vector<WaitingCall> dropExpired(DispatchQueue &Queue, Instant Now) {
  std::vector<WaitingCall> Expired;
  std::ranges::copy_if(
      Queue.Waiting, std::back_inserter(Expired),
      [Now](const WaitingCall &Call) { return Call.Deadline <= Now; });
  for (const WaitingCall &Call : Expired)
    Queue.Waiting.erase(Call);
  return Expired;
}

bool cancelWaitingCall(DispatchQueue &Queue, const WaitingCall &Call) {
  return Queue.Waiting.erase(Call) > 0;
}

void releaseSlot(DispatchQueue &Queue, Duration ServiceTime) {
  if (Queue.Running > 0)
    --Queue.Running;
  if (Queue.MeanServiceTime.count() == 0) {
    Queue.MeanServiceTime = ServiceTime;
    return;
  }
  Queue.MeanServiceTime += std::chrono::duration_cast<Duration>(
      (ServiceTime - Queue.MeanServiceTime) * ServiceTimeWeight);
}

} // namespace pollenwick
