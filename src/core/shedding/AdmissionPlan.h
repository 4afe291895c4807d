#ifndef POLLENWICK_CORE_SHEDDING_ADMISSIONPLAN_H
#define POLLENWICK_CORE_SHEDDING_ADMISSIONPLAN_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Requests of callers on one route, over the fleet.
struct RouteDemand {
  std::string Route;
  std::string Service;
  int Priority = 0;        ///< 0 is the most important.
  double OfferedPerS = 0;
};

/// One service over the fleet.
struct ServiceUse {
  double OfferedUse = 0; ///< Slot time asked for / slot time there.
  double WaitShare = 0;  ///< Waiting calls / slots.
  /// Nested calls that one run causes, by service.
  std::map<std::string, double> CallsPerRun;
};

/// Share of the requests of each route that is admitted. It follows the
/// services that a request reaches, down to the deepest.
struct AdmissionPlan {
  std::map<std::string, double> KeepByService; ///< Of the demand there.
  std::map<std::string, double> ShareByRoute;
};

/// Calls at each service that one request to `Service` causes, itself included.
std::map<std::string, double>
reachOf(const std::string &Service,
        const std::map<std::string, ServiceUse> &Services);

/// Adapts the plan to what was seen since the last update, `Elapsed` ago. A
/// service that is asked for more than it has gets less; what it can carry is
/// given to the routes in the order of their priority, and equally to routes
/// of one priority.
void updatePlan(AdmissionPlan &Plan, const std::vector<RouteDemand> &Demand,
                const std::map<std::string, ServiceUse> &Services,
                Duration Elapsed);

/// Share of a route's requests to admit; 1 for a route without a plan.
double admittedShare(const AdmissionPlan &Plan, const std::string &Route);

} // namespace pollenwick

#endif
