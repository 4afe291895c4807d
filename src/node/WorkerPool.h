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

/// Thread pool that runs blocking jobs from a bounded queue. A thread is added
/// when all others are busy, up to a limit, and runs until stop().
class WorkerPool {
public:
  using Job = std::function<void()>;

  WorkerPool(std::size_t MaxThreads, std::size_t QueueCapacity);
  ~WorkerPool();

  /// Queues a job. Returns false, without effect, when the queue is full or the
  /// pool has stopped.
  bool submit(Job Work);
  /// Runs the jobs that are already queued, then ends the threads.
  void stop();

  std::size_t startedThreads() const { return StartedThreads.load(); }
  std::size_t queuedJobs() const { return Jobs.size(); }

private:
  void run();

  const std::size_t MaxThreads;
  BoundedQueue<Job> Jobs;
  std::atomic<std::size_t> StartedThreads = 0;
  /// Number of jobs that are queued or running.
  std::atomic<std::size_t> JobsInFlight = 0;
  std::mutex Mutex;
  std::vector<std::thread> Threads;
};

} // namespace pollenwick

#endif
