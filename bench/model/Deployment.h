#ifndef POLLENWICK_BENCH_MODEL_DEPLOYMENT_H
#define POLLENWICK_BENCH_MODEL_DEPLOYMENT_H

#include <string>
#include <vector>

#include "core/admission/BundleIndex.h"
#include "pollenwick/Bundle.h"

namespace pollenwick::model {

/// A deployment of the design page with assumed service times and traffic.
struct Deployment {
  std::string Name;
  Bundle Rules;
  BundleIndex Reach;
  std::vector<double> Share;     ///< Of root traffic, by route; sums to 1.
  std::vector<Duration> OwnTime; ///< Mean, by route.
  std::vector<double>
      CustomerShare;       ///< Of root traffic, by customer; sums to 1.
  Duration BetweenZones{}; ///< One way.
  Duration FromClient{};   ///< One way.
  ServiceIndex Deep = 0;   ///< Service that the scenarios slow down.
};

Deployment lantern();
Deployment pier();

} // namespace pollenwick::model

#endif
