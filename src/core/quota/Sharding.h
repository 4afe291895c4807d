#ifndef POLLENWICK_CORE_QUOTA_SHARDING_H
#define POLLENWICK_CORE_QUOTA_SHARDING_H

#include <cstddef>
#include <cstdint>
#include <vector>

#include "pollenwick/Bundle.h"

namespace pollenwick {

/// The part of a customer's token bucket that one zone keeps.
struct ShardId {
  CustomerId Customer;
  ZoneId Zone;
  // clang-tidy 14 reports the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const ShardId &, const ShardId &) = default;
};

struct ShardShare {
  MicroTokens RatePerSecond;
  MicroTokens Burst;
  // clang-tidy 14 reports the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const ShardShare &, const ShardShare &) = default;
};

/// Holder of a shard according to a bundle.
struct ShardHolder {
  ZoneId Zone;
  HostId Host;
};

/// Zones that have hosts, in order.
std::vector<ZoneId> zonesOf(const Bundle &Rules);

/// Share of the zone with this index. A burst of fewer tokens than zones leaves
/// some zones without a share. The shares of all zones sum exactly to
/// the customer's rate and burst.
ShardShare shareOf(const CustomerSpec &Customer, std::size_t Index,
                   std::size_t Zones);

/// Holder of each zone's shard, in the order of `zonesOf`, by rendezvous
/// hashing over the hosts of the zone.
std::vector<ShardHolder> holdersOf(const Bundle &Rules,
                                   const CustomerId &Customer);

/// Time for which a lender counts a lease after granting it. Exceeds the
/// borrower's lifetime by more than clocks drift apart within it.
constexpr Duration lenderLifetime(Duration BorrowerLifetime) {
  constexpr int DriftDivisor = 64;
  return BorrowerLifetime + BorrowerLifetime / DriftDivisor;
}

/// Time from the anchoring of a host list until no token that was granted
/// under an older one can be spent.
constexpr Duration fenceWait(const Policy &Rules) {
  return lenderLifetime(Rules.ViewLease) + lenderLifetime(Rules.QuotaLease);
}

} // namespace pollenwick

#endif
