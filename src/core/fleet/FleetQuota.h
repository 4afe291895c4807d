#ifndef POLLENWICK_CORE_FLEET_FLEETQUOTA_H
#define POLLENWICK_CORE_FLEET_FLEETQUOTA_H

#include <cstdint>
#include <map>
#include <string>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Token-bucket rate limit of one customer.
struct QuotaLimit {
  std::int64_t RatePerSecond = 0; ///< Requests per second; zero: no limit.
  std::int64_t Burst = 0;         ///< Bucket capacity in requests.
};

/// Numbers of requests that one node has counted for a customer since the node
/// started.
struct QuotaCounts {
  std::uint64_t Admitted = 0;
  std::uint64_t Offered = 0;
};

/// Token bucket of one customer as one node sees it. Every node models the
/// bucket of the whole fleet: it deducts its own admissions and the admissions
/// that peers report. While a report is overdue, the node extrapolates the
/// admissions of that peer from its last rate, so that a network partition does
/// not multiply the limit.
struct QuotaBucket {
  /// Last report of one peer and the rates derived from its reports.
  struct Peer {
    QuotaCounts Counts;
    std::uint64_t Incarnation = 0;
    double AdmittedPerSecond = 0;
    double OfferedPerSecond = 0;
    /// False until a second report; one report tells no rate.
    bool RateKnown = false;
    /// Extrapolated admissions that were deducted before the peer reported
    /// them; corrected by its next report.
    double AssumedAdmissions = 0;
    Instant ReportedAt;
  };
  double Level = 0; ///< Tokens left; negative while the fleet is in debt.
  Instant RefilledAt;
  bool Initialized = false;
  /// Whether the bucket starts full. A restarted node starts with an empty
  /// bucket because the fleet may have spent the burst just before.
  bool BeginsFull = false;
  QuotaCounts OwnCounts;
  QuotaCounts OwnCountsAtLastTick; ///< As of the last `planQuota`.
  double OwnOfferedPerSecond = 0;
  /// Admissions that were deducted for each node that has never reported;
  /// credited when it reports.
  double AssumedPerUnheardNode = 0;
  /// Admissions left to this node until the next tick; used while `Scarce`.
  double TickAllowance = 0;
  /// Whether tokens run low, so that the nodes divide the remaining ones.
  bool Scarce = false;
  std::map<std::string, Peer> Peers;
};

enum class QuotaDecision : std::uint8_t { Admit, Refuse };

/// Admits or refuses one request and counts it in the node's own totals.
QuotaDecision spendQuota(QuotaBucket &Bucket, const QuotaLimit &Limit,
                         Instant Now);

/// Applies the totals that a peer reported. A changed `Incarnation` means that
/// the peer restarted and counts from zero.
void applyQuotaReport(QuotaBucket &Bucket, const std::string &Peer,
                      std::uint64_t Incarnation, const QuotaCounts &Counts,
                      Instant Now);

/// Computes how many requests this node may admit until the next tick, which is
/// due after `Interval`. `Nodes` is the number of nodes in the fleet. A node
/// whose rate is not known is assumed to be offered the same load as this one;
/// one that has never reported, also to admit as much.
void planQuota(QuotaBucket &Bucket, const QuotaLimit &Limit, std::size_t Nodes,
               Duration Interval, Instant Now);

/// Returns the time until a request that is refused now may be admitted,
/// between 200 ms and 3 s.
Duration quotaRetryAfter(const QuotaBucket &Bucket, const QuotaLimit &Limit);

} // namespace pollenwick

#endif
