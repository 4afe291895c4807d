#ifndef POLLENWICK_CORE_ADMISSION_INGRESS_H
#define POLLENWICK_CORE_ADMISSION_INGRESS_H

#include <cstdint>
#include <span>
#include <vector>

#include "core/admission/AdmissionLevel.h"
#include "core/admission/BundleIndex.h"
#include "pollenwick/Outcome.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Admission level of one service, as carried by a reply. A reply holds the
/// report of its own callee node and the reports that this node relays for
/// services deeper in the call graph.
struct ThresholdReport {
  ServiceIndex Service = 0;
  /// Level for the customer of the call.
  AdmissionLevel CustomerLevel = AdmitAll;
  /// Upper bound of the levels of all customers.
  AdmissionLevel CommonLevel = AdmitAll;
  Duration Age{}; ///< Time since the callee node computed the levels.
};

/// Parameters that determine how an ingress applies reported levels.
struct IngressTuning {
  /// Time for which a level is applied unchanged after its newest report. After
  /// that it is stale and relaxes.
  Duration HoldTime = std::chrono::milliseconds(150);
  /// Time in which a stale level relaxes by one whole class.
  Duration RelaxTimePerClass = std::chrono::milliseconds(400);
  /// Weight of one report in the moving average of the level, in permille. The
  /// average covers the reports of all hosts of a service.
  std::uint32_t ReportWeightPermille = 200;
};

/// Moving average of a reported level, with the time of its newest report.
struct SmoothedLevel {
  std::uint32_t Value = AdmitAll.Value;
  std::uint32_t ReportedAtMs = 0; ///< Time of that report, ms; wraps around.
};

/// Numbers of root requests of one customer.
struct CustomerCounters {
  std::uint64_t Admitted = 0;
  std::uint64_t Shed = 0;
};

/// Admission state of one ingress. The request path owns it and protects it by
/// one mutex.
struct IngressState {
  IngressTuning Tuning;
  std::vector<SmoothedLevel> CommonLevels;   ///< By service.
  std::vector<SmoothedLevel> CustomerLevels; ///< By customer, then service.
  std::vector<CustomerCounters> Counters;    ///< By customer.
};

/// Creates a state that admits every request.
IngressState makeIngress(const BundleIndex &Index, IngressTuning Tuning = {});

/// Properties of a root request that decide on its admission.
struct RootRequest {
  RouteIndex Route = 0;
  CustomerIndex Customer = 0;
  std::uint64_t Hash = 0; ///< The same for all calls of the root request.
};

/// Decision on a root request.
struct AdmitResult {
  bool Admitted = false;
  RefusalReason Reason = RefusalReason::None;
  ServiceIndex LimitingService = 0; ///< Service with the strictest level.
  AdmissionLevel AppliedLevel = AdmitAll;
  Duration RetryAfter{}; ///< Time after which to retry; zero if admitted.
};

/// Decides on a root request before any work is done for it, and counts it.
/// Sub-calls need no decision because they belong to an admitted root request.
AdmitResult admit(IngressState &State, const BundleIndex &Index,
                  const RootRequest &Request, Instant Now);

/// Updates the averaged levels from the reports in a reply to a call of
/// `Customer`.
void learnLevels(IngressState &State, const BundleIndex &Index,
                 CustomerIndex Customer,
                 std::span<const ThresholdReport> Reports, Instant Now);

/// Returns the level that applies now to a service and a customer, including
/// the relaxation of stale levels.
AdmissionLevel effectiveLevel(const IngressState &State,
                              const BundleIndex &Index, ServiceIndex Service,
                              CustomerIndex Customer, Instant Now);

/// Appends reports for the services that calls of `Route` reach, except its
/// own, to the reply of a callee node. Services whose levels admit every
/// request are omitted.
void relayReports(const IngressState &State, const BundleIndex &Index,
                  RouteIndex Route, CustomerIndex Customer, Instant Now,
                  std::vector<ThresholdReport> &Reports);

} // namespace pollenwick

#endif
