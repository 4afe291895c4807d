#ifndef POLLENWICK_NODE_BOUNDEDQUEUE_H
#define POLLENWICK_NODE_BOUNDEDQUEUE_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace pollenwick {

/// Bounded FIFO queue between threads. `push` never blocks: if the queue is
/// full or closed, it returns false and the producer refuses the work.
/// Thread-safe.
template <typename T> class BoundedQueue {
public:
  explicit BoundedQueue(std::size_t Capacity) : MaxItems(Capacity) {}

  /// Appends an element. Returns false, and leaves `Value` unchanged, if the
  /// queue is full or closed.
  bool push(T &&Value) {
    {
      std::scoped_lock Lock(Mutex);
      if (Closed || Items.size() >= MaxItems)
        return false;
      Items.push_back(std::move(Value));
    }
    Ready.notify_one();
    return true;
  }

  /// Waits for an element and removes it. Returns nothing once the queue is
  /// closed and empty.
  std::optional<T> pop() {
    std::unique_lock Lock(Mutex);
    Ready.wait(Lock, [this] { return Closed || !Items.empty(); });
    if (Items.empty())
      return std::nullopt;
    T Value = std::move(Items.front());
    Items.pop_front();
    return Value;
  }

  /// Rejects further elements. Those already queued can still be popped.
  void close() {
    {
      std::scoped_lock Lock(Mutex);
      Closed = true;
    }
    Ready.notify_all();
  }

  std::size_t size() const {
    std::scoped_lock Lock(Mutex);
    return Items.size();
  }

private:
  const std::size_t MaxItems;
  mutable std::mutex Mutex;
  std::condition_variable Ready;
  std::deque<T> Items;
  bool Closed = false;
};

} // namespace pollenwick

#endif
