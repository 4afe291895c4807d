#ifndef POLLENWICK_AGENT_EVENTLOOP_H
#define POLLENWICK_AGENT_EVENTLOOP_H

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <queue>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/memory/MemoryAccount.h"
#include "pollenwick/Time.h"

namespace pollenwick::agent {

/// Events that epoll reported for a descriptor.
struct Readiness {
  bool Readable = false;
  bool Writable = false;
  bool HasError = false;
  bool PeerClosed = false; ///< The peer has closed its sending side.
};

/// Receives the events of one descriptor.
class EventHandler {
public:
  virtual ~EventHandler() = default;
  virtual void onReady(const Readiness &State) = 0;
};

using TimerId = std::uint64_t;

/// Edge-triggered event loop with timers for one thread. All members except
/// `post` and `stop` must be called on the loop's thread.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Returns the time at which the current turn (iteration) of the loop began.
  Instant now() const { return Now; }

  /// Reports read and write events of a descriptor until `unwatch`. The
  /// handler must outlive the turn in which it is unwatched, because events of
  /// that turn may still be pending; see `deferRelease`.
  void watch(int Descriptor, EventHandler &Handler);
  void unwatch(int Descriptor);

  /// Keeps an object alive until the end of the current turn.
  void deferRelease(std::shared_ptr<void> Object);

  /// Calls `Task` once at the end of the current turn.
  void callAtTurnEnd(std::function<void()> &&Task);

  /// Calls `Task` once at or after `When`. The returned id is never 0.
  TimerId callAt(Instant When, std::function<void()> &&Task);
  /// Cancels a timer. Does nothing when the timer has already run.
  void cancelTimer(TimerId Id);

  /// Runs `Task` on the loop's thread. Safe to call from any thread.
  void post(std::function<void()> Task);

  /// Account of the bytes that the objects on this loop hold for others.
  MemoryAccount &memory() { return Memory; }

  /// Runs the loop until `stop` is called.
  void run();
  void stop() { Stopping = true; }
  /// Allows `run` again after `stop`.
  void clearStop() { Stopping = false; }

private:
  struct Timer {
    Instant When;
    TimerId Id;
    bool operator>(const Timer &Other) const { return When > Other.When; }
  };
  void runTimers();
  void runPostedTasks();
  void runTurnEndTasks();
  int waitTimeoutMs() const;

  MemoryAccount Memory; ///< Before the tasks, which may hold charges.
  int EpollFd = -1;
  int WakeupFd = -1;
  bool Stopping = false;
  Instant Now;
  TimerId LastTimerId = 0;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> Timers;
  absl::flat_hash_map<TimerId, std::function<void()>> TimerTasks;
  std::vector<std::function<void()>> TurnEndTasks;
  std::vector<std::shared_ptr<void>> DeferredReleases;
  std::mutex PostedMutex;
  std::vector<std::function<void()>> PostedTasks;
};

} // namespace pollenwick::agent

#endif
