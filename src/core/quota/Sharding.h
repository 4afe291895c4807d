#ifndef POLLENWICK_CORE_QUOTA_SHARDING_H
#define POLLENWICK_CORE_QUOTA_SHARDING_H

#include <cstddef>
#include <cstdint>
#include <vector>

#include "pollenwick/Bundle.h"

namespace pollenwick {

/// Names a shard: the part of a customer's token bucket that belongs to one
/// availability zone.
struct ShardId {
  CustomerId Customer;
  ZoneId Zone;
  // clang-tidy 14 reports the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const ShardId &, const ShardId &) = default;
};

/// Rate and burst of one shard.
struct ShardShare {
  MicroTokens RatePerSecond;
  MicroTokens Burst;
  // clang-tidy 14 reports the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const ShardShare &, const ShardShare &) = default;
};

/// Host that a bundle assigns as the holder of one zone's shard.
struct ShardHolder {
  ZoneId Zone;
  HostId Host;
};

/// Returns the zones that have hosts, sorted by id.
std::vector<ZoneId> zonesOf(const Bundle &Rules);

/// Returns the share of the zone at `Index` in `zonesOf`; `Zones` is the number
/// of zones. If the burst has fewer tokens than there are zones, the last zones
/// get no share. The shares of all zones sum exactly to the customer's rate and
/// burst.
ShardShare shareOf(const CustomerSpec &Customer, std::size_t Index,
                   std::size_t Zones);

/// Returns the holder of each zone's shard, in the order of `zonesOf`. A holder
/// is chosen by rendezvous hashing over the hosts of its zone.
std::vector<ShardHolder> holdersOf(const Bundle &Rules,
                                   const CustomerId &Customer);

/// Returns the time after a grant for which the lender counts the lease as
/// valid. Exceeds the lifetime at the borrower by 1/64, which is more than the
/// clocks of two nodes can drift apart within it.
constexpr Duration lenderLifetime(Duration BorrowerLifetime) {
  constexpr int DriftDivisor = 64;
  return BorrowerLifetime + BorrowerLifetime / DriftDivisor;
}

/// Returns the time from the moment a majority has confirmed a host list until
/// no token that was granted under an older list can be spent.
constexpr Duration fenceWait(const Policy &Rules) {
  return lenderLifetime(Rules.ViewLease) + lenderLifetime(Rules.QuotaLease);
}

} // namespace pollenwick

#endif
