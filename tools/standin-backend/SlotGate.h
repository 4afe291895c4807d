#ifndef POLLENWICK_TOOLS_SLOTGATE_H
#define POLLENWICK_TOOLS_SLOTGATE_H

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace pollenwick::tools {

/// Limits the calls that run at a time; the others wait, up to a bound.
class SlotGate {
public:
  using Clock = std::chrono::steady_clock;
  enum class Entry : std::uint8_t { Entered, Full, Late, Cancelled };

  SlotGate(int Slots, int MaxWaiting) : Slots(Slots), MaxWaiting(MaxWaiting) {}

  /// `Cancelled` is polled while the call waits.
  Entry enter(Clock::time_point Deadline,
              const std::function<bool()> &Cancelled);
  void leave();
  int running();
  /// Running and waiting calls per slot.
  double load();

private:
  const int Slots;
  const int MaxWaiting;
  std::mutex Mutex;
  std::condition_variable Freed;
  int Running = 0;
  int Waiting = 0;
};

} // namespace pollenwick::tools

#endif
