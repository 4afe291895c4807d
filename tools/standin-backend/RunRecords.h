#ifndef POLLENWICK_TOOLS_RUNRECORDS_H
#define POLLENWICK_TOOLS_RUNRECORDS_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>

#include "../common/Json.h"

namespace pollenwick::tools {

/// What a backend server has run and seen. All functions are thread-safe. The
/// oldest runs are dropped above `MaxRuns`.
class RunRecords {
public:
  explicit RunRecords(std::size_t MaxRuns) : MaxRuns(MaxRuns) {}

  void addRun(const std::string &RequestId, const std::string &Route,
              const std::string &Customer);
  void addLeakedHeader(const std::string &Name, const std::string &Value);
  /// Restarts the count of runs since the server began to drain.
  void markDrain();
  JsonObject::Ptr report(bool WithRuns);

private:
  using Clock = std::chrono::steady_clock;

  const std::size_t MaxRuns;
  std::mutex Mutex;
  std::unordered_map<std::string, std::uint32_t> Runs; ///< By "route id".
  std::deque<std::string> Order;
  std::map<std::string, std::uint64_t> Customers;
  std::set<std::string> LeakedHeaders;
  std::uint64_t Total = 0;
  std::uint64_t Dropped = 0;
  Clock::time_point DrainStart;
  Clock::time_point LastRun;
  std::uint64_t RunsSinceDrain = 0;
};

} // namespace pollenwick::tools

#endif
