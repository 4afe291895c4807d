#ifndef POLLENWICK_AGENT_ROOMQUEUE_H
#define POLLENWICK_AGENT_ROOMQUEUE_H

#include <deque>
#include <functional>
#include <memory>

#include "agent/EventLoop.h"

namespace pollenwick::agent {

/// Connections of one kind whose reading is paused until there is memory for
/// what they receive. They are tried in the order in which they began to wait,
/// and only until one finds no room, so that smaller bodies do not overtake a
/// large one without end.
class RoomQueue {
public:
  /// Tries to resume one connection. Returns true once it no longer waits.
  using Attempt = std::function<bool()>;

  explicit RoomQueue(EventLoop &TheLoop) : Loop(TheLoop) {}
  ~RoomQueue();
  RoomQueue(const RoomQueue &) = delete;
  RoomQueue &operator=(const RoomQueue &) = delete;

  /// Calls `Try` from time to time until it returns true or `Owner` is gone.
  void add(std::weak_ptr<void> Owner, Attempt Try);
  bool empty() const { return Waiting.empty(); }
  std::size_t size() const { return Waiting.size(); }

private:
  struct Item {
    std::weak_ptr<void> Owner;
    Attempt Try;
  };
  void schedule();
  void tryAll();

  EventLoop &Loop;
  std::deque<Item> Waiting;
  TimerId Timer = 0; ///< 0 while nothing waits.
};

} // namespace pollenwick::agent

#endif
