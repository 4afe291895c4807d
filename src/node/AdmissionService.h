#ifndef POLLENWICK_NODE_ADMISSIONSERVICE_H
#define POLLENWICK_NODE_ADMISSIONSERVICE_H

#include <mutex>
#include <optional>
#include <vector>

#include <Poco/JSON/Object.h>

#include "core/admission/Ingress.h"
#include "node/ActiveBundle.h"
#include "peer/Calls.h"

namespace pollenwick {

/// Admits or refuses root requests by the admission levels that replies of
/// other nodes report for each service. Thread-safe.
class AdmissionService {
public:
  /// Discards the learned levels if the bundle changes the services or
  /// customers, because the levels are stored by their indexes.
  void onBundle(const BundlePtr &New);

  /// Decides on a root request. Returns nothing if it is admitted, otherwise
  /// the refusal, whose outcome is always "not run".
  std::optional<Refusal> admitRoot(const RouteId &Route,
                                   const CustomerId &Customer,
                                   std::uint64_t Hash);
  /// Learns the admission levels in the load report of a reply.
  void recordLoadReport(const CustomerId &Customer, const LoadReport &Load);
  /// Returns the learned levels of the services that calls of a route reach
  /// downstream, for the reply to the caller's node.
  std::vector<ServiceThreshold>
  downstreamThresholds(const RouteId &Route, const CustomerId &Customer) const;
  void dump(Poco::JSON::Object &Out) const;

private:
  mutable std::mutex Mutex;
  BundlePtr Bundle; ///< Bundle that defines the indexes in `State`.
  IngressState State;
};

/// Returns the index of a customer, or 0 if the bundle does not list it; calls
/// on open routes without a key have no customer and so count for index 0.
CustomerIndex customerIndex(const BundleIndex &Reach,
                            const CustomerId &Customer);

/// Converts a report to the form sent to other nodes, which names the service
/// because indexes differ between bundles.
ServiceThreshold toNamedThreshold(const BundleIndex &Reach,
                                  const ThresholdReport &Report);

} // namespace pollenwick

#endif
