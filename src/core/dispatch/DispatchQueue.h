#ifndef POLLENWICK_CORE_DISPATCH_DISPATCHQUEUE_H
#define POLLENWICK_CORE_DISPATCH_DISPATCHQUEUE_H

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "pollenwick/Time.h"

namespace pollenwick {

/// A call that waits for a slot of the backend server.
struct WaitingCall {
  std::uint64_t Id = 0;
  Instant Due;         ///< Order of dispatch: the earliest first.
  Instant Deadline;    ///< Pointless after this.
  Instant LatestStart; ///< Refused when its slot is expected later.
};

/// Queue in front of the slots of one backend server. The node beside the
/// server is its only way in, so the counts are exact.
struct DispatchQueue {
  std::uint32_t MaxRunning = 1; ///< Calls that may run at once.
  std::uint32_t Running = 0;
  /// Mean time that a call holds a slot; zero until the first has finished.
  Duration MeanServiceTime{};

  struct DueBefore {
    bool operator()(const WaitingCall &A, const WaitingCall &B) const {
      return A.Due != B.Due ? A.Due < B.Due : A.Id < B.Id;
    }
  };
  std::set<WaitingCall, DueBefore> Waiting;
};

/// What a call asks for.
struct CallRequirements {
  Instant ArrivedAt;
  Instant Deadline;
  Duration LatencyTarget{}; ///< Zero: none.
  int Rank = 0;             ///< 0 is the most important.
  bool Nested = false;      ///< Part of a request that has begun to run.
};

/// Calls that a server with `Slots` slots lets run at once. A small reserve is
/// kept: some servers slow down when nearly full.
std::uint32_t concurrencyLimit(std::uint32_t Slots);

/// The time by which a call should start. Nested calls come before new work
/// of the same age, important routes before others.
Instant dueTime(const CallRequirements &Requirements);

/// Expected time until a call that arrives now gets a slot.
Duration expectedWait(const DispatchQueue &Queue);

/// Until when a call may wait for its slot. New work that would start later is
/// refused at once, while its caller can still go elsewhere; work that has
/// begun may wait until its deadline.
Instant latestStart(const CallRequirements &Requirements);

enum class QueueDecision : std::uint8_t { Run, Wait, Refuse };

/// Decides on a new call and, unless it is refused, counts it. A call is
/// refused when its slot would come after its latest start.
QueueDecision offerCall(DispatchQueue &Queue, const WaitingCall &Call,
                        Instant Now);

/// The next call to run, if a slot is free.
std::optional<WaitingCall> dequeueCall(DispatchQueue &Queue);

/// Calls whose deadline has passed while they waited.
std::vector<WaitingCall> dropExpired(DispatchQueue &Queue, Instant Now);

/// Takes a waiting call out. Returns whether it was waiting.
bool cancelWaitingCall(DispatchQueue &Queue, const WaitingCall &Call);

/// Frees the slot of a call that held it for `ServiceTime`, however the call
/// ended.
void releaseSlot(DispatchQueue &Queue, Duration ServiceTime);

} // namespace pollenwick

#endif
