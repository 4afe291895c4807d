#ifndef POLLENWICK_CORE_RULES_ROUTETABLE_H
#define POLLENWICK_CORE_RULES_ROUTETABLE_H

#include <map>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "pollenwick/Rules.h"

namespace pollenwick {

/// Index of one configuration. Pointers refer to `Source` and live as long.
struct RouteTable {
  Rules Source;
  /// Routes of a host, the longest prefix first.
  std::map<std::string, std::vector<const RouteRule *>, std::less<>> ByHost;
  std::map<std::string, const CustomerRule *, std::less<>> ByKey;
  std::map<ServiceId, const ServiceRule *> ByService;

  RouteTable() = default;
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;
};

void indexRules(RouteTable &Table, Rules &&Source);

/// The route with the longest prefix that begins the path; null if none does.
/// `Target` may have a query, `Host` a port.
const RouteRule *findRoute(const RouteTable &Table, std::string_view Host,
                           std::string_view Target);

const CustomerRule *findCustomer(const RouteTable &Table, std::string_view Key);

/// Spreads requests over the services of a route so that each prefix of the
/// sequence follows the weights as closely as integers allow. Starts at a
/// random phase: nodes would otherwise all begin with the same service.
class WeightedRoundRobin {
public:
  explicit WeightedRoundRobin(std::uint64_t Seed) : RandomState(Seed) {}

  const ServiceId &next(const RouteRule &Route);

private:
  struct State {
    std::vector<std::uint32_t> Weights;
    std::vector<std::int64_t> CurrentWeights;
  };
  std::uint64_t RandomState;
  absl::flat_hash_map<std::string, State> Routes;
};

} // namespace pollenwick

#endif
