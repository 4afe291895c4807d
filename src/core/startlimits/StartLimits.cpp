#include "core/startlimits/StartLimits.h"

#include <algorithm>
#include <iterator>

namespace pollenwick {

bool limitsStarts(const StartLimits &Limits, Instant Now) {
  return isCold(Limits.Cold, Now) || isInForce(Limits.Requests);
}

Instant startTime(const StartLimits &Limits, std::size_t CallsAhead,
                  Instant Now) {
  return std::max(startTime(Limits.Cold, CallsAhead, Now),
                  requestTime(Limits.Requests, CallsAhead, Now));
}

const char *lateStartCause(const StartLimits &Limits, Instant Now) {
  return startTime(Limits.Cold, 0, Now) >= requestTime(Limits.Requests, 0, Now)
             ? ServerColdCause
             : ServerLimitCause;
}

bool startsTooLate(const StartLimits &Limits, const DispatchQueue &Queue,
                   const WaitingCall &Call, Instant Now) {
  if (!limitsStarts(Limits, Now))
    return false;
  const auto CallsAhead =
      std::distance(Queue.Waiting.begin(), Queue.Waiting.lower_bound(Call));
  const Instant Start =
      startTime(Limits, static_cast<std::size_t>(CallsAhead), Now);
  return Start > Call.LatestStart || Start >= Call.Deadline;
}

QueueDecision offerCall(DispatchQueue &Queue, const StartLimits &Limits,
                        const WaitingCall &Call, Instant Now) {
  if (startsTooLate(Limits, Queue, Call, Now))
    return QueueDecision::Refuse;
  const bool MayStart =
      Queue.Waiting.empty() && startTime(Limits, 0, Now) <= Now;
  if (!limitsStarts(Limits, Now) || MayStart ||
      Queue.Running >= Queue.MaxRunning)
    return offerCall(Queue, Call, Now);
  Queue.Waiting.insert(Call);
  return QueueDecision::Wait;
}

std::optional<WaitingCall> dequeueCall(DispatchQueue &Queue,
                                       const StartLimits &Limits, Instant Now) {
  if (startTime(Limits, 0, Now) > Now)
    return std::nullopt;
  return dequeueCall(Queue);
}

std::vector<WaitingCall>
dropLateStarts(DispatchQueue &Queue, const StartLimits &Limits, Instant Now) {
  std::vector<WaitingCall> Late;
  if (!limitsStarts(Limits, Now))
    return Late;
  std::size_t Ahead = 0;
  for (auto It = Queue.Waiting.begin(); It != Queue.Waiting.end();) {
    if (startTime(Limits, Ahead, Now) <= It->LatestStart) {
      ++Ahead;
      ++It;
      continue;
    }
    Late.push_back(*It);
    It = Queue.Waiting.erase(It);
  }
  return Late;
}

} // namespace pollenwick
