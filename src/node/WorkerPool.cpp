#include "node/WorkerPool.h"

namespace pollenwick {

WorkerPool::WorkerPool(std::size_t M, std::size_t QueueCapacity)
    : MaxThreads(M), Jobs(QueueCapacity) {}

WorkerPool::~WorkerPool() { stop(); }

bool WorkerPool::submit(Job Work) {
  const std::size_t InFlightNow = ++JobsInFlight;
  if (InFlightNow > StartedThreads.load() &&
      StartedThreads.load() < MaxThreads) {
    std::scoped_lock Lock(Mutex);
    if (Threads.size() < MaxThreads) {
      Threads.emplace_back([this] { run(); });
      ++StartedThreads;
    }
  }
  if (Jobs.push(std::move(Work)))
    return true;
  --JobsInFlight;
  return false;
}

void WorkerPool::run() {
  while (auto Work = Jobs.pop()) {
    (*Work)();
    --JobsInFlight;
  }
}

void WorkerPool::stop() {
  Jobs.close();
  std::vector<std::thread> Ending;
  {
    std::scoped_lock Lock(Mutex);
    Ending.swap(Threads);
  }
  for (std::thread &Thread : Ending)
    Thread.join();
}

} // namespace pollenwick
