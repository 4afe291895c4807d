#ifndef POLLENWICK_CORE_ADMISSION_LIMIT_H
#define POLLENWICK_CORE_ADMISSION_LIMIT_H

#include <cstdint>
#include <vector>

#include "core/admission/ReachTable.h"
#include "pollenwick/Time.h"

namespace pollenwick {

struct LimitTuning {
  std::uint32_t MinSamples = 60; ///< Finished calls per measuring window.
  Duration MinWindow = std::chrono::milliseconds(100);
  double SlowRatio = 1.5;  ///< Slowness that starts a trial.
  double TrialStep = 0.7;  ///< Limit of a trial against the limit before.
  double Elasticity = 0.5; ///< Latency per concurrency that proves contention.
  double GrowRatio = 1.2;  ///< Slowness up to which the limit grows.
  double GrowStep = 1.25;
};

struct RouteBaseline {
  double Mean = 0;           ///< Usual own time, us.
  std::uint32_t Samples = 0; ///< Averaged so far; stops at a fixed number.
};

/// Concurrency limit of one backend server, adapted by the latency measured at
/// the callee node. Slowness is own time against the route's usual own time.
struct ConcurrencyLimit {
  LimitTuning Tuning;
  double Limit = 1;
  double Cap = 1;                       ///< Slots of the service.
  std::vector<RouteBaseline> Baselines; ///< By route.
  double SlownessSum = 0;
  std::uint32_t Samples = 0;
  std::uint32_t SaturatedSamples = 0; ///< Finished while the limit was used.
  Instant WindowStart{};
  bool Settling = false;  ///< The window still holds calls of the old limit.
  double BeforeTrial = 0; ///< Limit before the running trial; 0 if none.
  double SlownessBeforeTrial = 0;
  double Accepted = 1; ///< Slowness found not to come from concurrency.
};

ConcurrencyLimit makeLimit(std::uint32_t Slots, std::size_t Routes, Instant Now,
                           LimitTuning Tuning = {});

/// Calls that may run at once, at least 1, at most the slots.
std::uint32_t limitOf(const ConcurrencyLimit &State);

/// Learns from a finished call. `Own` is the time at the backend server
/// without the time its sub-calls took.
void onOwnTime(ConcurrencyLimit &State, RouteIndex Route, Duration Own,
               bool Saturated, Instant Now);

/// The backend server restarted: learn its latency anew.
void onServerRestart(ConcurrencyLimit &State, Instant Now);

} // namespace pollenwick

#endif
