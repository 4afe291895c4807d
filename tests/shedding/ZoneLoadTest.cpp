#include <catch2/catch.hpp>

#include <array>
#include <string>

#include "LoadModel.h"

using namespace pollenwick;

namespace {

constexpr std::uint32_t Seed = 20261204;
constexpr Duration RunDuration = std::chrono::seconds(10);
constexpr int Zones = 3;

/// Lookups in three zones, each with four nested calls to a service that has
/// one server in each zone, a fast one in the last.
LoadModel makeModel(const std::array<double, Zones> &LookupsPerSecond) {
  std::map<std::string, ModelClass> Classes{
      {"sheet", {"routes", 40, 300, 700, 1, 0, 0, "", 0}}};
  std::map<std::string, std::vector<ModelServer>> Services;
  for (int Zone = 0; Zone < Zones; ++Zone) {
    ModelClass Lookup{"visits", 160, 1500, 5000, 2, 0, 1, "sheet", 4};
    Lookup.RequestsPerSecond =
        LookupsPerSecond.at(static_cast<std::size_t>(Zone));
    Lookup.Zone = Zone;
    Classes["lookup-" + std::to_string(Zone)] = Lookup;
    for (int I = 0; I < 2; ++I)
      Services["visits"].push_back({79, 1, 0, Duration::max(), Zone});
    Services["routes"].push_back(
        {45, Zone == Zones - 1 ? 0.6 : 1.4, 0, Duration::max(), Zone});
  }
  return LoadModel(std::move(Classes), Services, true, Seed);
}

double shareInTarget(const std::map<std::string, ModelResult> &Results) {
  double Requests = 0;
  double InTarget = 0;
  for (const auto &[Name, Result] : Results) {
    Requests += static_cast<double>(Result.Requests);
    InTarget += static_cast<double>(Result.AnsweredInTarget);
  }
  return InTarget / Requests;
}

} // namespace

TEST_CASE("Calls cross zones only as far as callers need it", "[shedding]") {
  SECTION("with an even load calls stay in their zone") {
    // Guards against traffic between zones for the sake of the fastest server,
    // although every answer is in time without it.
    LoadModel Model = makeModel({67, 67, 67});
    const double InTarget = shareInTarget(Model.simulate(RunDuration));
    INFO("share of calls in another zone " << Model.crossZoneShare());
    CHECK(InTarget > 0.99);
    CHECK(Model.crossZoneShare() < 0.05);
  }
  SECTION("equally busy zones keep their calls") {
    // Guards against calls that cross zones by chance once no server has room:
    // the expected times of all zones are alike then.
    LoadModel Model = makeModel({190, 190, 190});
    const double InTarget = shareInTarget(Model.simulate(RunDuration));
    INFO("share of calls in another zone " << Model.crossZoneShare());
    INFO("share in target " << InTarget);
    CHECK(InTarget > 0.99);
    CHECK(Model.crossZoneShare() < 0.1);
  }
  SECTION("an overloaded zone uses the servers of the others") {
    // Guards against requests that are refused or late in one zone while other
    // zones have free servers, as when many callers move to one zone.
    LoadModel Model = makeModel({350, 40, 40});
    const double InTarget = shareInTarget(Model.simulate(RunDuration));
    INFO("share of calls in another zone " << Model.crossZoneShare());
    CHECK(InTarget > 0.97);
    CHECK(Model.crossZoneShare() > 0.1);
  }
}
