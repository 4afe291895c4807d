#ifndef POLLENWICK_CORE_SHEDDING_ADMISSIONPLAN_H
#define POLLENWICK_CORE_SHEDDING_ADMISSIONPLAN_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/shedding/RouteWork.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Returns the key of the requests that share one admission rate: those of all
/// customers with one priority on one route.
std::string planKey(const std::string &Route, int CustomerPriority);

/// Returns the rank of a call in the queue of a server. The customer's priority
/// outweighs the route's; 0 is the most important rank.
int dispatchRank(int CustomerPriority, int RoutePriority);

/// Rate of the callers' requests with one plan key, summed over the fleet,
/// since the last update of the plan.
struct RouteDemand {
  std::string PlanKey; ///< See `planKey`.
  std::string Service;
  int CustomerPriority = 0; ///< 0 is the most important; below 0 counts as 0.
  int RoutePriority = 0;    ///< 0 is the most important.
  double OfferedPerSecond = 0;
  double AdmittedPerSecond = 0;
  std::string Route = {}; ///< Name of the route; empty if its work is not
                          ///< known.
};

/// Load and capacity of one service, summed over the fleet.
struct ServiceStats {
  /// Slot time requested by calls / slot time available.
  double OfferedUtilization = 0;
  double WaitingPerSlot = 0; ///< Waiting calls / slots.
  double Slots = 0; ///< Number of calls that can run at once on all servers
                    ///< together; 0 if no server is reachable.
  double MeanServiceSeconds = 0; ///< Mean time that a call holds a slot.
  /// Mean number of nested calls that one run of this service makes, by called
  /// service.
  std::map<std::string, double> NestedCallsPerRun;
  /// Calls that ended since the last update; empty if no node reports them.
  ServiceWork Work;
};

/// Share of the requests of each plan key that is admitted, with the smoothed
/// measurements behind it. The share of a request depends on every service in
/// its call tree.
struct AdmissionPlan {
  /// Smoothed utilization and latest statistics of one service.
  struct ServiceState {
    double ObservedUtilization = 0; ///< Smoothed utilization.
    /// Smoothed utilization computed from the admitted requests.
    double PredictedUtilization = 0;
    /// Share of the demand that the capacity suffices for, 0 to 1.
    double SustainableShare = 1;
    ServiceStats LatestStats;
    ServiceWork SmoothedWork;
  };
  /// Smoothed request rates of one plan key at one service.
  struct RequestRate {
    double OfferedPerSecond = 0;
    double AdmittedPerSecond = 0;
  };
  std::map<std::string, ServiceState> Services;
  std::map<std::string, double> AdmittedShareByKey;
  /// Smoothed request rates by plan key and service.
  std::map<std::pair<std::string, std::string>, RequestRate> SmoothedRates;
};

/// Returns how many calls at each service one request to `Service` causes,
/// including the call to `Service` itself.
std::map<std::string, double>
callsPerRequest(const std::string &Service,
                const std::map<std::string, ServiceStats> &Services);

/// Computes the admitted shares from the demand, the cost of each request at
/// each service, and the slots of the services. A request costs the mean slot
/// time of its own route at its service, and that of nested calls for each call
/// that follows from it; the mean over all calls stands for what is not known.
/// The predicted utilization is corrected by the observed one. A part of each
/// service's capacity is allocated by route priority alone, so that every
/// customer gets some; the rest is allocated by customer priority first and
/// route priority second. Requests of equal rank get equal shares, except that
/// cheap requests are admitted more often.
void updatePlan(AdmissionPlan &Plan, const std::vector<RouteDemand> &Demand,
                const std::map<std::string, ServiceStats> &Services,
                Duration Elapsed);

/// Returns the share of the requests with plan key `Key` to admit, 0 to 1; 1 if
/// the plan has no such key.
double admittedShare(const AdmissionPlan &Plan, const std::string &Key);

} // namespace pollenwick

#endif
