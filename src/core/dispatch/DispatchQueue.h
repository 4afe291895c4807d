#ifndef POLLENWICK_CORE_DISPATCH_DISPATCHQUEUE_H
#define POLLENWICK_CORE_DISPATCH_DISPATCHQUEUE_H

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Call that waits for a slot of the backend server.
struct WaitingCall {
  std::uint64_t Id = 0;
  Instant Due;      ///< Order among nested calls, and among new requests of one
                    ///< rank: the earliest first.
  Instant Deadline; ///< Time after which the caller has no use for the answer.
  Instant LatestStart; ///< The call is refused if its slot is expected at this
                       ///< time or later.
  int Precedence = 0;  ///< See `precedence`.
  Duration Work = {};  ///< Expected slot time; zero if not known.
};

/// Weight of one call in the moving average of the service time.
inline constexpr double ServiceTimeWeight = 0.05;

/// Precedence of nested calls. That of new requests is greater.
inline constexpr int NestedPrecedence = 0;

/// Queue of the calls that wait for a slot of one backend server. The counts
/// are exact because all calls to the server go through its node.
struct DispatchQueue {
  std::uint32_t MaxRunning = 1; ///< Calls that may run at once.
  std::uint32_t Running = 0;    ///< Calls that hold a slot.
  /// Mean time that a call holds a slot; zero until the first has finished.
  Duration MeanServiceTime{};

  /// Keeps nested calls apart from new requests. It is not the order in which
  /// they run: `goesBefore` is.
  struct PrecedenceOrder {
    bool operator()(const WaitingCall &A, const WaitingCall &B) const {
      return std::tie(A.Precedence, A.Due, A.Id) <
             std::tie(B.Precedence, B.Due, B.Id);
    }
  };
  /// The nested calls, then the new requests.
  std::set<WaitingCall, PrecedenceOrder> Waiting;
};

/// Properties of a call that determine when it should start.
struct CallRequirements {
  Instant ArrivedAt;
  Instant Deadline;
  Duration LatencyTarget{}; ///< Zero if the call has no target.
  int Rank = 0;             ///< 0 is the most important.
  bool Nested = false;      ///< Made by a request that is already running.
};

/// Returns the number of calls that may run at once on a server with `Slots`
/// slots, at least 1. A small part of the slots stays free because some servers
/// slow down when they are nearly full.
std::uint32_t concurrencyLimit(std::uint32_t Slots);

/// Returns the precedence of a call by the cost of losing it; a smaller value
/// is more important. Nested calls have the smallest, because the work of their
/// callers is lost with them. New requests follow by rank. The order in which
/// calls run also depends on due times, see `goesBefore`.
int precedence(const CallRequirements &Requirements);

/// Returns the time by which a call should start. Nested calls are due before
/// new requests of the same age.
Instant dueTime(const CallRequirements &Requirements);

/// Returns whether `A` is given a slot before `B`. New requests are ordered by
/// rank first. The due times of nested calls and new requests are compared, so
/// that a steady flow of nested calls does not hold up new requests without
/// end.
bool goesBefore(const WaitingCall &A, const WaitingCall &B);

/// Returns the expected time until a call gets a slot, after the waiting calls
/// that go before it.
Duration expectedWait(const DispatchQueue &Queue, const WaitingCall &Call);

/// Returns the time until which a call may wait for its slot. A new request
/// that would start later is refused at once, while its caller can still try
/// another server; a nested call may wait until its deadline.
Instant latestStart(const CallRequirements &Requirements);

/// Decision on a call offered to the queue.
enum class QueueDecision : std::uint8_t { Run, Wait, Refuse };

/// Decides on a new call. `Run` takes a slot, `Wait` adds the call to the
/// queue. A call is refused if its deadline has passed or if its slot is not
/// expected before its latest start.
QueueDecision offerCall(DispatchQueue &Queue, const WaitingCall &Call,
                        Instant Now);

/// Removes and returns the new requests that would start too late because
/// `Call`, of a higher precedence, waits before them. They have not run, so
/// other servers may take them.
std::vector<WaitingCall> displaceCalls(DispatchQueue &Queue,
                                       const WaitingCall &Call, Instant Now);

/// Removes the next call to run from the queue and takes a slot for it. Returns
/// nothing if no slot is free or no call waits.
std::optional<WaitingCall> dequeueCall(DispatchQueue &Queue);

/// Removes and returns the waiting calls whose deadline has passed.
std::vector<WaitingCall> dropExpired(DispatchQueue &Queue, Instant Now);

/// Removes a waiting call, which is identified by precedence, due time and id.
/// Returns whether it was waiting.
bool cancelWaitingCall(DispatchQueue &Queue, const WaitingCall &Call);

/// Frees the slot of a call that held it for `ServiceTime`, and updates the
/// mean service time. Failed calls count as well.
void releaseSlot(DispatchQueue &Queue, Duration ServiceTime);

} // namespace pollenwick

#endif
