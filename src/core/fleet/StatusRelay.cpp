#include "core/fleet/StatusRelay.h"

#include <algorithm>

#include "core/hash/StableHash.h"

namespace pollenwick {

std::string chooseRelay(const std::string &OwnIp,
                        std::span<const std::string> ReachableIps) {
  // Rendezvous hashing.
  const auto Best =
      std::ranges::max_element(ReachableIps, {}, [&](const std::string &Ip) {
        return stableHash({OwnIp, Ip});
      });
  return Best == ReachableIps.end() ? std::string() : *Best;
}

} // namespace pollenwick
