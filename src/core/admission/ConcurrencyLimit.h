#ifndef POLLENWICK_CORE_ADMISSION_CONCURRENCYLIMIT_H
#define POLLENWICK_CORE_ADMISSION_CONCURRENCYLIMIT_H

#include <cstdint>
#include <vector>

#include "core/admission/BundleIndex.h"
#include "pollenwick/Time.h"

namespace pollenwick {

struct ConcurrencyLimitTuning {
  std::uint32_t MinSamples = 50; ///< Finished calls per measuring window.
  Duration MinWindow = std::chrono::milliseconds(100);
  /// Windows averaged before and in a trial: 150 calls tell a fall of the
  /// latency by a tenth from chance.
  std::uint32_t TrialWindows = 3;
  /// A server that needs longer for the windows of a trial ends too few calls
  /// for one; the trial would idle its slots for that time.
  Duration MaxTrialTime = std::chrono::seconds(2);
  double TrialSlowness = 1.5;    ///< Slowness that starts a trial.
  double TrialLimitFactor = 0.8; ///< Limit of a trial against the limit before.
  double MinElasticity =
      0.6; ///< Latency per concurrency that proves contention.
  double MaxGrowSlowness = 1.2; ///< Slowness up to which the limit grows.
  double LimitGrowthFactor = 1.25;
};

struct RouteBaseline {
  double Mean = 0;           ///< Usual own time, us.
  std::uint32_t Samples = 0; ///< Averaged so far; stops at a fixed number.
};

/// Concurrency limit of one backend server, adapted by the latency measured at
/// the callee node. Slowness is own time against the route's usual own time.
struct ConcurrencyLimit {
  ConcurrencyLimitTuning Tuning;
  double Limit = 1;
  double MaxLimit = 1;                  ///< Slots of the service.
  std::vector<RouteBaseline> Baselines; ///< By route.
  // The running window.
  double SlownessSum = 0;
  std::uint32_t Samples = 0;
  std::uint32_t SaturatedSamples = 0; ///< Finished while the limit was used.
  std::uint32_t SettlingSamples =
      0; ///< Samples left that began under another limit.
  Instant WindowStart{};
  // Windows collected before or in a trial.
  double CollectedSlownessSum = 0;
  std::uint32_t CollectedWindows = 0;
  Instant CollectedSince{};
  double LimitBeforeTrial = 0; ///< Limit before the running trial; 0 if none.
  double SlownessBeforeTrial = 0;
  double AcceptedSlowness = 1; ///< Slowness found not to come from concurrency.
};

ConcurrencyLimit makeConcurrencyLimit(std::uint32_t Slots, std::size_t Routes,
                                      Instant Now,
                                      ConcurrencyLimitTuning Tuning = {});

/// Calls that may run at once, at least 1, at most the slots.
std::uint32_t currentLimit(const ConcurrencyLimit &State);

/// Learns from a finished call. `OwnTime` is the time at the backend server
/// without the time its sub-calls took.
void recordOwnTime(ConcurrencyLimit &State, RouteIndex Route, Duration OwnTime,
                   bool Saturated, Instant Now);

/// The backend server restarted: learn its latency anew.
void resetAfterServerRestart(ConcurrencyLimit &State, Instant Now);

} // namespace pollenwick

#endif
