#ifndef POLLENWICK_NODE_WORKERPOOL_H
#define POLLENWICK_NODE_WORKERPOOL_H

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "node/BoundedQueue.h"

namespace pollenwick {

/// Threads that run blocking work taken from a bounded ring. Threads are
/// started when all others are busy, up to the limit, and kept.
class WorkerPool {
public:
  using Job = std::function<void()>;

  WorkerPool(std::size_t MaxThreads, std::size_t QueueCapacity);
  ~WorkerPool();

  /// False, without effect, when the ring is full or the pool has stopped.
  bool submit(Job Work);
  /// Runs what is in the ring, then ends the threads.
  void stop();

  std::size_t startedThreads() const { return StartedThreads.load(); }
  std::size_t queuedJobs() const { return Jobs.size(); }

private:
  void run();

  const std::size_t MaxThreads;
  BoundedQueue<Job> Jobs;
  std::atomic<std::size_t> StartedThreads = 0;
  std::atomic<std::size_t> JobsInFlight =
      0; ///< Jobs submitted and not finished.
  std::mutex Mutex;
  std::vector<std::thread> Threads;
};

} // namespace pollenwick

#endif
