#include "core/dispatch/DispatchQueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>

namespace pollenwick {
namespace {

/// Share of the slots that may be in use at once.
constexpr double UsableSlotShare = 0.94;
/// Share of its latency target that a call may wait for a slot.
constexpr double MaxWaitShareOfTarget = 0.5;
/// Latency target assumed for the due time of a call that has none.
constexpr Duration DefaultLatencyTarget = std::chrono::milliseconds(1000);
/// Time by which nested calls are due earlier, because their callers hold slots
/// while they wait.
constexpr Duration NestedCallAdvance = std::chrono::milliseconds(50);

/// Assumed while no call has finished of late. Without it any number of calls
/// would be expected to start at once.
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(50);

Duration meanServiceTime(const DispatchQueue &Queue) {
  return Queue.MeanServiceTime.count() > 0 ? Queue.MeanServiceTime
                                           : DefaultServiceTime;
}

Duration workOf(const DispatchQueue &Queue, const WaitingCall &Call) {
  return Call.Work.count() > 0 ? Call.Work : meanServiceTime(Queue);
}

/// Returns the time until a slot is free after the work of the waiting calls.
/// One more call of mean length stands for the rest of those that run.
Duration waitBehind(const DispatchQueue &Queue, Duration Work) {
  return (Work + meanServiceTime(Queue)) /
         static_cast<std::int64_t>(Queue.MaxRunning);
}

/// Returns the most important new request that waits.
auto firstNewRequest(const DispatchQueue &Queue) {
  WaitingCall BeforeNew;
  BeforeNew.Precedence = NestedPrecedence + 1;
  BeforeNew.Due = Instant::min();
  return Queue.Waiting.lower_bound(BeforeNew);
}

/// The work of the nested calls that wait, summed up in the order of their due
/// times.
class NestedWork {
public:
  explicit NestedWork(const DispatchQueue &Queue) {
    Duration Sum{};
    const auto End = firstNewRequest(Queue);
    for (auto Call = Queue.Waiting.begin(); Call != End; ++Call) {
      Sum += workOf(Queue, *Call);
      Sums.emplace_back(Call->Due, Sum);
    }
  }

  /// Returns the work of those that go before a new request due at `Due`.
  Duration before(Instant Due) const {
    const auto After = std::ranges::lower_bound(
        Sums, Due, {}, &std::pair<Instant, Duration>::first);
    return After == Sums.begin() ? Duration{} : std::prev(After)->second;
  }

private:
  std::vector<std::pair<Instant, Duration>> Sums;
};

/// Returns the next call to run; `Waiting` must not be empty.
auto nextCall(const DispatchQueue &Queue) {
  const auto First = Queue.Waiting.begin();
  const auto FirstNew = firstNewRequest(Queue);
  return FirstNew != Queue.Waiting.end() && goesBefore(*FirstNew, *First)
             ? FirstNew
             : First;
}

} // namespace

std::uint32_t concurrencyLimit(std::uint32_t Slots) {
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(std::floor(Slots * UsableSlotShare)));
}

int precedence(const CallRequirements &Requirements) {
  return Requirements.Nested ? NestedPrecedence
                             : NestedPrecedence + 1 + Requirements.Rank;
}

Instant dueTime(const CallRequirements &Requirements) {
  const Duration Target = Requirements.LatencyTarget.count() > 0
                              ? Requirements.LatencyTarget
                              : DefaultLatencyTarget;
  const Instant Due =
      Requirements.ArrivedAt +
      std::chrono::duration_cast<Duration>(Target * MaxWaitShareOfTarget);
  return Requirements.Nested ? Due - NestedCallAdvance : Due;
}

bool goesBefore(const WaitingCall &A, const WaitingCall &B) {
  const bool SameKind =
      (A.Precedence == NestedPrecedence) == (B.Precedence == NestedPrecedence);
  return SameKind ? DispatchQueue::PrecedenceOrder()(A, B) : A.Due < B.Due;
}

Instant latestStart(const CallRequirements &Requirements) {
  if (Requirements.Nested || Requirements.LatencyTarget.count() == 0)
    return Requirements.Deadline;
  return std::min(Requirements.Deadline,
                  Requirements.ArrivedAt +
                      std::chrono::duration_cast<Duration>(
                          Requirements.LatencyTarget * MaxWaitShareOfTarget));
}

Duration expectedWait(const DispatchQueue &Queue, const WaitingCall &Call) {
  if (Queue.Running < Queue.MaxRunning && Queue.Waiting.empty())
    return Duration{};
  return waitBehind(
      Queue,
      std::accumulate(Queue.Waiting.begin(), Queue.Waiting.end(), Duration{},
                      [&](Duration Sum, const WaitingCall &Other) {
                        return goesBefore(Other, Call)
                                   ? Sum + workOf(Queue, Other)
                                   : Sum;
                      }));
}

QueueDecision offerCall(DispatchQueue &Queue, const WaitingCall &Call,
                        Instant Now) {
  if (Call.Deadline <= Now)
    return QueueDecision::Refuse;
  if (Queue.Running < Queue.MaxRunning && Queue.Waiting.empty()) {
    ++Queue.Running;
    return QueueDecision::Run;
  }
  if (Now + expectedWait(Queue, Call) >= Call.LatestStart)
    return QueueDecision::Refuse;
  Queue.Waiting.insert(Call);
  return QueueDecision::Wait;
}

std::vector<WaitingCall> displaceCalls(DispatchQueue &Queue,
                                       const WaitingCall &Call, Instant Now) {
  const NestedWork Nested(Queue);
  Duration NewWork{}; // Of the new requests so far that stay.
  std::vector<WaitingCall> Displaced;
  for (auto Other = firstNewRequest(Queue); Other != Queue.Waiting.end();) {
    const Duration Wait =
        waitBehind(Queue, NewWork + Nested.before(Other->Due));
    if (Other->Precedence <= Call.Precedence || !goesBefore(Call, *Other) ||
        Now + Wait < Other->LatestStart) {
      NewWork += workOf(Queue, *Other);
      ++Other;
      continue;
    }
    Displaced.push_back(*Other);
    Other = Queue.Waiting.erase(Other);
  }
  return Displaced;
}

std::optional<WaitingCall> dequeueCall(DispatchQueue &Queue) {
  if (Queue.Running >= Queue.MaxRunning || Queue.Waiting.empty())
    return std::nullopt;
  const auto First = nextCall(Queue);
  const WaitingCall Next = *First;
  Queue.Waiting.erase(First);
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
