#ifndef POLLENWICK_CORE_FLEET_RETRYBUDGET_H
#define POLLENWICK_CORE_FLEET_RETRYBUDGET_H

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Limits of the fleet-wide retry budget of one service.
struct RetryBudgetLimits {
  /// Retries allowed for each request of a caller.
  double RetriesPerRequest = 0.2;
  /// Retries allowed per window regardless of the number of requests.
  double BaseRetriesPerWindow = 10;
  Duration Window = std::chrono::seconds(10);
};

/// Numbers of requests and retries that one node has counted for one service
/// since the node started.
struct RetryCounts {
  std::uint64_t Retries = 0;
  std::uint64_t Requests = 0; ///< Requests of callers, without retries.
};

/// Sum of amounts over a sliding window of time, kept in ten slices per window.
/// All calls on one object must pass the same `Window`.
class SlidingWindowSum {
public:
  /// Adds an amount to the slice of `Now`.
  void add(double Amount, Duration Window, Instant Now);
  /// Returns the sum over the window that ends at `Now`.
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

/// Retry budget of one service: the recent requests and retries of this node
/// and its peers.
struct RetryBudget {
  struct Peer {
    std::uint64_t Incarnation = 0;
    RetryCounts Counts;
  };
  RetryCounts OwnCounts;
  SlidingWindowSum RecentRetries;
  SlidingWindowSum RecentRequests;
  /// Retries of this node since its last report to the peers.
  std::uint64_t RetriesSinceTick = 0;
  std::map<std::string, Peer> Peers;
};

/// Counts a request of a caller, which adds to the budget.
void recordRequest(RetryBudget &Budget, const RetryBudgetLimits &Limits,
                   Instant Now);

/// Withdraws a retry from the budget. `Cost` is the number of calls that the
/// retry causes in total. Returns false, and withdraws nothing, if the budget
/// does not allow the retry.
bool tryWithdrawRetry(RetryBudget &Budget, const RetryBudgetLimits &Limits,
                      double Cost, Instant Now);

/// Applies the totals that a peer reported. A changed `Incarnation` means that
/// the peer restarted and counts from zero.
void applyRetryReport(RetryBudget &Budget, const RetryBudgetLimits &Limits,
                      const std::string &Peer, std::uint64_t Incarnation,
                      const RetryCounts &Counts, Instant Now);

} // namespace pollenwick

#endif
