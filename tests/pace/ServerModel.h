#ifndef POLLENWICK_TESTS_PACE_SERVERMODEL_H
#define POLLENWICK_TESTS_PACE_SERVERMODEL_H

#include <cstdint>

#include "core/pace/PaceLimit.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// A server, its callers and how long to simulate them.
struct ModelSetup {
  std::uint32_t Slots = 32;
  double CallsPerSecond = 500;
  /// Time at the start with a fifth of the calls.
  Duration RampUp{};
  double WorkMs = 50; ///< Mean time of a call at usual speed and low load.
  Duration Length = std::chrono::seconds(20);
  bool StartsCold = false; ///< Whether it has just started.
  bool StartsWarm = false; ///< It has just started, and is not cold.
  /// Calls at once with the highest throughput while it is cold.
  double ColdKnee = 8;
  /// Share of the slots above which calls take longer; 1: never.
  double WarmKnee = 1;
  double MaxHostSlowdown = 1; ///< Of its host; redrawn every `HostPeriod`.
  Duration HostPeriod = std::chrono::milliseconds(50);
  bool ReportsSlowdown = false;
  /// A report that is wrong from second 5 on; 0: none.
  double WrongSlowdown = 0;
  bool AlwaysReportsFull = false;
  double RejectedShare = 0; ///< Calls rejected whatever the load is.
};

/// What callers got, and the limit.
struct ModelOutcome {
  std::uint32_t InTarget = 0;
  std::uint32_t Late = 0;
  std::uint32_t Refused = 0;
  std::uint32_t Lost = 0; ///< Running when the server crashed.
  std::uint32_t Crashes = 0;
  double MeanLimit = 0; ///< Over time.
  std::uint32_t LeastLimit = 0;
  std::uint32_t FinalLimit = 0;
};

/// Simulates callers of one server whose calls pass through its `DispatchQueue`
/// in virtual time. With `Fixed`, the limit is `concurrencyLimit(Slots)`.
ModelOutcome simulateServer(const ModelSetup &Setup, bool Fixed,
                            std::uint32_t Seed);

} // namespace pollenwick

#endif
