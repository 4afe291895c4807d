#ifndef POLLENWICK_TOOLS_REPORT_H
#define POLLENWICK_TOOLS_REPORT_H

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "../common/Json.h"
#include "Exchange.h"
#include "JobQueue.h"

namespace pollenwick::tools {

/// How a request ended for its caller.
struct Ending {
  std::string Outcome; ///< `done`, `not-run` or `unknown`.
  std::string Reason;
  int Status = 0;
  bool Answered = false; ///< Done, status 200.
  bool Wrong = false;    ///< Status 200, but not the right body.
  std::chrono::microseconds Latency{0};
};

class LatencyHistogram;

/// Counts of the requests of one class and customer in one phase.
struct Row {
  Row();
  ~Row();

  std::uint64_t Offered = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Failed = 0; ///< Done, but with another status than 200.
  std::uint64_t Wrong = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t RefusedWithinRate = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t ConnectionsLost = 0;
  std::map<std::string, std::uint64_t> Refused; ///< By reason.
  std::unique_ptr<LatencyHistogram> Latency;    ///< Of answered requests.

  std::uint64_t refused() const;
  void add(const Row &Other);
};

/// Counts of one second of the run.
struct SecondCounts {
  std::uint64_t Offered = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;
};

/// Results of a run. Thread-safe.
class Report {
public:
  /// An empty path writes no outcomes.
  explicit Report(const std::string &OutcomesPath);
  ~Report();

  void add(const Job &Done, const std::string &Id, const Ending &End);
  void addViolation(const std::string &Kind);
  void addStartDelay(std::chrono::microseconds Delay);

  JsonObject::Ptr json();
  void printTable(std::ostream &Out);

private:
  /// Phase, class, customer.
  using Key = std::tuple<std::string, std::string, std::string>;

  std::mutex Mutex;
  std::ofstream Outcomes;
  std::map<Key, Row> Rows;
  std::vector<SecondCounts> Seconds;
  std::map<std::string, std::uint64_t> Violations;
  std::unique_ptr<LatencyHistogram> StartDelay;
};

} // namespace pollenwick::tools

#endif
