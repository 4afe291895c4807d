#ifndef POLLENWICK_TOOLS_JOBQUEUE_H
#define POLLENWICK_TOOLS_JOBQUEUE_H

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "Arrivals.h"

namespace pollenwick::tools {

using Clock = std::chrono::steady_clock;

/// A request and what its caller knows so far.
struct Job {
  Arrival Origin;
  Clock::time_point Due;     ///< Of the next attempt.
  Clock::time_point Arrived; ///< Latency is measured from here.
  std::string Ticket;
  int RetriesUsed = 0;
  int Attempts = 0;
  int ConnectionsLost = 0;
  bool MayHaveRun = false; ///< An attempt ended with "unknown".
};

/// Hands out arrivals and retries when they are due. Thread-safe.
class JobQueue {
public:
  JobQueue(Arrivals &Source, Clock::time_point Start)
      : Source(Source), Start(Start) {}

  /// Waits for the next due job; nothing after the last job was finished.
  std::optional<Job> take();
  void retry(Job Next);
  void finish();

private:
  struct Later {
    bool operator()(const Job &A, const Job &B) const { return A.Due > B.Due; }
  };

  void refill();

  Arrivals &Source;
  const Clock::time_point Start;
  std::mutex Mutex;
  std::condition_variable Turn;
  std::condition_variable Earlier;
  std::priority_queue<Job, std::vector<Job>, Later> Waiting;
  std::optional<Arrival> Upcoming;
  bool Exhausted = false;
  bool HasLeader = false; ///< Only one thread waits for the clock.
  int InFlight = 0;
};

} // namespace pollenwick::tools

#endif
