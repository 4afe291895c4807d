#ifndef POLLENWICK_AGENT_FLEETSTATE_H
#define POLLENWICK_AGENT_FLEETSTATE_H

#include <map>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "agent/PeerWire.h"
#include "agent/ServiceRegistry.h"
#include "agent/Settings.h"
#include "core/fairness/CustomerShares.h"
#include "core/fleet/CrashCounts.h"
#include "core/fleet/FleetQuota.h"
#include "core/fleet/RetryBudget.h"
#include "core/shedding/AdmissionPlan.h"

namespace pollenwick::agent {

/// Holds this node's counts and the reports of its peers: quotas, retry
/// budgets, crashes, demand and load. Nothing is stored, so all of it is lost
/// when the process ends.
class FleetState {
public:
  FleetState(const Settings &Options, std::uint64_t Incarnation);

  /// Takes one request from the customer's quota, if it allows one.
  QuotaDecision consumeQuota(const CustomerRule &Customer, Instant Now);
  /// Returns the time after which the customer's quota allows a request again.
  Duration retryAfter(const CustomerRule &Customer) const;

  /// Counts a caller's request, which adds to the service's retry budget.
  void countRequest(const RouteRule &Route, const ServiceId &Service,
                    Instant Now);
  /// Takes one retry from the budget of the service and of each service that
  /// its nested calls reach. Returns false, and takes nothing, if one of these
  /// budgets is exhausted.
  bool tryConsumeRetry(const ServiceId &Service, Instant Now);

  /// Counts a caller's request for the demand that peers are told of. Requests
  /// that the customer's quota refuses are not counted. `Customer` is empty
  /// when no customer was identified.
  void countOffered(const RouteRule &Route, int CustomerPriority,
                    const std::string &Customer, bool Admitted);
  /// Counts a nested call that the local server made.
  void countNestedCall(const ServiceId &Service) {
    ++NestedCalls[Service.Text];
  }
  /// Returns the planned share of requests to admit, from 0 to 1.
  double admittedFraction(const RouteRule &Route, int CustomerPriority) const {
    return admittedShare(Plan, planKey(Route.Name, CustomerPriority));
  }

  /// Returns the share of one customer's requests to admit, from 0 to 1.
  double admittedFraction(const RouteRule &Route, int CustomerPriority,
                          const std::string &Customer) const;

  /// Counts a server crash during a request with this fingerprint.
  void countCrash(std::uint64_t Fingerprint, Instant Now);
  /// Counts a call with this fingerprint that the local server answered.
  void countCompletion(std::uint64_t Fingerprint) {
    pollenwick::countCompletion(Crashes, Fingerprint, Options.Ip);
  }
  bool isFingerprintQuarantined(std::uint64_t Fingerprint) const {
    return isQuarantined(Crashes, Fingerprint);
  }

  /// Applies the report of the node at `Ip`. `Changes` holds the counts that
  /// changed since that node's previous report.
  void applyStatus(const std::string &Ip, const StatusFrame &Changes,
                   Instant Now);
  /// Adds this node's counts to the status that is sent to peers.
  void fillStatus(StatusFrame &Status) const;
  /// Computes quotas and the admission plan for the next `Interval`.
  /// `OwnStatus` is the status that this node sends to its peers.
  void planQuotasAndAdmission(const ServiceRegistry &Registry,
                              const StatusFrame &OwnStatus, Duration Interval,
                              Instant Now);

  const AdmissionPlan &admissionPlan() const { return Plan; }
  const CustomerShares &customerShares() const { return SharesByCustomer; }
  std::uint64_t incarnation() const { return Incarnation; }

private:
  /// The last two reports of a node, whose difference gives rates.
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
  RetryBudgetLimits retryBudgetLimits() const;
  QuotaBucket &bucketOf(const std::string &Customer);
  void reportIdlePeers(QuotaBucket &Bucket, const std::string &Customer,
                       Instant Now) const;
  /// Returns the lowest failure rate of the servers of each service.
  std::map<std::string, ServiceBaseline> failureBaselines(Instant Now) const;
  void planAdmission(const RouteTable &Rules, Duration Interval, Instant Now);

  const Settings &Options;
  std::uint64_t Incarnation;
  std::map<std::string, QuotaBucket> QuotasByCustomer;
  std::map<std::string, RetryBudget> RetryBudgets;
  /// Keyed by plan key, or by `customerCountName`.
  std::map<std::string, OwnRouteCounts> RouteCounts;
  std::map<std::string, std::uint64_t> NestedCalls; ///< Keyed by service.
  CrashCounts Crashes;
  std::map<std::string, NodeReport>
      Reports; ///< Keyed by node address; includes own.
  AdmissionPlan Plan;
  CustomerShares SharesByCustomer;
};

} // namespace pollenwick::agent

#endif
