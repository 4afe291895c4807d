#ifndef POLLENWICK_CORE_ADMISSION_CONCURRENCYLIMIT_H
#define POLLENWICK_CORE_ADMISSION_CONCURRENCYLIMIT_H

#include <cstdint>
#include <vector>

#include "core/admission/BundleIndex.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Parameters of the adaptive concurrency limit. In a trial, the limit is
/// lowered to find out whether the latency falls with it.
struct ConcurrencyLimitTuning {
  /// Least number of finished calls per measuring window.
  std::uint32_t MinSamples = 50;
  Duration MinWindow = std::chrono::milliseconds(100); ///< Least window length.
  /// Windows averaged before a trial and during it. Their 150 calls suffice to
  /// distinguish a fall of the latency by a tenth from chance.
  std::uint32_t TrialWindows = 3;
  /// Greatest time for collecting the windows before a trial. A server that
  /// needs longer finishes too few calls, and a trial would leave slots idle
  /// for as long.
  Duration MaxTrialTime = std::chrono::seconds(2);
  double TrialSlowness = 1.5;    ///< Slowness that starts a trial.
  double TrialLimitFactor = 0.8; ///< Limit in a trial / limit before it.
  /// Least ratio of the relative fall of latency to that of the limit that
  /// counts as contention.
  double MinElasticity = 0.6;
  /// Greatest slowness at which the limit still grows.
  double MaxGrowSlowness = 1.2;
  double LimitGrowthFactor = 1.25; ///< Growth of the limit per window.
};

/// Typical own time of a route, against which slowness is measured.
struct RouteBaseline {
  double Mean = 0; ///< Mean own time, us.
  /// Samples in `Mean`, which is complete at a fixed number.
  std::uint32_t Samples = 0;
};

/// Concurrency limit of one backend server, adapted to the latency that the
/// callee node measures. Slowness is the own time of a call divided by the
/// typical own time of its route.
struct ConcurrencyLimit {
  ConcurrencyLimitTuning Tuning;
  double Limit = 1;
  double MaxLimit = 1;                  ///< Slots of the service.
  std::vector<RouteBaseline> Baselines; ///< By route.
  // Measurements of the current window.
  double SlownessSum = 0;
  std::uint32_t Samples = 0;
  /// Samples that finished while all allowed slots were in use.
  std::uint32_t SaturatedSamples = 0;
  /// Samples still to be ignored because the calls may have begun under another
  /// limit.
  std::uint32_t SettlingSamples = 0;
  Instant WindowStart{};
  // Sums over the windows collected before a trial or during it.
  double CollectedSlownessSum = 0;
  std::uint32_t CollectedWindows = 0;
  Instant CollectedSince{};
  /// Limit before the current trial; 0 if there is no trial.
  double LimitBeforeTrial = 0;
  double SlownessBeforeTrial = 0;
  /// Slowness that a trial found not to be caused by concurrency.
  double AcceptedSlowness = 1;
};

/// Creates a limit that starts at `Slots` and has no baselines yet.
ConcurrencyLimit makeConcurrencyLimit(std::uint32_t Slots, std::size_t Routes,
                                      Instant Now,
                                      ConcurrencyLimitTuning Tuning = {});

/// Returns the number of calls that may run at once, from 1 to the number of
/// slots.
std::uint32_t currentLimit(const ConcurrencyLimit &State);

/// Adapts the limit to a finished call. `OwnTime` is the time that the call
/// took at the backend server, without its sub-calls. `Saturated` tells whether
/// all allowed slots were in use when it finished.
void recordOwnTime(ConcurrencyLimit &State, RouteIndex Route, Duration OwnTime,
                   bool Saturated, Instant Now);

/// Discards the limit and the baselines after a restart of the backend server,
/// so that its latency is learned again.
void resetAfterServerRestart(ConcurrencyLimit &State, Instant Now);

} // namespace pollenwick

#endif
