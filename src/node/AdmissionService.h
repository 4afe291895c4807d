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

/// Admission of root requests by the levels learned from replies. Thread-safe.
class AdmissionService {
public:
  void onBundle(const BundlePtr &New);

  /// Empty when admitted; otherwise the refusal, which is always "not run".
  std::optional<Refusal> admitRoot(const RouteId &Route,
                                   const CustomerId &Customer,
                                   std::uint64_t Hash);
  void recordLoadReport(const CustomerId &Customer, const LoadReport &Load);
  /// Levels of the services below a route, for a reply to the caller's node.
  std::vector<ServiceThreshold>
  downstreamThresholds(const RouteId &Route, const CustomerId &Customer) const;
  void dump(Poco::JSON::Object &Out) const;

private:
  mutable std::mutex Mutex;
  BundlePtr Bundle; ///< The bundle whose indexes `State` uses.
  IngressState State;
};

/// Index of a customer in the table; open routes without a key use the first.
CustomerIndex customerIndex(const BundleIndex &Reach,
                            const CustomerId &Customer);

ServiceThreshold toNamedThreshold(const BundleIndex &Reach,
                                  const ThresholdReport &Report);

} // namespace pollenwick

#endif
