#ifndef POLLENWICK_CORE_FAIRNESS_CUSTOMERCOUNTS_H
#define POLLENWICK_CORE_FAIRNESS_CUSTOMERCOUNTS_H

#include <functional>
#include <string>
#include <vector>

#include "core/fairness/CustomerShares.h"
#include "pollenwick/Rules.h"

namespace pollenwick {

/// Returns the name under which nodes report the requests of one customer with
/// one plan key, among their counts by plan key. It equals no plan key.
std::string customerCountName(const std::string &PlanKey,
                              const std::string &Customer);

/// Returns the offered requests per second that are reported under a name, 0 if
/// there are none.
using OfferedRate = std::function<double(const std::string &Name)>;

/// Returns the demand of the configured customers for the plan keys that
/// `Shares` counts by customer. Reported names of unknown customers or keys are
/// ignored. A customer's demand is at most that of its plan key.
std::vector<CustomerDemand>
customerDemand(const CustomerShares &Shares,
               const std::vector<CustomerRule> &Customers,
               const OfferedRate &OfferedPerSecond);

} // namespace pollenwick

#endif
