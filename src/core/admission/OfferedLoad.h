#ifndef POLLENWICK_CORE_ADMISSION_OFFEREDLOAD_H
#define POLLENWICK_CORE_ADMISSION_OFFEREDLOAD_H

#include <cstdint>
#include <vector>

#include "core/admission/AdmissionLevel.h"
#include "core/admission/BundleIndex.h"
#include "pollenwick/Time.h"

namespace pollenwick {

struct ThresholdTuning {
  Duration Window = std::chrono::milliseconds(50);
  /// Waiting calls per slot that the budget is steered to while overloaded:
  /// enough that no slot idles between two windows.
  double TargetWaitingPerSlot = 0.5;
  /// Time in which the budget removes a deviation of the queue. Longer than
  /// the delay between a level and its effect, or the loop oscillates.
  Duration QueueCorrectionTime = std::chrono::milliseconds(500);
  double ClassSmoothing = 0.1;     ///< Weight of one window in a class's load.
  double CustomerSmoothing = 0.03; ///< The same for a customer's part of it.
  double OutlierSmoothing = 0.5;   ///< For a count beyond chance.
  double ShareGrowthFactor = 1.5;  ///< Largest growth of a share per window.
  double ShareGrowthStep = 0.05;   ///< Growth of a share that was near zero.
  double HiddenLoadDecay = 0.97; ///< Per window, for load that is not visible.
};

/// Load of one class and customer at a callee node.
struct ClassCustomerLoad {
  std::uint32_t Received = 0; ///< In the running window.
  double Offered = 0;         ///< Calls/s before shedding at ingress nodes.
  double Share = 1;           ///< Published share, 0 to 1.
  double Applied = 1;         ///< Share that ingress nodes applied recently.
};

/// Offered load and the levels that follow from it.
struct ThresholdState {
  ThresholdTuning Tuning;
  std::uint32_t Customers = 0;
  std::vector<ClassCustomerLoad> Loads;       ///< By rank, then customer.
  std::vector<double> ClassOfferedPerSecond;  ///< Calls/s by rank.
  std::vector<AdmissionLevel> CustomerLevels; ///< By customer.
  AdmissionLevel CommonLevel = AdmitAll;
  bool Overloaded = false;
  double CapacityCorrection = 1; ///< Slow correction of the capacity estimate.
  Instant ComputedAt{};
};

/// What the callee node measured in the last window.
struct WindowMeasurement {
  double CapacityPerSecond = 0; ///< Limit over the mean time a slot is held.
  double Limit = 1;
  double Backlog = 0;              ///< Waiting calls minus free slots.
  bool LowerClassesActive = false; ///< Calls below rank 0 run or wait here.
};

ThresholdState makeThresholdState(const BundleIndex &Index, Instant Now,
                                  ThresholdTuning Tuning = {});

void recordOfferedCall(ThresholdState &State, std::uint32_t Rank,
                       CustomerIndex Customer);

bool isThresholdUpdateDue(const ThresholdState &State, Instant Now);

/// Ends the window: class first, then weighted max-min between customers.
void updateThreshold(ThresholdState &State, const BundleIndex &Index,
                     const WindowMeasurement &Measure, Instant Now);

} // namespace pollenwick

#endif
