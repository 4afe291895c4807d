#include "core/fleet/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// Fraction of the budget that is spent. The rest covers the retries of peers
/// whose reports have not arrived yet.
constexpr double UsableBudgetFraction = 0.75;
/// Retries that a node may make between two reports to its peers.
constexpr std::uint64_t MaxRetriesPerTick = 2;

} // namespace

std::int64_t SlidingWindowSum::sliceNumber(Duration Window, Instant Now) const {
  const std::int64_t Length =
      std::max<std::int64_t>(1, Window.count() / SliceCount);
  return Now.time_since_epoch().count() / Length;
}

void SlidingWindowSum::add(double Amount, Duration Window, Instant Now) {
  const std::int64_t Number = sliceNumber(Window, Now);
  Slice &Current = Ring[static_cast<std::size_t>(Number) % Ring.size()];
  if (Current.Number != Number)
    Current = Slice{Number, 0};
  Current.Amount += Amount;
}

double SlidingWindowSum::sum(Duration Window, Instant Now) const {
  const std::int64_t Number = sliceNumber(Window, Now);
  double Total = 0;
  for (const Slice &Part : Ring)
    if (Part.Number >= 0 &&
        Part.Number + static_cast<std::int64_t>(SliceCount) >= Number)
      Total += Part.Amount;
  return Total;
}

void recordRequest(RetryBudget &Budget, const RetryBudgetLimits &Limits,
                   Instant Now) {
  ++Budget.OwnCounts.Requests;
  Budget.RecentRequests.add(1, Limits.Window, Now);
}

bool tryWithdrawRetry(RetryBudget &Budget, const RetryBudgetLimits &Limits,
                      double Cost, Instant Now) {
  if (Budget.RetriesSinceTick >= MaxRetriesPerTick)
    return false;
  const double Allowed = UsableBudgetFraction *
                         (Limits.RetriesPerRequest *
                              Budget.RecentRequests.sum(Limits.Window, Now) +
                          Limits.BaseRetriesPerWindow);
  if (Budget.RecentRetries.sum(Limits.Window, Now) + Cost > Allowed)
    return false;
  Budget.RecentRetries.add(Cost, Limits.Window, Now);
  Budget.OwnCounts.Retries += static_cast<std::uint64_t>(std::lround(Cost));
  ++Budget.RetriesSinceTick;
  return true;
}

void applyRetryReport(RetryBudget &Budget, const RetryBudgetLimits &Limits,
                      const std::string &PeerName, std::uint64_t Incarnation,
                      const RetryCounts &Counts, Instant Now) {
  RetryBudget::Peer &Peer = Budget.Peers[PeerName];
  if (Peer.Incarnation != Incarnation) {
    // The counts of a peer that is new to this node are assumed to date from
    // before the window. A restarted peer counts from zero, so its whole counts
    // are added.
    const bool KnownPeer = Peer.Incarnation != 0;
    Peer = RetryBudget::Peer{Incarnation, KnownPeer ? RetryCounts{} : Counts};
  }
  if (Counts.Retries > Peer.Counts.Retries)
    Budget.RecentRetries.add(
        static_cast<double>(Counts.Retries - Peer.Counts.Retries),
        Limits.Window, Now);
  if (Counts.Requests > Peer.Counts.Requests)
    Budget.RecentRequests.add(
        static_cast<double>(Counts.Requests - Peer.Counts.Requests),
        Limits.Window, Now);
  Peer.Counts = Counts;
}

} // namespace pollenwick
