#ifndef POLLENWICK_CORE_FLEET_RETRYBUDGET_H
#define POLLENWICK_CORE_FLEET_RETRYBUDGET_H

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Fleet-wide bound on repeats of calls to a service.
struct RetryBudgetLimits {
  double RetriesPerRequest =
      0.2; ///< Repeats allowed for each request of a caller.
  double BaseRetriesPerWindow =
      10; ///< Repeats allowed besides, in each window.
  Duration Window = std::chrono::seconds(10);
};

/// Totals of one node since its start, for one service.
struct RetryCounts {
  std::uint64_t Retries = 0;
  std::uint64_t Requests = 0; ///< Requests of callers.
};

/// Sum over the last window, in slices.
class SlidingWindowSum {
public:
  void add(double Amount, Duration Window, Instant Now);
  double sum(Duration Window, Instant Now) const;

private:
  static constexpr std::size_t SliceCount = 10;
  std::int64_t sliceNumber(Duration Window, Instant Now) const;

  struct Slice {
    std::int64_t Number = -1;
    double Amount = 0;
  };
  std::array<Slice, SliceCount + 1> Ring{};
};

/// Budget of one service: what this node and its peers have repeated.
struct RetryBudget {
  struct Peer {
    std::uint64_t Incarnation = 0;
    RetryCounts Counts;
  };
  RetryCounts OwnCounts;
  SlidingWindowSum RecentRetries;
  SlidingWindowSum RecentRequests;
  std::uint64_t RetriesSinceTick =
      0; ///< Own repeats that peers do not know of yet.
  std::map<std::string, Peer> Peers;
};

/// Counts a caller's request.
void recordRequest(RetryBudget &Budget, const RetryBudgetLimits &Limits,
                   Instant Now);

/// Counts and allows a repeat that causes `Cost` arrivals in all, or refuses.
bool tryWithdrawRetry(RetryBudget &Budget, const RetryBudgetLimits &Limits,
                      double Cost, Instant Now);

void applyRetryReport(RetryBudget &Budget, const RetryBudgetLimits &Limits,
                      const std::string &Peer, std::uint64_t Incarnation,
                      const RetryCounts &Counts, Instant Now);

} // namespace pollenwick

#endif
