#ifndef POLLENWICK_CORE_SHEDDING_ADMISSIONPLAN_H
#define POLLENWICK_CORE_SHEDDING_ADMISSIONPLAN_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Names the requests that are planned together: those of customers of one
/// priority on one route.
std::string planKey(const std::string &Route, int CustomerPriority);

/// Place of a request in front of a server: its customer's priority goes before
/// its route's. 0 is the most important.
int dispatchRank(int CustomerPriority, int RoutePriority);

/// Requests of callers with one plan key, over the fleet, since the last
/// update.
struct RouteDemand {
  std::string PlanKey; ///< See `planKey`.
  std::string Service;
  int CustomerPriority = 0; ///< 0 is the most important; below 0 counts as 0.
  int RoutePriority = 0;    ///< 0 is the most important.
  double OfferedPerSecond = 0;
  double AdmittedPerSecond = 0;
};

/// One service over the fleet.
struct ServiceStats {
  double OfferedUtilization = 0; ///< Slot time asked for / slot time there.
  double WaitingPerSlot = 0;     ///< Waiting calls / slots.
  double Slots = 0; ///< Calls that run at once, over all servers. None:
                    ///< no server can be reached.
  double MeanServiceSeconds = 0; ///< Mean time that a call holds a slot.
  /// Nested calls that one run causes, by service.
  std::map<std::string, double> NestedCallsPerRun;
};

/// Share of the requests of each plan key that is admitted. It follows the
/// services that a request reaches, down to the deepest.
struct AdmissionPlan {
  struct ServiceState {
    double ObservedUtilization = 0; ///< Smoothed use.
    double PredictedUtilization =
        0; ///< Smoothed use that the admitted requests explain.
    double SustainableShare = 1; ///< Share of the demand that fits.
    ServiceStats LatestStats;
  };
  struct RequestRate {
    double OfferedPerSecond = 0;
    double AdmittedPerSecond = 0;
  };
  std::map<std::string, ServiceState> Services;
  std::map<std::string, double> AdmittedShareByKey;
  /// Smoothed, by plan key and service.
  std::map<std::pair<std::string, std::string>, RequestRate> SmoothedRates;
};

/// Calls at each service that one request to `Service` causes, itself included.
std::map<std::string, double>
callsPerRequest(const std::string &Service,
                const std::map<std::string, ServiceStats> &Services);

/// Plans from the demand, what each request costs at each service, and the
/// slots there; what was observed corrects the prediction. A part of what a
/// service can carry is given out by the routes' priority alone, so that no
/// customer is left without; the rest by the customer's priority, then the
/// route's. Requests of one rank share equally.
void updatePlan(AdmissionPlan &Plan, const std::vector<RouteDemand> &Demand,
                const std::map<std::string, ServiceStats> &Services,
                Duration Elapsed);

/// Share of the requests with a plan key to admit; 1 for one without a plan.
double admittedShare(const AdmissionPlan &Plan, const std::string &Key);

} // namespace pollenwick

#endif
