#include "agent/EventLoop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace pollenwick::agent {
namespace {

constexpr int MaxEventsPerTurn = 128;
constexpr int MaxWaitMs = 1000;

Instant steadyNow() {
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace

EventLoop::EventLoop()
    : EpollFd(epoll_create1(EPOLL_CLOEXEC)),
      WakeupFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)), Now(steadyNow()) {
  if (EpollFd < 0 || WakeupFd < 0)
    throw std::system_error(errno, std::generic_category(),
                            "cannot create the event loop; raise the limit of "
                            "open descriptors");
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.ptr = nullptr;
  epoll_ctl(EpollFd, EPOLL_CTL_ADD, WakeupFd, &Event);
}

EventLoop::~EventLoop() {
  ::close(EpollFd);
  ::close(WakeupFd);
}

void EventLoop::watch(int Descriptor, EventHandler &Handler) {
  epoll_event Event{};
  // Edge-triggered events for both directions are registered with one system
  // call for the lifetime of a connection.
  Event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  Event.data.ptr = &Handler;
  epoll_ctl(EpollFd, EPOLL_CTL_ADD, Descriptor, &Event);
}

void EventLoop::unwatch(int Descriptor) {
  epoll_event Event{};
  epoll_ctl(EpollFd, EPOLL_CTL_DEL, Descriptor, &Event);
}

void EventLoop::deferRelease(std::shared_ptr<void> Object) {
  DeferredReleases.push_back(std::move(Object));
}

void EventLoop::callAtTurnEnd(std::function<void()> &&Task) {
  TurnEndTasks.push_back(std::move(Task));
}

TimerId EventLoop::callAt(Instant When, std::function<void()> &&Task) {
  const TimerId Id = ++LastTimerId;
  Timers.push(Timer{When, Id});
  TimerTasks.emplace(Id, std::move(Task));
  return Id;
}

void EventLoop::cancelTimer(TimerId Id) { TimerTasks.erase(Id); }

void EventLoop::post(std::function<void()> Task) {
  {
    const std::scoped_lock Lock(PostedMutex);
    PostedTasks.push_back(std::move(Task));
  }
  const std::uint64_t One = 1;
  [[maybe_unused]] const auto Written = ::write(WakeupFd, &One, sizeof(One));
}

int EventLoop::waitTimeoutMs() const {
  if (Timers.empty())
    return MaxWaitMs;
  const auto TimeToTimer =
      std::chrono::ceil<std::chrono::milliseconds>(Timers.top().When - Now);
  return static_cast<int>(
      std::clamp<std::int64_t>(TimeToTimer.count(), 0, MaxWaitMs));
}

void EventLoop::runTimers() {
  while (!Timers.empty() && Timers.top().When <= Now) {
    const TimerId Id = Timers.top().Id;
    Timers.pop();
    const auto Found = TimerTasks.find(Id);
    if (Found == TimerTasks.end())
      continue;
    const std::function<void()> Task = std::move(Found->second);
    TimerTasks.erase(Found);
    Task();
  }
  // Cancelled timers at the top of the queue would cause needless wake-ups.
  while (!Timers.empty() && !TimerTasks.contains(Timers.top().Id))
    Timers.pop();
}

void EventLoop::runPostedTasks() {
  std::uint64_t Count = 0;
  [[maybe_unused]] const auto BytesRead =
      ::read(WakeupFd, &Count, sizeof(Count));
  std::vector<std::function<void()>> Tasks;
  {
    const std::scoped_lock Lock(PostedMutex);
    Tasks.swap(PostedTasks);
  }
  for (const std::function<void()> &Task : Tasks)
    Task();
}

void EventLoop::runTurnEndTasks() {
  while (!TurnEndTasks.empty()) {
    std::vector<std::function<void()>> Tasks;
    Tasks.swap(TurnEndTasks);
    for (const std::function<void()> &Task : Tasks)
      Task();
  }
  DeferredReleases.clear();
}

void EventLoop::run() {
  std::array<epoll_event, MaxEventsPerTurn> Events{};
  while (!Stopping) {
    const int Count =
        epoll_wait(EpollFd, Events.data(), MaxEventsPerTurn, waitTimeoutMs());
    Now = steadyNow();
    for (int I = 0; I < Count; ++I) {
      const epoll_event &Event = Events[static_cast<std::size_t>(I)];
      if (Event.data.ptr == nullptr) {
        runPostedTasks();
        continue;
      }
      Readiness State;
      State.PeerClosed = (Event.events & (EPOLLRDHUP | EPOLLHUP)) != 0;
      State.Readable = (Event.events & EPOLLIN) != 0 || State.PeerClosed;
      State.Writable = (Event.events & EPOLLOUT) != 0;
      State.HasError = (Event.events & EPOLLERR) != 0;
      static_cast<EventHandler *>(Event.data.ptr)->onReady(State);
    }
    runTimers();
    runTurnEndTasks();
  }
}

} // namespace pollenwick::agent
