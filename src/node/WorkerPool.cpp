#include "node/WorkerPool.h"

namespace pollenwick {

WorkerPool::WorkerPool(std::size_t M, std::size_t QueueCapacity)
    : MaxThreads(M), Jobs(QueueCapacity) {}

WorkerPool::~WorkerPool() { stop(); }

bool WorkerPool::submit(Job Work) {
  const std::size_t NowBusy = ++Busy;
  if (NowBusy > Started.load() && Started.load() < MaxThreads) {
    std::scoped_lock Lock(Mutex);
    if (Threads.size() < MaxThreads) {
      Threads.emplace_back([this] { run(); });
      ++Started;
    }
  }
  if (Jobs.push(std::move(Work)))
    return true;
  --Busy;
  return false;
}

void WorkerPool::run() {
  while (auto Work = Jobs.pop()) {
    (*Work)();
    --Busy;
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
