#ifndef POLLENWICK_TESTS_SHEDDING_MIXEDLOAD_H
#define POLLENWICK_TESTS_SHEDDING_MIXEDLOAD_H

#include <map>
#include <string>
#include <vector>

#include "LoadModel.h"

namespace pollenwick {

/// Load whose innermost service "store" serves short nested calls of valuable
/// requests and a slow route of the last priority. Requests to "front" call
/// "middle" once, and that calls "store" four times.
struct MixedLoad {
  std::map<std::string, ModelClass> Classes;
  std::map<std::string, std::vector<ModelServer>> Services;
};

/// Returns the load at `Burst` times the capacity of "store". Two fifths of the
/// work there are nested calls.
inline MixedLoad mixedLoad(double Burst) {
  const std::vector<ModelServer> Store{{48, 0.7}, {48, 1}, {48, 1.4}};
  double SlotSecondsPerSecond = 0;
  for (const ModelServer &Server : Store)
    SlotSecondsPerSecond +=
        concurrencyLimit(Server.Slots) / Server.SlowdownFactor;
  constexpr double NestedMs = 55;
  constexpr double SlowMs = 880;
  const double Requests =
      Burst * 0.4 * SlotSecondsPerSecond / (4 * NestedMs / 1000);
  const double Slow = Burst * 0.6 * SlotSecondsPerSecond / (SlowMs / 1000);
  MixedLoad Load;
  Load.Classes = {
      {"order", {"front", 120, 1500, 4000, 0, 0.4 * Requests, 5, "prepare", 1}},
      {"browse",
       {"front", 120, 1500, 4000, 1, 0.6 * Requests, 2, "prepare", 1}},
      {"export", {"store", SlowMs, 5000, 10000, 2, Slow, 1, "", 0}},
      {"prepare", {"middle", 20, 1200, 3000, 1, 0, 0, "item", 4}},
      {"item", {"store", NestedMs, 600, 1500, 1, 0, 0, "", 0}}};
  Load.Services = {{"front", {{130, 0.8}, {130, 1}, {130, 1.2}}},
                   {"middle", {{100, 0.8}, {100, 1}, {100, 1.2}}},
                   {"store", Store}};
  return Load;
}

/// Sums the counts of runs with several seeds. `Prepare` sets the options of
/// each model.
inline std::map<std::string, ModelResult>
simulateMixedLoad(const MixedLoad &Load,
                  const std::function<void(LoadModel &)> &Prepare,
                  Duration CountFrom = std::chrono::seconds(3)) {
  constexpr std::uint32_t FirstSeed = 20261206;
  constexpr std::uint32_t Seeds = 5;
  std::map<std::string, ModelResult> Sum;
  for (std::uint32_t Seed = FirstSeed; Seed < FirstSeed + Seeds; ++Seed) {
    LoadModel Model(Load.Classes, Load.Services, true, Seed);
    Prepare(Model);
    for (const auto &[Name, Result] :
         Model.simulate(std::chrono::seconds(12), CountFrom)) {
      Sum[Name].Requests += Result.Requests;
      Sum[Name].AnsweredInTarget += Result.AnsweredInTarget;
      Sum[Name].AnsweredLate += Result.AnsweredLate;
      Sum[Name].Refused += Result.Refused;
    }
  }
  return Sum;
}

inline double shareInTarget(const ModelResult &Result) {
  return static_cast<double>(Result.AnsweredInTarget) /
         static_cast<double>(Result.Requests);
}

/// Returns the value of the answers as a share of that of all requests. A late
/// answer has a tenth of its value.
inline double valueShare(const MixedLoad &Load,
                         const std::map<std::string, ModelResult> &Results) {
  double Answered = 0;
  double Asked = 0;
  for (const auto &[Name, Result] : Results) {
    const double Value = Load.Classes.at(Name).RequestValue;
    Answered += Value * (static_cast<double>(Result.AnsweredInTarget) +
                         static_cast<double>(Result.AnsweredLate) / 10);
    Asked += Value * static_cast<double>(Result.Requests);
  }
  return Answered / Asked;
}

} // namespace pollenwick

#endif
