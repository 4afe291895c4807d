#ifndef POLLENWICK_CORE_ADMISSION_OFFEREDLOAD_H
#define POLLENWICK_CORE_ADMISSION_OFFEREDLOAD_H

#include <cstdint>
#include <vector>

#include "core/admission/Level.h"
#include "core/admission/ReachTable.h"
#include "pollenwick/Time.h"

namespace pollenwick {

struct ThresholdTuning {
  Duration Window = std::chrono::milliseconds(50);
  /// Queue delay that the capacity estimate is steered to.
  Duration TargetDelay = std::chrono::milliseconds(5);
  double Smoothing = 0.3;  ///< Weight of one window in the offered load.
  double GrowFactor = 2.0; ///< Largest growth of a share per window.
  double GrowStep = 0.05;  ///< Smallest growth of a share per window.
  double Forget = 0.93;    ///< Per window, for load that is not visible.
};

/// Load of one class and tenant at a callee node.
struct LoadCell {
  std::uint32_t Received = 0; ///< In the running window.
  double Offered = 0;         ///< Calls/s before shedding at ingress nodes.
  double Share = 1;           ///< Published share, 0 to 1.
  double Applied = 1;         ///< Share that ingress nodes applied recently.
};

/// Offered load and the levels that follow from it.
struct ThresholdState {
  ThresholdTuning Tuning;
  std::uint32_t Tenants = 0;
  std::vector<LoadCell> Cells; ///< By rank, then tenant.
  std::vector<Level> Levels;   ///< By tenant.
  Level Common = AdmitAll;
  double Trim = 1; ///< Correction of the capacity estimate by queue delay.
  Instant ComputedAt{};
};

/// What the callee node measured since the last window.
struct WindowMeasure {
  double CapacityPerSecond = 0; ///< Limit over the mean time a slot is held.
  double Utilization = 0;       ///< Mean calls in slots over the limit, 0 to 1.
  Duration QueueDelay{};
  bool WorseClassesActive = false; ///< Calls below rank 0 run or wait here.
};

ThresholdState makeThreshold(const ReachTable &Reach, Instant Now,
                             ThresholdTuning Tuning = {});

void recordOffered(ThresholdState &State, std::uint32_t Rank,
                   TenantIndex Tenant);

bool thresholdDue(const ThresholdState &State, Instant Now);

/// Ends the window: class first, then weighted max-min between tenants.
void updateThreshold(ThresholdState &State, const ReachTable &Reach,
                     const WindowMeasure &Measure, Instant Now);

} // namespace pollenwick

#endif
