#ifndef POLLENWICK_BENCH_MODEL_SCENARIO_H
#define POLLENWICK_BENCH_MODEL_SCENARIO_H

#include <string>
#include <vector>

#include "model/Simulation.h"

namespace pollenwick::model {

/// Normal traffic, then an overload, then normal traffic again.
struct Scenario {
  std::string Name;
  double Surge = 0; ///< Offered load against the capacity; 0: normal traffic.
  double DeepSlowdown = 1;
  bool HardRetries = false;
  double HotCustomer = 1; ///< Factor on the rate of the first customer.
};

std::vector<Scenario> allScenarios();

/// Capacity of a deployment, measured in the model at low load.
struct Calibration {
  Matrix Held;         ///< Seconds of a slot by root route and service.
  double Capacity = 0; ///< Root requests/s of the mix.
};

Calibration calibrate(const Deployment &Fleet, double DeepSlowdown);

struct Timeline {
  Duration Before = std::chrono::seconds(3);
  Duration Overload = std::chrono::seconds(6);
  Duration After = std::chrono::seconds(4);
  /// Part of the overload that is not measured for goodput and fairness.
  Duration Onset = std::chrono::seconds(1);
};

struct Measures {
  double Goodput = 0; ///< Of the best allocation, at its worst full service.
  double GoodputOnset = 0;    ///< The same over the whole overload.
  double Recovery = 0;        ///< Seconds; negative if not within `After`.
  double WorstCustomer = 0;   ///< Served, of its weighted max-min fair share.
  double WorstWithinRate = 0; ///< The same over customers at their rate.
  std::vector<double> ServiceGoodput;  ///< By full service; else negative.
  std::uint64_t RefusedWithinRate = 0; ///< Requests of customers at their rate.
  double RefusedWithinRateShare = 0;
  std::uint64_t MoneyShed = 0;
  std::uint64_t MoneyShedBesideWorse = 0;
  double UsefulWork = 0; ///< Own time of answered requests, of all own time.
  std::uint64_t DeadRuns = 0;
};

Settings settingsFor(const Deployment &Fleet, const Scenario &Story,
                     Variant Kind, double Capacity, const Timeline &Times,
                     std::uint64_t Seed);

Measures measure(const Deployment &Fleet, const Scenario &Story,
                 const Calibration &Overloaded, const Timeline &Times,
                 const Counters &Count);

/// Calibrates, runs and measures.
Measures runScenario(const Deployment &Fleet, const Scenario &Story,
                     Variant Kind, const Timeline &Times, std::uint64_t Seed);

} // namespace pollenwick::model

#endif
