#include "core/fairness/CustomerCounts.h"

#include <algorithm>

namespace pollenwick {
namespace {

/// Separates plan key and customer. A plan key ends in a number, so that no
/// plan key equals a name with this character behind it.
constexpr char NameSeparator = '\x1f';

} // namespace

std::string customerCountName(const std::string &PlanKey,
                              const std::string &Customer) {
  return PlanKey + NameSeparator + Customer;
}

std::vector<CustomerDemand>
customerDemand(const CustomerShares &Shares,
               const std::vector<CustomerRule> &Customers,
               const OfferedRate &OfferedPerSecond) {
  std::vector<CustomerDemand> Demand;
  for (const auto &[PlanKey, Key] : Shares.Keys) {
    const double KeyPerSecond = OfferedPerSecond(PlanKey);
    for (const CustomerRule &Customer : Customers) {
      const std::string &Name = Customer.Customer.Text;
      // A node that missed reports sees the total of a peer as the increase of
      // one interval; the demand of the key bounds it.
      const double PerSecond = std::min(
          OfferedPerSecond(customerCountName(PlanKey, Name)), KeyPerSecond);
      const auto Rate = static_cast<double>(Customer.RatePerS);
      if (PerSecond > 0)
        Demand.push_back({PlanKey, Name, {PerSecond, Rate, Rate}});
    }
  }
  return Demand;
}

} // namespace pollenwick
