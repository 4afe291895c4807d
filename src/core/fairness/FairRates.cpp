#include "core/fairness/FairRates.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pollenwick {
namespace {

bool isUsable(double Value) { return std::isfinite(Value) && Value > 0; }

/// Returns the weights with the unset ones replaced by the mean of the others,
/// so that a customer without a configured rate is neither starved nor
/// preferred.
std::vector<double> usableWeights(const std::vector<CustomerClaim> &Claims) {
  double Sum = 0;
  double Count = 0;
  for (const CustomerClaim &Claim : Claims)
    if (isUsable(Claim.Weight)) {
      Sum += Claim.Weight;
      ++Count;
    }
  const double Mean = Count > 0 ? Sum / Count : 1.0;
  std::vector<double> Weights(Claims.size());
  std::ranges::transform(Claims, Weights.begin(),
                         [&](const CustomerClaim &Claim) {
                           return isUsable(Claim.Weight) ? Claim.Weight : Mean;
                         });
  return Weights;
}

/// Adds to each rate its share of `Capacity`, at most the demand of the
/// customer. Returns the capacity that is left.
double fillByWeight(const std::vector<double> &Demands,
                    const std::vector<double> &Weights, double Capacity,
                    std::vector<double> &Rates) {
  std::vector<std::size_t> Order(Demands.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  // Customers that need the lowest level are satisfied first, and what they
  // leave raises the level of the others.
  std::ranges::sort(Order, {},
                    [&](std::size_t I) { return Demands[I] / Weights[I]; });
  double WeightLeft = std::accumulate(Weights.begin(), Weights.end(), 0.0);
  for (const std::size_t I : Order) {
    const double Share =
        WeightLeft > 0 ? Capacity * Weights[I] / WeightLeft : Capacity;
    const double Given = std::clamp(Share, 0.0, Demands[I]);
    Rates[I] += Given;
    Capacity = std::max(0.0, Capacity - Given);
    WeightLeft -= Weights[I];
  }
  return Capacity;
}

} // namespace

std::vector<double> fairRates(const std::vector<CustomerClaim> &Claims,
                              double CapacityPerSecond) {
  const std::vector<double> Weights = usableWeights(Claims);
  std::vector<double> WithinLimit;
  std::vector<double> BeyondLimit;
  for (const CustomerClaim &Claim : Claims) {
    const double Offered =
        isUsable(Claim.OfferedPerSecond) ? Claim.OfferedPerSecond : 0.0;
    const double Within = isUsable(Claim.LimitPerSecond)
                              ? std::min(Offered, Claim.LimitPerSecond)
                              : Offered;
    WithinLimit.push_back(Within);
    BeyondLimit.push_back(Offered - Within);
  }
  std::vector<double> Rates(Claims.size(), 0.0);
  const double Left = fillByWeight(WithinLimit, Weights,
                                   std::max(0.0, CapacityPerSecond), Rates);
  fillByWeight(BeyondLimit, Weights, Left, Rates);
  return Rates;
}

} // namespace pollenwick
