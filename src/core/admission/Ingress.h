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

/// One service's admission level as a reply carries it. A reply holds the
/// report of its own callee node and those it relays for deeper services.
struct ThresholdReport {
  ServiceIndex Service = 0;
  AdmissionLevel CustomerLevel = AdmitAll; ///< For the customer of the call.
  AdmissionLevel CommonLevel = AdmitAll;   ///< Upper bound for any customer.
  Duration Age{}; ///< Since the callee node computed it.
};

struct IngressTuning {
  /// A level is applied as reported for this long, then relaxes.
  Duration HoldTime = std::chrono::milliseconds(150);
  /// Time in which a stale level relaxes by one whole class.
  Duration RelaxTimePerClass = std::chrono::milliseconds(400);
  /// Weight of one report against the level held, so that the hosts of a
  /// service are averaged. In permille.
  std::uint32_t ReportWeightPermille = 200;
};

/// Level that an ingress holds, with the time of its newest report.
struct SmoothedLevel {
  std::uint32_t Value = AdmitAll.Value;
  std::uint32_t ReportedAtMs = 0;
};

struct CustomerCounters {
  std::uint64_t Admitted = 0;
  std::uint64_t Shed = 0;
};

/// Admission state of one ingress. Owner: the request path, under one mutex.
struct IngressState {
  IngressTuning Tuning;
  std::vector<SmoothedLevel> CommonLevels;   ///< By service.
  std::vector<SmoothedLevel> CustomerLevels; ///< By customer, then service.
  std::vector<CustomerCounters> Counters;    ///< By customer.
};

IngressState makeIngress(const BundleIndex &Index, IngressTuning Tuning = {});

struct RootRequest {
  RouteIndex Route = 0;
  CustomerIndex Customer = 0;
  std::uint64_t Hash = 0; ///< The same for all calls of the root request.
};

struct AdmitResult {
  bool Admitted = false;
  RefusalReason Reason = RefusalReason::None;
  ServiceIndex LimitingService = 0; ///< Service with the strictest level.
  AdmissionLevel AppliedLevel = AdmitAll;
  Duration RetryAfter{}; ///< Set when refused.
};

/// Decides on a root request before any work is done for it. Only root
/// requests are decided here: sub-calls belong to an admitted root.
AdmitResult admit(IngressState &State, const BundleIndex &Index,
                  const RootRequest &Request, Instant Now);

/// Learns the levels that a reply carries for the customer of the call.
void learnLevels(IngressState &State, const BundleIndex &Index,
                 CustomerIndex Customer,
                 std::span<const ThresholdReport> Reports, Instant Now);

/// Level in force for a service and a customer, after relaxation.
AdmissionLevel effectiveLevel(const IngressState &State,
                              const BundleIndex &Index, ServiceIndex Service,
                              CustomerIndex Customer, Instant Now);

/// Appends the levels of the services below `Route` that cut any request, for
/// the reply of a callee node to its caller.
void relayReports(const IngressState &State, const BundleIndex &Index,
                  RouteIndex Route, CustomerIndex Customer, Instant Now,
                  std::vector<ThresholdReport> &Reports);

} // namespace pollenwick

#endif
