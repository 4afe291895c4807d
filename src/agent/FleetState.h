#ifndef POLLENWICK_AGENT_FLEETSTATE_H
#define POLLENWICK_AGENT_FLEETSTATE_H

#include <map>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "agent/Directory.h"
#include "agent/PeerWire.h"
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
  FleetState(const Settings &Options, std::uint64_t Start);

  QuotaDecision spend(const CustomerRule &Customer, Instant Now);
  Duration retryAfter(const CustomerRule &Customer) const;

  void countRequest(const RouteRule &Route, const ServiceId &Service,
                    Instant Now);
  bool takeRepeat(const ServiceId &Service, Instant Now);

  void countOffered(const RouteRule &Route, int CustomerPriority,
                    bool Admitted);
  /// Counts a nested call that the local server made.
  void countNested(const ServiceId &Service) { ++Nested[Service.Text]; }
  double share(const RouteRule &Route, int CustomerPriority) const {
    return admittedShare(Plan, planKey(Route.Name, CustomerPriority));
  }

  void countCrash(std::uint64_t Fingerprint, Instant Now);
  bool quarantined(std::uint64_t Fingerprint) const {
    return isQuarantined(Crashes, Fingerprint);
  }

  /// `Changes` holds the counts that changed since the node's last report.
  void takeStatus(const std::string &Ip, const StatusFrame &Changes,
                  Instant Now);
  /// Adds this node's counts to a status for the peers.
  void fillStatus(StatusFrame &Status) const;
  /// Plans quotas and admission until the next tick. `Own` is the status that
  /// this node sends.
  void plan(const Directory &Hosts, const StatusFrame &Own, Duration Interval,
            Instant Now);

  const AdmissionPlan &admission() const { return Plan; }
  std::uint64_t start() const { return Start; }

private:
  struct Report {
    StatusFrame Before;
    StatusFrame Latest;
    Instant BeforeAt;
    Instant LatestAt;
  };
  struct OwnRoute {
    std::uint64_t Admitted = 0;
    std::uint64_t Offered = 0;
  };
  RetryBudgetLimits retryTerms() const;
  QuotaBucket &bucketOf(const std::string &Customer);
  void hearIdlePeers(QuotaBucket &Bucket, const std::string &Customer,
                     Instant Now) const;
  void planAdmission(const RouteTable &Rules, Duration Interval, Instant Now);

  const Settings &Options;
  std::uint64_t Start;
  std::map<std::string, QuotaBucket> Quotas;
  std::map<std::string, RetryBudget> Budgets;
  std::map<std::string, OwnRoute> Routes; ///< By plan key.
  std::map<std::string, std::uint64_t> Nested;
  CrashCounts Crashes;
  std::map<std::string, Report> Reports; ///< By node address; own included.
  AdmissionPlan Plan;
};

} // namespace pollenwick::agent

#endif
