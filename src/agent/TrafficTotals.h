#ifndef POLLENWICK_AGENT_TRAFFICTOTALS_H
#define POLLENWICK_AGENT_TRAFFICTOTALS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "pollenwick/Time.h"

namespace pollenwick::agent {

/// What the requests of one row of the totals have in common.
struct TrafficKey {
  std::string Route;
  std::string Customer; ///< "(nested)" for calls of backend servers.
  std::string Service;
  /// Where the request ended: "answer", "ingress", "queue", "server" or
  /// "caller".
  std::string Hop;
  std::string Reason;

  friend bool operator<(const TrafficKey &A, const TrafficKey &B) {
    return std::tie(A.Route, A.Customer, A.Service, A.Hop, A.Reason) <
           std::tie(B.Route, B.Customer, B.Service, B.Hop, B.Reason);
  }
};

/// Counts the requests that ended at one ingress, for the periodic log line
/// that `pollenwick-trace --summary` reads.
class TrafficTotals {
public:
  /// Counts one request. `UntilSent` is the time from its arrival until it was
  /// first sent to a server; `WastedRuns` are the runs that may have begun
  /// although the caller got no answer.
  void count(const TrafficKey &Key, std::optional<Duration> UntilSent,
             std::uint32_t WastedRuns);

  /// Returns the rows since the last call, and begins anew. The cells of a row
  /// are separated by '|', the rows by ';': route, customer, service, hop,
  /// reason, requests, requests sent, microseconds until sent, wasted runs.
  std::string takeRows();

private:
  struct Counts {
    std::uint64_t Requests = 0;
    std::uint64_t Sent = 0;
    Duration UntilSent{};
    std::uint64_t WastedRuns = 0;
  };
  std::map<TrafficKey, Counts> Rows;
};

} // namespace pollenwick::agent

#endif
