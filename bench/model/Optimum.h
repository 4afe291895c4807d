#ifndef POLLENWICK_BENCH_MODEL_OPTIMUM_H
#define POLLENWICK_BENCH_MODEL_OPTIMUM_H

#include <vector>

#include "model/Deployment.h"

namespace pollenwick::model {

/// Values by row and column, for example root route and service.
using Matrix = std::vector<std::vector<double>>;

struct Optimum {
  Matrix Served;               ///< By root route and customer, requests/s.
  std::vector<bool> Saturated; ///< By service.
};

/// Class-first, weighted max-min allocation of the slots by progressive
/// filling. `Demand`: by root route and customer, requests/s. `Held`: seconds
/// of a slot by root route and service. `Slots`: by service.
Optimum fillSlots(const Deployment &Fleet, const Matrix &Demand,
                  const Matrix &Held, const std::vector<double> &Slots);

/// Root requests/s of the deployment's mix that saturate the first service.
double mixCapacity(const Deployment &Fleet, const Matrix &Held,
                   const std::vector<double> &Slots);

} // namespace pollenwick::model

#endif
