#ifndef POLLENWICK_CORE_FAIRNESS_CUSTOMERSHARES_H
#define POLLENWICK_CORE_FAIRNESS_CUSTOMERSHARES_H

#include <map>
#include <string>
#include <vector>

#include "core/fairness/FairRates.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Requests of one customer with one plan key, summed over the fleet, since the
/// last update of the shares.
struct CustomerDemand {
  std::string PlanKey; ///< See `planKey`.
  std::string Customer;
  CustomerClaim Claim;
};

/// Share of the requests of each customer that is admitted, for the plan keys
/// whose requests the plan does not all admit.
struct CustomerShares {
  struct Entry {
    CustomerClaim SmoothedClaim;
    double Share = 1;
  };
  /// Customers of one plan key.
  struct Key {
    /// Time since the plan last admitted less than all requests of the key.
    Duration SinceLimited{};
    std::map<std::string, Entry> ByCustomer;
  };
  std::map<std::string, Key> Keys;
};

/// Computes the customers' shares of each plan key by `fairRates`, so that they
/// admit together what the key's share in `ShareByPlanKey` admits of the same
/// demand.
void updateCustomerShares(CustomerShares &Shares,
                          const std::vector<CustomerDemand> &Demand,
                          const std::map<std::string, double> &ShareByPlanKey,
                          Duration Elapsed);

/// Returns whether requests with this plan key must be counted by customer.
inline bool needsCustomerCounts(const CustomerShares &Shares,
                                const std::string &PlanKey) {
  return Shares.Keys.contains(PlanKey);
}

/// Returns the share of the customer's requests to admit, 0 to 1. It is
/// `CommonShare`, the share of the plan key, for a customer whose demand is not
/// known.
double customerShare(const CustomerShares &Shares, const std::string &PlanKey,
                     const std::string &Customer, double CommonShare);

} // namespace pollenwick

#endif
