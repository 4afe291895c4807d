#include "core/fleet/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// Share of the bound that is used: reports of peers are late.
constexpr double UsedShare = 0.75;
/// Repeats a node may add between two reports to its peers.
constexpr std::uint64_t RepeatsPerTick = 2;

} // namespace

std::int64_t WindowSum::sliceOf(Duration Window, Instant Now) const {
  const std::int64_t Length =
      std::max<std::int64_t>(1, Window.count() / Slices);
  return Now.time_since_epoch().count() / Length;
}

void WindowSum::add(double Amount, Duration Window, Instant Now) {
  const std::int64_t Number = sliceOf(Window, Now);
  Slice &Current = Ring[static_cast<std::size_t>(Number) % Ring.size()];
  if (Current.Number != Number)
    Current = Slice{Number, 0};
  Current.Amount += Amount;
}

double WindowSum::sum(Duration Window, Instant Now) const {
  const std::int64_t Number = sliceOf(Window, Now);
  double Total = 0;
  for (const Slice &Part : Ring)
    if (Part.Number >= 0 &&
        Part.Number + static_cast<std::int64_t>(Slices) >= Number)
      Total += Part.Amount;
  return Total;
}

void recordRequest(RetryBudget &Budget, const RetryTerms &Terms, Instant Now) {
  ++Budget.OwnCounts.Requests;
  Budget.RecentRequests.add(1, Terms.Window, Now);
}

bool tryWithdrawRetry(RetryBudget &Budget, const RetryTerms &Terms, double Cost,
                      Instant Now) {
  if (Budget.RetriesSinceTick >= RepeatsPerTick)
    return false;
  const double Allowed =
      UsedShare *
      (Terms.RetriesPerRequest * Budget.RecentRequests.sum(Terms.Window, Now) +
       Terms.BaseRetriesPerWindow);
  if (Budget.RecentRetries.sum(Terms.Window, Now) + Cost > Allowed)
    return false;
  Budget.RecentRetries.add(Cost, Terms.Window, Now);
  Budget.OwnCounts.Retries += static_cast<std::uint64_t>(std::lround(Cost));
  ++Budget.RetriesSinceTick;
  return true;
}

void applyRetryReport(RetryBudget &Budget, const RetryTerms &Terms,
                      const std::string &Name, std::uint64_t Incarnation,
                      const RetryCounts &Counts, Instant Now) {
  RetryBudget::Peer &Peer = Budget.Peers[Name];
  if (Peer.Incarnation != Incarnation) {
    // What a peer that is new to this node did lies before the window, as far
    // as is known; one that restarted counts from zero.
    const bool Known = Peer.Incarnation != 0;
    Peer = RetryBudget::Peer{Incarnation, Known ? RetryCounts{} : Counts};
  }
  if (Counts.Retries > Peer.Counts.Retries)
    Budget.RecentRetries.add(
        static_cast<double>(Counts.Retries - Peer.Counts.Retries), Terms.Window,
        Now);
  if (Counts.Requests > Peer.Counts.Requests)
    Budget.RecentRequests.add(
        static_cast<double>(Counts.Requests - Peer.Counts.Requests),
        Terms.Window, Now);
  Peer.Counts = Counts;
}

} // namespace pollenwick
