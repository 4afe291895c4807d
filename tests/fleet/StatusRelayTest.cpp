#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/fleet/StatusRelay.h"

using namespace pollenwick;

namespace {

std::vector<std::string> zoneIps(int Zone, int Nodes) {
  std::vector<std::string> Ips;
  Ips.reserve(static_cast<std::size_t>(Nodes));
  for (int I = 0; I < Nodes; ++I)
    Ips.push_back("10." + std::to_string(Zone) + ".0." + std::to_string(I));
  return Ips;
}

} // namespace

TEST_CASE("A zone's nodes share the work of relaying statuses", "[fleet]") {
  // Guards against one node that passes on the statuses of a whole fleet.
  const std::vector<std::string> Relays = zoneIps(2, 20);
  std::map<std::string, int> Load;
  for (int Zone = 3; Zone < 8; ++Zone)
    for (const std::string &Origin : zoneIps(Zone, 20))
      ++Load[chooseRelay(Origin, Relays)];
  CHECK(Load.size() >= 18);
  CHECK(std::ranges::max_element(Load, {}, [](const auto &Item) {
          return Item.second;
        })->second <= 14);
}

TEST_CASE("A relay is replaced only when it cannot be reached", "[fleet]") {
  // Guards against statuses that take a new way, and may overtake each other,
  // because of another node.
  const std::vector<std::string> Relays = zoneIps(2, 20);
  const std::string Chosen = chooseRelay("10.1.0.1", Relays);
  for (const std::string &Gone : Relays) {
    std::vector<std::string> Rest = Relays;
    std::erase(Rest, Gone);
    CHECK((chooseRelay("10.1.0.1", Rest) == Chosen) == (Gone != Chosen));
  }
  CHECK(chooseRelay("10.1.0.1", {}).empty());
}
