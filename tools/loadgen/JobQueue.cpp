#include "JobQueue.h"

namespace pollenwick::tools {

void JobQueue::refill() {
  // One arrival of the plan is kept in the queue; the rest stays unborn, so
  // that memory does not grow with the length of the plan.
  if (Exhausted || Upcoming)
    return;
  Upcoming = Source.next();
  if (!Upcoming) {
    Exhausted = true;
    return;
  }
  const Clock::time_point At = Start + Upcoming->At;
  Job Next;
  Next.Origin = *Upcoming;
  Next.Due = Next.Arrived = At;
  Waiting.push(std::move(Next));
}

std::optional<Job> JobQueue::take() {
  std::unique_lock Lock(Mutex);
  while (true) {
    if (HasLeader) {
      Turn.wait(Lock);
      continue;
    }
    refill();
    if (Waiting.empty()) {
      if (InFlight == 0) {
        Turn.notify_all();
        return std::nullopt;
      }
      Turn.wait(Lock);
      continue;
    }
    const Clock::time_point Due = Waiting.top().Due;
    if (Clock::now() < Due) {
      HasLeader = true;
      Earlier.wait_until(Lock, Due);
      HasLeader = false;
      continue;
    }
    Job Next = Waiting.top();
    Waiting.pop();
    if (Upcoming && Next.Origin.Number == Upcoming->Number)
      Upcoming.reset();
    ++InFlight;
    Turn.notify_one();
    return Next;
  }
}

void JobQueue::retry(Job Next) {
  const std::lock_guard Lock(Mutex);
  --InFlight;
  Waiting.push(std::move(Next));
  Earlier.notify_one();
  Turn.notify_one();
}

void JobQueue::finish() {
  const std::lock_guard Lock(Mutex);
  --InFlight;
  if (InFlight == 0)
    Turn.notify_all();
}

} // namespace pollenwick::tools
