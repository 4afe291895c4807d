#include "core/fleet/FleetQuota.h"

#include <algorithm>

namespace pollenwick {
namespace {

/// Share of the burst below which the nodes divide what is left.
constexpr double ScarceShare = 0.4;
/// Weight of the newest interval in the mean rates.
constexpr double RateWeight = 0.5;
/// A peer that has been silent so long admits nothing any more, as far as this
/// node can know: it has ended.
constexpr Duration PeerExpiry = std::chrono::seconds(20);
/// Reports arrive this late at most while the network works.
constexpr Duration ReportLag = std::chrono::milliseconds(700);
constexpr Duration ShortestWait = std::chrono::milliseconds(200);
constexpr Duration LongestWait = std::chrono::seconds(3);

double seconds(Duration Time) {
  return static_cast<double>(Time.count()) / 1e6;
}

void refill(QuotaBucket &Bucket, const QuotaLimit &Limit, Instant Now) {
  const auto Burst = static_cast<double>(Limit.Burst);
  if (!Bucket.Initialized) {
    Bucket.Initialized = true;
    Bucket.Level = Bucket.BeginsFull ? Burst : 0;
    Bucket.Scarce = !Bucket.BeginsFull;
    Bucket.RefilledAt = Now;
  }
  Bucket.Level =
      std::min(Burst, Bucket.Level + static_cast<double>(Limit.RatePerSecond) *
                                         seconds(Now - Bucket.RefilledAt));
  Bucket.RefilledAt = Now;
}

} // namespace

QuotaDecision spendQuota(QuotaBucket &Bucket, const QuotaLimit &Limit,
                         Instant Now) {
  ++Bucket.OwnCounts.Offered;
  if (Limit.RatePerSecond > 0) {
    refill(Bucket, Limit, Now);
    const bool Enough =
        Bucket.Scarce ? Bucket.TickAllowance >= 1 : Bucket.Level >= 1;
    if (!Enough)
      return QuotaDecision::Refuse;
    Bucket.Level -= 1;
    if (Bucket.Scarce)
      Bucket.TickAllowance -= 1;
  }
  ++Bucket.OwnCounts.Admitted;
  return QuotaDecision::Admit;
}

void applyQuotaReport(QuotaBucket &Bucket, const std::string &Name,
                      std::uint64_t Incarnation, const QuotaCounts &Counts,
                      Instant Now) {
  QuotaBucket::Peer &Peer = Bucket.Peers[Name];
  if (Peer.Incarnation != Incarnation) {
    // A peer that restarted counts from zero. One that is new to this node may
    // have spent its count at any time: it takes what is in the bucket, but
    // leaves no debt.
    const bool Known = Peer.Incarnation != 0;
    Peer = QuotaBucket::Peer{};
    Peer.Incarnation = Incarnation;
    Peer.Counts = Counts;
    Peer.ReportedAt = Now;
    const double Floor =
        Known ? Bucket.Level - static_cast<double>(Counts.Admitted)
              : std::min(Bucket.Level, 0.0);
    Bucket.Level =
        std::max(Bucket.Level - static_cast<double>(Counts.Admitted), Floor);
    return;
  }
  if (Counts.Offered < Peer.Counts.Offered)
    return;
  const double Elapsed = std::max(0.05, seconds(Now - Peer.ReportedAt));
  const auto Admitted =
      static_cast<double>(Counts.Admitted - Peer.Counts.Admitted);
  const auto Offered =
      static_cast<double>(Counts.Offered - Peer.Counts.Offered);
  Bucket.Level -= Admitted - Peer.AssumedAdmissions;
  Peer.AssumedAdmissions = 0;
  Peer.AdmittedPerSecond +=
      (Admitted / Elapsed - Peer.AdmittedPerSecond) * RateWeight;
  Peer.OfferedPerSecond +=
      (Offered / Elapsed - Peer.OfferedPerSecond) * RateWeight;
  Peer.Counts = Counts;
  Peer.ReportedAt = Now;
}

void planQuota(QuotaBucket &Bucket, const QuotaLimit &Limit, std::size_t Nodes,
               Duration Interval, Instant Now) {
  refill(Bucket, Limit, Now);
  const double Span = std::max(0.01, seconds(Interval));
  const auto OwnOffered = static_cast<double>(
      Bucket.OwnCounts.Offered - Bucket.OwnCountsAtLastTick.Offered);
  Bucket.OwnOfferedPerSecond +=
      (OwnOffered / Span - Bucket.OwnOfferedPerSecond) * RateWeight;
  Bucket.OwnCountsAtLastTick = Bucket.OwnCounts;
  double Total = Bucket.OwnOfferedPerSecond;
  for (auto It = Bucket.Peers.begin(); It != Bucket.Peers.end();) {
    QuotaBucket::Peer &Peer = It->second;
    const Duration Silent = Now - Peer.ReportedAt;
    if (Silent > PeerExpiry) {
      It = Bucket.Peers.erase(It);
      continue;
    }
    if (Silent > ReportLag) {
      const double Assumed = Peer.AdmittedPerSecond * Span;
      Peer.AssumedAdmissions += Assumed;
      Bucket.Level -= Assumed;
    }
    Total += Peer.OfferedPerSecond;
    ++It;
  }
  Bucket.Level =
      std::max(Bucket.Level, -2.0 * static_cast<double>(Limit.RatePerSecond));
  // The level means little while a part of the fleet was never heard of.
  const std::size_t Heard = Bucket.Peers.size() + 1;
  Bucket.Scarce = Heard < Nodes ||
                  Bucket.Level < ScarceShare * static_cast<double>(Limit.Burst);
  if (!Bucket.Scarce)
    return;
  if (Nodes > Heard)
    Total += static_cast<double>(Nodes - Heard) * Bucket.OwnOfferedPerSecond;
  const double Share = Total > 0
                           ? Bucket.OwnOfferedPerSecond / Total
                           : 1.0 / static_cast<double>(std::max(Heard, Nodes));
  const double There = std::max(
      0.0, Bucket.Level + static_cast<double>(Limit.RatePerSecond) * Span);
  // A fraction that was not used up carries over, up to one request. While
  // tokens are left, a node with a small share may admit one request: refusing
  // it would be wrong more often than admitting it breaks the limit, and the
  // debt is paid back.
  const double Least = Bucket.Level >= 1 && Heard >= Nodes ? 1.0 : 0.0;
  Bucket.TickAllowance = std::max(
      Least, std::clamp(Bucket.TickAllowance, 0.0, 1.0) + Share * There);
}

Duration quotaRetryAfter(const QuotaBucket &Bucket, const QuotaLimit &Limit) {
  if (Limit.RatePerSecond <= 0)
    return ShortestWait;
  const double Missing = std::max(0.0, 1.0 - Bucket.Level);
  const auto Wait = Duration(static_cast<std::int64_t>(
      Missing / static_cast<double>(Limit.RatePerSecond) * 1e6));
  return std::clamp(Wait, ShortestWait, LongestWait);
}

} // namespace pollenwick
