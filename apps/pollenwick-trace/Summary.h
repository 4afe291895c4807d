#ifndef POLLENWICK_APPS_TRACE_SUMMARY_H
#define POLLENWICK_APPS_TRACE_SUMMARY_H

#include <cstdint>
#include <map>
#include <string>

#include "LogTrace.h"

namespace pollenwick::trace {

/// How the requests of one group ended.
struct OutcomeCounts {
  std::uint64_t Requests = 0;
  std::uint64_t InTarget = 0; ///< Answered within the latency target.
  std::uint64_t Late = 0;     ///< Answered later.
  /// Requests without an answer of a server, or with an error of it, by hop and
  /// reason.
  std::map<std::pair<std::string, std::string>, std::uint64_t> Unanswered;
  std::uint64_t Sent = 0; ///< Requests that were sent to a server.
  std::uint64_t UntilSentUs = 0;
  /// Runs that may have begun although the caller got no answer.
  std::uint64_t WastedRuns = 0;

  std::uint64_t unansweredAt(const std::string &Hop) const;
  double meanUntilSentMs() const;
};

/// Sums the periodic totals in the logs of a fleet. Holds one entry per route,
/// customer, zone, service and server, whatever the length of the logs.
class Summary {
public:
  using Groups = std::map<std::string, OutcomeCounts>;

  void take(const LogEntry &Entry);

  std::uint64_t lines() const { return Lines; }
  /// Returns the number of rows that could not be read.
  std::uint64_t unreadableRows() const { return UnreadableRows; }
  const Groups &byRoute() const { return ByRoute; }
  const Groups &byCustomer() const { return ByCustomer; }
  /// Groups by the zone of the ingress.
  const Groups &byZone() const { return ByZone; }
  const Groups &byService() const { return ByService; }
  /// Returns the calls that each server ran, by service and server.
  const std::map<std::string, std::map<std::string, std::uint64_t>> &
  runs() const {
    return RunsByServer;
  }

private:
  void takeRow(const std::string &Zone, std::string_view Row);

  Groups ByRoute;
  Groups ByCustomer;
  Groups ByZone;
  Groups ByService;
  std::map<std::string, std::map<std::string, std::uint64_t>> RunsByServer;
  std::map<std::string, std::uint64_t> LastRunsByNode;
  std::uint64_t Lines = 0;
  std::uint64_t UnreadableRows = 0;
};

/// Returns the tables for a person to read.
std::string describe(const Summary &Day);
/// Returns the same figures as a JSON object.
std::string toJson(const Summary &Day);

} // namespace pollenwick::trace

#endif
