#include "core/fairness/CustomerShares.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// Time constant of the smoothed demand; that of the plan, so that the shares
/// of customers follow a change at the same pace.
constexpr Duration DemandTimeConstant = std::chrono::milliseconds(600);
/// Time for which customers are still counted after the plan has admitted all
/// requests of a key. A share that moves around 1 does not restart the counts.
constexpr Duration CountingHoldTime = std::chrono::seconds(2);
/// Smoothed requests per second below which a customer's demand counts as
/// unknown. It bounds the number of entries.
constexpr double MinTrackedPerSecond = 0.1;

double shareOf(const std::map<std::string, double> &ShareByPlanKey,
               const std::string &PlanKey) {
  const auto Found = ShareByPlanKey.find(PlanKey);
  return Found == ShareByPlanKey.end() ? 1.0 : Found->second;
}

/// Starts to count the customers of keys that the plan limits, and stops it for
/// those that it has not limited of late.
void updateLimitedKeys(CustomerShares &Shares,
                       const std::map<std::string, double> &ShareByPlanKey,
                       Duration Elapsed) {
  for (auto &[PlanKey, Key] : Shares.Keys)
    Key.SinceLimited += Elapsed;
  for (const auto &[PlanKey, Share] : ShareByPlanKey)
    if (Share < 1)
      Shares.Keys[PlanKey].SinceLimited = Duration{};
  std::erase_if(Shares.Keys, [](const auto &Item) {
    return Item.second.SinceLimited > CountingHoldTime;
  });
}

void smoothDemand(CustomerShares &Shares,
                  const std::vector<CustomerDemand> &Demand, Duration Elapsed) {
  const double Weight =
      1 - std::exp(-static_cast<double>(Elapsed.count()) /
                   static_cast<double>(DemandTimeConstant.count()));
  for (auto &[PlanKey, Key] : Shares.Keys)
    for (auto &[Customer, Item] : Key.ByCustomer)
      Item.SmoothedClaim.OfferedPerSecond *= 1 - Weight;
  for (const CustomerDemand &Part : Demand) {
    const auto Found = Shares.Keys.find(Part.PlanKey);
    if (Found == Shares.Keys.end())
      continue;
    CustomerClaim &Claim =
        Found->second.ByCustomer[Part.Customer].SmoothedClaim;
    const double Earlier = Claim.OfferedPerSecond;
    Claim = Part.Claim;
    Claim.OfferedPerSecond = Earlier + Part.Claim.OfferedPerSecond * Weight;
  }
  for (auto &[PlanKey, Key] : Shares.Keys)
    std::erase_if(Key.ByCustomer, [](const auto &Item) {
      return Item.second.SmoothedClaim.OfferedPerSecond < MinTrackedPerSecond;
    });
}

void divideAmongCustomers(CustomerShares::Key &Key, double CommonShare) {
  std::vector<CustomerClaim> Claims;
  double Offered = 0;
  for (const auto &[Customer, Item] : Key.ByCustomer) {
    Claims.push_back(Item.SmoothedClaim);
    Offered += Item.SmoothedClaim.OfferedPerSecond;
  }
  const std::vector<double> Rates = fairRates(Claims, CommonShare * Offered);
  std::size_t I = 0;
  for (auto &[Customer, Item] : Key.ByCustomer)
    Item.Share =
        std::clamp(Rates[I++] / Item.SmoothedClaim.OfferedPerSecond, 0.0, 1.0);
}

} // namespace

void updateCustomerShares(CustomerShares &Shares,
                          const std::vector<CustomerDemand> &Demand,
                          const std::map<std::string, double> &ShareByPlanKey,
                          Duration Elapsed) {
  updateLimitedKeys(Shares, ShareByPlanKey, Elapsed);
  smoothDemand(Shares, Demand, Elapsed);
  for (auto &[PlanKey, Key] : Shares.Keys)
    divideAmongCustomers(Key, shareOf(ShareByPlanKey, PlanKey));
}

double customerShare(const CustomerShares &Shares, const std::string &PlanKey,
                     const std::string &Customer, double CommonShare) {
  const auto Key = Shares.Keys.find(PlanKey);
  if (CommonShare >= 1 || Key == Shares.Keys.end())
    return CommonShare;
  const auto Found = Key->second.ByCustomer.find(Customer);
  return Found == Key->second.ByCustomer.end() ? CommonShare
                                               : Found->second.Share;
}

} // namespace pollenwick
