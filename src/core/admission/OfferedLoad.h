#ifndef POLLENWICK_CORE_ADMISSION_OFFEREDLOAD_H
#define POLLENWICK_CORE_ADMISSION_OFFEREDLOAD_H

#include <cstdint>
#include <vector>

#include "core/admission/AdmissionLevel.h"
#include "core/admission/BundleIndex.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Parameters of the estimation of offered load and of the admission levels.
struct ThresholdTuning {
  /// Least time between updates.
  Duration Window = std::chrono::milliseconds(50);
  /// Target queue length in calls per slot during an overload. It is long
  /// enough that no slot is idle between two windows.
  double TargetWaitingPerSlot = 0.5;
  /// Time in which the budget corrects a deviation from the target queue
  /// length. It must exceed the delay between a level and its effect; otherwise
  /// the control loop oscillates.
  Duration QueueCorrectionTime = std::chrono::milliseconds(500);
  double ClassSmoothing = 0.1; ///< Weight of one window in the load of a class.
  /// Weight of one window in a customer's part of that load.
  double CustomerSmoothing = 0.03;
  /// Weight of a window whose count deviates by more than chance.
  double OutlierSmoothing = 0.5;
  double ShareGrowthFactor = 1.5; ///< Largest growth of a share per window.
  /// Growth per window always allowed, for shares near zero.
  double ShareGrowthStep = 0.05;
  double HiddenLoadDecay = 0.97; ///< Factor per window on load of which too few
                                 ///< calls arrive to measure it.
};

/// Offered load and admitted share of one customer in one class at a callee
/// node.
struct ClassCustomerLoad {
  std::uint32_t Received = 0; ///< Calls received in the current window.
  double Offered = 0; ///< Estimated calls/s before ingress nodes shed any.
  double Share = 1;   ///< Share to admit that replies report, 0 to 1.
  double Applied = 1; ///< Estimated share that ingress nodes apply, 0 to 1.
};

/// Offered load at a callee node and the admission levels computed from it.
struct ThresholdState {
  ThresholdTuning Tuning;
  std::uint32_t Customers = 0;
  std::vector<ClassCustomerLoad> Loads; ///< By rank, then customer.
  /// Estimated offered calls/s by rank.
  std::vector<double> ClassOfferedPerSecond;
  std::vector<AdmissionLevel> CustomerLevels; ///< By customer.
  AdmissionLevel CommonLevel = AdmitAll;
  bool Overloaded = false;
  /// Slowly adapted factor on the estimated capacity; 1 without overload.
  double CapacityCorrection = 1;
  Instant ComputedAt{};
};

/// Measurements of the callee node in the last window.
struct WindowMeasurement {
  /// Calls/s: `Limit` / mean service time; 0 if unknown.
  double CapacityPerSecond = 0;
  double Limit = 1;   ///< Calls that may run at once.
  double Backlog = 0; ///< Waiting calls minus mean free slots.
  /// Whether calls of classes worse than rank 0 run or wait here.
  bool LowerClassesActive = false;
};

/// Creates a state without load, whose levels admit every request.
ThresholdState makeThresholdState(const BundleIndex &Index, Instant Now,
                                  ThresholdTuning Tuning = {});

/// Counts a call that arrived in the current window, whether or not it is
/// refused.
void recordOfferedCall(ThresholdState &State, std::uint32_t Rank,
                       CustomerIndex Customer);

bool isThresholdUpdateDue(const ThresholdState &State, Instant Now);

/// Ends the window and computes the new levels. The budget is allocated to
/// better classes first, and within a class to the customers by weighted
/// max-min fairness.
void updateThreshold(ThresholdState &State, const BundleIndex &Index,
                     const WindowMeasurement &Measure, Instant Now);

} // namespace pollenwick

#endif
