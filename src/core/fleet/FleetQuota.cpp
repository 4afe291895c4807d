#include "core/fleet/FleetQuota.h"

#include <algorithm>

namespace pollenwick {
namespace {

/// Fraction of the burst below which tokens count as scarce and the nodes
/// divide the remaining ones.
constexpr double ScarceBurstFraction = 0.4;
/// Weight of the newest interval in the exponentially smoothed rates.
constexpr double RateSmoothingWeight = 0.5;
/// Time without a report after which a peer is assumed to have ended and to
/// admit no more requests.
constexpr Duration PeerExpiry = std::chrono::seconds(20);
/// Longest time between two reports of a peer while the network works. Beyond
/// it, the admissions of the peer are extrapolated.
constexpr Duration MaxReportDelay = std::chrono::milliseconds(700);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration MaxRetryAfter = std::chrono::seconds(3);

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
    const bool HasTokens =
        Bucket.Scarce ? Bucket.TickAllowance >= 1 : Bucket.Level >= 1;
    if (!HasTokens)
      return QuotaDecision::Refuse;
    Bucket.Level -= 1;
    if (Bucket.Scarce)
      Bucket.TickAllowance -= 1;
  }
  ++Bucket.OwnCounts.Admitted;
  return QuotaDecision::Admit;
}

void applyQuotaReport(QuotaBucket &Bucket, const std::string &PeerName,
                      std::uint64_t Incarnation, const QuotaCounts &Counts,
                      Instant Now) {
  QuotaBucket::Peer &Peer = Bucket.Peers[PeerName];
  if (Peer.Incarnation != Incarnation) {
    // A restarted peer counts from zero, so its whole count is deducted. A peer
    // that is new to this node may have admitted its count at any time, so the
    // deduction may empty the bucket but leaves no debt.
    const bool KnownPeer = Peer.Incarnation != 0;
    Peer = QuotaBucket::Peer{};
    Peer.Incarnation = Incarnation;
    Peer.Counts = Counts;
    Peer.ReportedAt = Now;
    if (!KnownPeer)
      Bucket.Level += Bucket.AssumedPerUnheardNode;
    const double MinLevel =
        KnownPeer ? Bucket.Level - static_cast<double>(Counts.Admitted)
                  : std::min(Bucket.Level, 0.0);
    Bucket.Level =
        std::max(Bucket.Level - static_cast<double>(Counts.Admitted), MinLevel);
    return;
  }
  if (Counts.Offered < Peer.Counts.Offered)
    return;
  const double ElapsedSeconds = std::max(0.05, seconds(Now - Peer.ReportedAt));
  const auto Admitted =
      static_cast<double>(Counts.Admitted - Peer.Counts.Admitted);
  const auto Offered =
      static_cast<double>(Counts.Offered - Peer.Counts.Offered);
  Bucket.Level -= Admitted - Peer.AssumedAdmissions;
  Peer.AssumedAdmissions = 0;
  Peer.AdmittedPerSecond +=
      (Admitted / ElapsedSeconds - Peer.AdmittedPerSecond) *
      RateSmoothingWeight;
  Peer.RateKnown = true;
  Peer.OfferedPerSecond +=
      (Offered / ElapsedSeconds - Peer.OfferedPerSecond) * RateSmoothingWeight;
  Peer.Counts = Counts;
  Peer.ReportedAt = Now;
}

void planQuota(QuotaBucket &Bucket, const QuotaLimit &Limit, std::size_t Nodes,
               Duration Interval, Instant Now) {
  refill(Bucket, Limit, Now);
  const double IntervalSeconds = std::max(0.01, seconds(Interval));
  const auto OwnOffered = static_cast<double>(
      Bucket.OwnCounts.Offered - Bucket.OwnCountsAtLastTick.Offered);
  Bucket.OwnOfferedPerSecond +=
      (OwnOffered / IntervalSeconds - Bucket.OwnOfferedPerSecond) *
      RateSmoothingWeight;
  const auto OwnAdmitted = static_cast<double>(
      Bucket.OwnCounts.Admitted - Bucket.OwnCountsAtLastTick.Admitted);
  Bucket.OwnCountsAtLastTick = Bucket.OwnCounts;
  double TotalOfferedPerSecond = Bucket.OwnOfferedPerSecond;
  for (auto It = Bucket.Peers.begin(); It != Bucket.Peers.end();) {
    QuotaBucket::Peer &Peer = It->second;
    const Duration SinceReport = Now - Peer.ReportedAt;
    if (SinceReport > PeerExpiry) {
      It = Bucket.Peers.erase(It);
      continue;
    }
    if (SinceReport > MaxReportDelay) {
      const double AssumedNow = Peer.AdmittedPerSecond * IntervalSeconds;
      Peer.AssumedAdmissions += AssumedNow;
      Bucket.Level -= AssumedNow;
    }
    TotalOfferedPerSecond +=
        Peer.RateKnown ? Peer.OfferedPerSecond : Bucket.OwnOfferedPerSecond;
    ++It;
  }
  const std::size_t ReportingNodes = Bucket.Peers.size() + 1;
  if (ReportingNodes < Nodes) {
    // Without it, each of the nodes that have not heard of each other refills
    // the bucket for itself and spends its share of all of it.
    Bucket.AssumedPerUnheardNode += OwnAdmitted;
    Bucket.Level -= OwnAdmitted * static_cast<double>(Nodes - ReportingNodes);
  } else {
    Bucket.AssumedPerUnheardNode = 0;
  }
  Bucket.Level =
      std::max(Bucket.Level, -2.0 * static_cast<double>(Limit.RatePerSecond));
  // The level is unreliable until every node of the fleet has reported.
  Bucket.Scarce =
      ReportingNodes < Nodes ||
      Bucket.Level < ScarceBurstFraction * static_cast<double>(Limit.Burst);
  if (!Bucket.Scarce)
    return;
  if (Nodes > ReportingNodes)
    TotalOfferedPerSecond += static_cast<double>(Nodes - ReportingNodes) *
                             Bucket.OwnOfferedPerSecond;
  const double Share =
      TotalOfferedPerSecond > 0
          ? Bucket.OwnOfferedPerSecond / TotalOfferedPerSecond
          : 1.0 / static_cast<double>(std::max(ReportingNodes, Nodes));
  const double AvailableTokens =
      std::max(0.0, Bucket.Level + static_cast<double>(Limit.RatePerSecond) *
                                       IntervalSeconds);
  // An unused fraction of the allowance carries over, up to one request. While
  // tokens are left, even a node with a small share may admit one request per
  // tick: refusing it would be wrong more often than admitting it exceeds the
  // limit, and later refills pay back the debt.
  const double MinAllowance =
      Bucket.Level >= 1 && ReportingNodes >= Nodes ? 1.0 : 0.0;
  Bucket.TickAllowance =
      std::max(MinAllowance, std::clamp(Bucket.TickAllowance, 0.0, 1.0) +
                                 Share * AvailableTokens);
}

Duration quotaRetryAfter(const QuotaBucket &Bucket, const QuotaLimit &Limit) {
  if (Limit.RatePerSecond <= 0)
    return MinRetryAfter;
  const double MissingTokens = std::max(0.0, 1.0 - Bucket.Level);
  const auto Wait = Duration(static_cast<std::int64_t>(
      MissingTokens / static_cast<double>(Limit.RatePerSecond) * 1e6));
  return std::clamp(Wait, MinRetryAfter, MaxRetryAfter);
}

} // namespace pollenwick
