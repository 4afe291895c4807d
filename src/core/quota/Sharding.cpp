#include "core/quota/Sharding.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace pollenwick {
namespace {

// FNV-1a with a finalizer. Unlike `std::hash`, it gives the same value in every
// build, so that all nodes compute the same holder.
constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;

std::uint64_t mix(std::uint64_t Value) {
  Value ^= Value >> 33U;
  Value *= 0xff51afd7ed558ccdULL;
  Value ^= Value >> 33U;
  Value *= 0xc4ceb9fe1a85ec53ULL;
  return Value ^ (Value >> 33U);
}

std::uint64_t hashText(std::string_view Text) {
  std::uint64_t Hash = FnvOffset;
  for (const char C : Text)
    Hash = (Hash ^ static_cast<unsigned char>(C)) * FnvPrime;
  return mix(Hash);
}

MicroTokens splitEvenly(MicroTokens Total, std::size_t Index,
                        std::size_t Zones) {
  const auto Count = static_cast<std::int64_t>(Zones);
  const std::int64_t Remainder =
      static_cast<std::int64_t>(Index) < Total.Value % Count ? 1 : 0;
  return MicroTokens{Total.Value / Count + Remainder};
}

} // namespace

std::vector<ZoneId> zonesOf(const Bundle &Rules) {
  std::vector<ZoneId> Zones;
  for (const HostSpec &Host : Rules.Hosts)
    Zones.push_back(Host.Zone);
  std::ranges::sort(Zones);
  Zones.erase(std::unique(Zones.begin(), Zones.end()), Zones.end());
  return Zones;
}

ShardShare shareOf(const CustomerSpec &Customer, std::size_t Index,
                   std::size_t Zones) {
  // A shard with a burst below one token could never lend, so a small burst is
  // divided among at most as many zones as it has tokens.
  const auto Tokens = static_cast<std::size_t>(
      std::max<std::int64_t>(Customer.Burst.Value / OneToken.Value, 1));
  Zones = std::min(Zones, Tokens);
  if (Index >= Zones)
    return {};
  return {splitEvenly(Customer.RatePerSecond, Index, Zones),
          splitEvenly(Customer.Burst, Index, Zones)};
}

std::vector<ShardHolder> holdersOf(const Bundle &Rules,
                                   const CustomerId &Customer) {
  const std::uint64_t CustomerHash = hashText(Customer.Text);
  std::map<ZoneId, std::pair<std::uint64_t, HostId>> BestHostByZone;
  for (const HostSpec &Host : Rules.Hosts) {
    const std::uint64_t Rank = mix(CustomerHash ^ hashText(Host.Id.Text));
    auto [Entry, Inserted] =
        BestHostByZone.try_emplace(Host.Zone, Rank, Host.Id);
    // The host id breaks ties, so that the result does not depend on the order
    // of the list.
    if (!Inserted && std::pair(Rank, Host.Id) > Entry->second)
      Entry->second = {Rank, Host.Id};
  }
  std::vector<ShardHolder> Holders;
  Holders.reserve(BestHostByZone.size());
  for (auto &[Zone, BestHost] : BestHostByZone)
    Holders.push_back({Zone, std::move(BestHost.second)});
  return Holders;
}

} // namespace pollenwick
