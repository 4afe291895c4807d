#ifndef POLLENWICK_CORE_RULES_ROUTETABLE_H
#define POLLENWICK_CORE_RULES_ROUTETABLE_H

#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "pollenwick/Rules.h"

namespace pollenwick {

/// Index of one configuration by host, key and service. The pointers refer to
/// `Source` and are valid as long as the table.
struct RouteTable {
  Rules Source;
  /// Routes of each host, the longest path prefix first.
  std::map<std::string, std::vector<const RouteRule *>, std::less<>> ByHost;
  std::map<std::string, const CustomerRule *, std::less<>> ByKey;
  std::map<ServiceId, const ServiceRule *> ByService;
  /// The services that have a rule or a route.
  std::set<ServiceId> NamedServices;

  RouteTable() = default;
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;
};

/// Fills an empty table from a configuration.
void indexRules(RouteTable &Table, Rules &&Source);

/// Returns the route of `Host` with the longest prefix that matches the path,
/// or null if none matches. A query in `Target` and a port in `Host` are
/// ignored.
const RouteRule *findRoute(const RouteTable &Table, std::string_view Host,
                           std::string_view Target);

/// Returns the customer of a key, or null if the key is unknown.
const CustomerRule *findCustomer(const RouteTable &Table, std::string_view Key);

/// Distributes the requests of a route over its services so that every prefix
/// of the sequence follows the weights as closely as integers allow. The
/// sequence starts at a random position; otherwise all nodes would begin with
/// the same service.
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
