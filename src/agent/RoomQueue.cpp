#include "agent/RoomQueue.h"

#include <utility>

namespace pollenwick::agent {
namespace {

/// Memory becomes free in many places, so waiting connections poll for it. The
/// interval is short compared with the time to receive a large body.
constexpr Duration RetryInterval = std::chrono::milliseconds(10);

} // namespace

RoomQueue::~RoomQueue() {
  if (Timer != 0)
    Loop.cancelTimer(Timer);
}

void RoomQueue::add(std::weak_ptr<void> Owner, Attempt Try) {
  Waiting.push_back({std::move(Owner), std::move(Try)});
  if (Timer == 0)
    schedule();
}

void RoomQueue::schedule() {
  Timer = Loop.callAt(Loop.now() + RetryInterval, [this] { tryAll(); });
}

void RoomQueue::tryAll() {
  Timer = 0;
  // An attempt may add connections, which are tried the next time.
  std::deque<Item> Asked = std::exchange(Waiting, {});
  while (!Asked.empty()) {
    const std::shared_ptr<void> Owner = Asked.front().Owner.lock();
    if (Owner && !Asked.front().Try())
      break;
    Asked.pop_front();
  }
  for (Item &Added : Waiting)
    Asked.push_back(std::move(Added));
  Waiting = std::move(Asked);
  if (!Waiting.empty() && Timer == 0)
    schedule();
}

} // namespace pollenwick::agent
