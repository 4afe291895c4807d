#ifndef POLLENWICK_CORE_STARTLIMITS_STARTLIMITS_H
#define POLLENWICK_CORE_STARTLIMITS_STARTLIMITS_H

#include <cstddef>
#include <optional>
#include <vector>

#include "core/coldstart/ColdStart.h"
#include "core/dispatch/DispatchQueue.h"
#include "core/serverlimit/RequestLimit.h"

namespace pollenwick {

/// The limit of a server that has named none.
inline const RequestLimit NoRequestLimit{};

/// Limits on the rate at which calls start on one backend server, beside that
/// on the number that run at once. Refers to the limits of its owner.
struct StartLimits {
  const ColdStartLimiter &Cold;
  const RequestLimit &Requests = NoRequestLimit;
};

/// Returns whether starts are limited now.
bool limitsStarts(const StartLimits &Limits, Instant Now);
/// Returns when a call may start that has `CallsAhead` others before it.
Instant startTime(const StartLimits &Limits, std::size_t CallsAhead,
                  Instant Now);
/// Returns the cause of a call that would start too late: the limit that holds
/// it up for longer.
const char *lateStartCause(const StartLimits &Limits, Instant Now);

/// Returns whether the call must be refused because the limits let it start
/// only after its latest start, or when its deadline has come.
bool startsTooLate(const StartLimits &Limits, const DispatchQueue &Queue,
                   const WaitingCall &Call, Instant Now);
/// Decides on a new call like the function without limits, but lets it wait for
/// its start while starts are limited.
QueueDecision offerCall(DispatchQueue &Queue, const StartLimits &Limits,
                        const WaitingCall &Call, Instant Now);
/// Removes the next call to run from the queue and takes a slot for it. Returns
/// nothing if no call waits, or none may start now.
std::optional<WaitingCall> dequeueCall(DispatchQueue &Queue,
                                       const StartLimits &Limits, Instant Now);
/// Removes and returns the waiting calls that would start after their latest
/// start: a limit came into force while they waited, or more important calls
/// arrived.
std::vector<WaitingCall> dropLateStarts(DispatchQueue &Queue,
                                        const StartLimits &Limits, Instant Now);

} // namespace pollenwick

#endif
