#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/hosts/SourceReaders.h"

using namespace pollenwick;

namespace {

constexpr std::uint32_t Seed = 20261204;

/// The nodes of one zone. Each sees the others that are up.
struct Zone {
  std::vector<std::string> Ips;
  std::set<std::string> Down;
  std::set<std::string> SourceLost;

  explicit Zone(std::size_t Nodes) {
    for (std::size_t I = 0; I < Nodes; ++I)
      Ips.push_back("10.1." + std::to_string(I / 250) + "." +
                    std::to_string(I % 250));
  }

  SourceUse useOf(const std::string &Own, std::size_t PerZone) const {
    std::vector<ZonePeer> Peers;
    for (const std::string &Ip : Ips)
      if (Ip != Own)
        Peers.push_back({Ip, !Down.contains(Ip), SourceLost.contains(Ip)});
    return chooseSourceUse(Own, Peers, PerZone);
  }

  std::vector<std::string> nodesWith(SourceUse Use, std::size_t PerZone) const {
    std::vector<std::string> Result;
    std::ranges::copy_if(
        Ips, std::back_inserter(Result), [&](const std::string &Ip) {
          return !Down.contains(Ip) && useOf(Ip, PerZone) == Use;
        });
    return Result;
  }
};

} // namespace

TEST_CASE("A fixed number of nodes of a zone read the source", "[hosts]") {
  // Guards against reads that grow with the number of nodes.
  const std::size_t Nodes = GENERATE(1, 6, 20, 60, 200);
  const std::size_t PerZone = GENERATE(1, 2, 3);
  const Zone All(Nodes);
  CHECK(All.nodesWith(SourceUse::Read, PerZone).size() ==
        std::min(Nodes, PerZone));
}

TEST_CASE("A fleet has spare readers whatever its number of zones", "[hosts]") {
  for (std::size_t Zones = 1; Zones <= 9; ++Zones)
    CHECK(Zones * readersPerZone(Zones) >= 3);
  CHECK(readersPerZone(5) == 1);
}

TEST_CASE("Another node reads in place of a reader that cannot", "[hosts]") {
  Zone Nodes(20);
  const std::string First = Nodes.nodesWith(SourceUse::Read, 1).front();

  SECTION("because it is gone, frozen or cut off from its peers") {
    Nodes.Down.insert(First);
    CHECK(Nodes.nodesWith(SourceUse::Read, 1).size() == 1);
    // A node that reaches nobody reads for itself.
    CHECK(chooseSourceUse(First, {}, 1) == SourceUse::Read);
  }
  SECTION("because it cannot reach the source") {
    // It goes on trying, so there are two.
    Nodes.SourceLost.insert(First);
    const std::vector<std::string> Readers =
        Nodes.nodesWith(SourceUse::Read, 1);
    CHECK(Readers.size() == 2);
    CHECK(std::ranges::count(Readers, First) == 1);
  }
  SECTION("whichever nodes are down or cut off from the source") {
    std::minstd_rand Random(Seed);
    for (int Round = 0; Round < 300; ++Round) {
      Zone Faulty(20);
      for (const std::string &Ip : Faulty.Ips) {
        if (Random() % 3 == 0)
          Faulty.Down.insert(Ip);
        if (Random() % 2 == 0)
          Faulty.SourceLost.insert(Ip);
      }
      const auto Able = static_cast<std::size_t>(
          std::ranges::count_if(Faulty.Ips, [&](const std::string &Ip) {
            return !Faulty.Down.contains(Ip) && !Faulty.SourceLost.contains(Ip);
          }));
      std::size_t AbleReaders = 0;
      for (const SourceUse Use : {SourceUse::Read, SourceUse::Probe})
        for (const std::string &Ip : Faulty.nodesWith(Use, 2))
          AbleReaders += Faulty.SourceLost.contains(Ip) ? 0 : 1;
      INFO("round " << Round << " of seed " << Seed);
      REQUIRE(AbleReaders == std::min<std::size_t>(Able, 2));
    }
  }
}

TEST_CASE("A source that is away is not asked by all nodes quickly",
          "[hosts]") {
  // Guards against reads that all count toward the limit of a source that
  // refuses every node.
  Zone Nodes(40);
  Nodes.SourceLost.insert(Nodes.Ips.begin(), Nodes.Ips.end());
  CHECK(Nodes.nodesWith(SourceUse::Read, 1).size() <= 2);
  CHECK(Nodes.nodesWith(SourceUse::Idle, 1).empty());
}
