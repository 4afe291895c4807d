#ifndef POLLENWICK_CORE_FLEET_FLEETQUOTA_H
#define POLLENWICK_CORE_FLEET_FLEETQUOTA_H

#include <cstdint>
#include <map>
#include <string>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Rate limit of one customer.
struct QuotaLimit {
  std::int64_t RatePerSecond = 0; ///< Zero: no limit.
  std::int64_t Burst = 0;
};

/// Totals of one node since its start.
struct QuotaCounts {
  std::uint64_t Admitted = 0;
  std::uint64_t Offered = 0;
};

/// One customer's bucket as one node sees it. Every node keeps the whole
/// bucket and takes out what it admits itself and what the peers report.
/// What the peers have not reported yet is assumed from their last rates, so
/// that a partition does not multiply the limit.
struct QuotaBucket {
  struct Peer {
    QuotaCounts Counts;
    std::uint64_t Incarnation = 0;
    double AdmittedPerSecond = 0;
    double OfferedPerSecond = 0;
    double AssumedAdmissions = 0; ///< Taken out ahead of the next report.
    Instant ReportedAt;
  };
  double Level = 0;
  Instant RefilledAt;
  bool Initialized = false;
  /// Whether the bucket begins full. When a node restarts, the fleet may have
  /// spent the burst just before; the bucket then begins empty.
  bool BeginsFull = false;
  QuotaCounts OwnCounts;
  QuotaCounts OwnCountsAtLastTick;
  double OwnOfferedPerSecond = 0;
  double TickAllowance =
      0; ///< Admissions left until the next tick when scarce.
  bool Scarce = false;
  std::map<std::string, Peer> Peers;
};

enum class QuotaDecision : std::uint8_t { Admit, Refuse };

/// Decides on one request and counts it.
QuotaDecision spendQuota(QuotaBucket &Bucket, const QuotaLimit &Limit,
                         Instant Now);

/// Takes in a peer's totals. A changed `Incarnation` means that the peer
/// restarted.
void applyQuotaReport(QuotaBucket &Bucket, const std::string &Peer,
                      std::uint64_t Incarnation, const QuotaCounts &Counts,
                      Instant Now);

/// Plans the admissions until the next tick, `Interval` from now. `Nodes` is
/// the size of the fleet: a node that has not reported is taken to be asked for
/// as much as this one.
void planQuota(QuotaBucket &Bucket, const QuotaLimit &Limit, std::size_t Nodes,
               Duration Interval, Instant Now);

/// Time until a request that was refused now may be admitted.
Duration quotaRetryAfter(const QuotaBucket &Bucket, const QuotaLimit &Limit);

} // namespace pollenwick

#endif
