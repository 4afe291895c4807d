#ifndef POLLENWICK_AGENT_FLEETSTATE_H
#define POLLENWICK_AGENT_FLEETSTATE_H

#include <map>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "agent/PeerWire.h"
#include "agent/ServiceRegistry.h"
#include "agent/Settings.h"
#include "core/fleet/CrashCounts.h"
#include "core/fleet/FleetQuota.h"
#include "core/fleet/RetryBudget.h"
#include "core/shedding/AdmissionPlan.h"

namespace pollenwick::agent {

/// What this node counts and what its peers have reported: quotas, retry
/// budgets, crashes, demand and load. All of it is lost with the process.
class FleetState {
public:
  FleetState(const Settings &Options, std::uint64_t Incarnation);

  QuotaDecision consumeQuota(const CustomerRule &Customer, Instant Now);
  Duration retryAfter(const CustomerRule &Customer) const;

  void countRequest(const RouteRule &Route, const ServiceId &Service,
                    Instant Now);
  bool tryConsumeRetry(const ServiceId &Service, Instant Now);

  void countOffered(const RouteRule &Route, int CustomerPriority,
                    bool Admitted);
  /// Counts a nested call that the local server made.
  void countNestedCall(const ServiceId &Service) {
    ++NestedCalls[Service.Text];
  }
  double admittedFraction(const RouteRule &Route, int CustomerPriority) const {
    return admittedShare(Plan, planKey(Route.Name, CustomerPriority));
  }

  void countCrash(std::uint64_t Fingerprint, Instant Now);
  bool isFingerprintQuarantined(std::uint64_t Fingerprint) const {
    return isQuarantined(Crashes, Fingerprint);
  }

  /// `Changes` holds the counts that changed since the node's last report.
  void applyStatus(const std::string &Ip, const StatusFrame &Changes,
                   Instant Now);
  /// Adds this node's counts to a status for the peers.
  void fillStatus(StatusFrame &Status) const;
  /// Plans quotas and admission until the next tick. `OwnStatus` is the status
  /// that this node sends.
  void planQuotasAndAdmission(const ServiceRegistry &Registry,
                              const StatusFrame &OwnStatus, Duration Interval,
                              Instant Now);

  const AdmissionPlan &admissionPlan() const { return Plan; }
  std::uint64_t incarnation() const { return Incarnation; }

private:
  struct NodeReport {
    StatusFrame Previous;
    StatusFrame Latest;
    Instant PreviousAt;
    Instant LatestAt;
  };
  struct OwnRouteCounts {
    std::uint64_t Admitted = 0;
    std::uint64_t Offered = 0;
  };
  RetryBudgetLimits retryTerms() const;
  QuotaBucket &bucketOf(const std::string &Customer);
  void reportIdlePeers(QuotaBucket &Bucket, const std::string &Customer,
                       Instant Now) const;
  void planAdmission(const RouteTable &Rules, Duration Interval, Instant Now);

  const Settings &Options;
  std::uint64_t Incarnation;
  std::map<std::string, QuotaBucket> QuotasByCustomer;
  std::map<std::string, RetryBudget> RetryBudgets;
  std::map<std::string, OwnRouteCounts> RouteCounts; ///< By plan key.
  std::map<std::string, std::uint64_t> NestedCalls;
  CrashCounts Crashes;
  std::map<std::string, NodeReport> Reports; ///< By node address; own included.
  AdmissionPlan Plan;
};

} // namespace pollenwick::agent

#endif
