#include "SlotGate.h"

#include <algorithm>

namespace pollenwick::tools {
namespace {

constexpr std::chrono::milliseconds CancelCheck{20};

} // namespace

SlotGate::Entry SlotGate::enter(Clock::time_point Deadline,
                                const std::function<bool()> &Cancelled) {
  std::unique_lock Lock(Mutex);
  if (Running >= Slots && Waiting >= MaxWaiting)
    return Entry::Full;
  ++Waiting;
  Entry Result = Entry::Entered;
  while (Running >= Slots) {
    const Clock::time_point Now = Clock::now();
    if (Now >= Deadline) {
      Result = Entry::Late;
      break;
    }
    if (Cancelled()) {
      Result = Entry::Cancelled;
      break;
    }
    Freed.wait_until(Lock, std::min(Deadline, Now + CancelCheck));
  }
  --Waiting;
  if (Result == Entry::Entered)
    ++Running;
  return Result;
}

void SlotGate::leave() {
  const std::lock_guard Lock(Mutex);
  --Running;
  Freed.notify_one();
}

int SlotGate::running() {
  const std::lock_guard Lock(Mutex);
  return Running;
}

double SlotGate::load() {
  const std::lock_guard Lock(Mutex);
  return static_cast<double>(Running + Waiting) / Slots;
}

} // namespace pollenwick::tools
