#include "core/admission/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {

namespace {

/// Number of calls averaged for the baseline of a route.
constexpr std::uint32_t BaselineSamples = 50;

/// Slowness of a window below which the baselines are lowered. Such baselines
/// were learned while the server was cold or loaded.
constexpr double BaselineUpdateSlowness = 0.9;

void startWindow(ConcurrencyLimit &State, Instant Now) {
  State.SlownessSum = 0;
  State.Samples = 0;
  State.SaturatedSamples = 0;
  State.WindowStart = Now;
}

void resetCollectedWindows(ConcurrencyLimit &State) {
  State.CollectedSlownessSum = 0;
  State.CollectedWindows = 0;
}

/// Adds a window to the collected ones. Returns true if there are enough for a
/// trial's average.
bool collectWindow(ConcurrencyLimit &State, double Slowness) {
  if (State.CollectedWindows == 0)
    State.CollectedSince = State.WindowStart;
  State.CollectedSlownessSum += Slowness;
  return ++State.CollectedWindows >= State.Tuning.TrialWindows;
}

/// Sets the limit and ignores the calls that began under the old one.
void changeLimit(ConcurrencyLimit &State, double Limit) {
  State.Limit = Limit;
  State.SettlingSamples = currentLimit(State);
  resetCollectedWindows(State);
}

/// Ends a trial: keeps its lower limit if the latency fell with it, otherwise
/// restores the limit before. A latency that falls shows that calls contend in
/// the server, so the lower limit loses no throughput. A latency that stays
/// does not depend on concurrency, and a lower limit would only leave slots
/// idle.
void evaluateTrial(ConcurrencyLimit &State, double Slowness) {
  const double LimitDrop = std::log(State.LimitBeforeTrial / State.Limit);
  const double LatencyDrop = std::log(State.SlownessBeforeTrial / Slowness);
  if (LatencyDrop < State.Tuning.MinElasticity * LimitDrop) {
    changeLimit(State, State.LimitBeforeTrial);
    State.AcceptedSlowness = std::max(1.0, Slowness);
  }
  resetCollectedWindows(State);
  State.LimitBeforeTrial = 0;
}

/// Starts a trial with a lower limit once enough windows are collected, unless
/// collecting them took too long.
void startTrialIfEnoughCalls(ConcurrencyLimit &State, double Slowness,
                             Instant Now) {
  if (!collectWindow(State, Slowness))
    return;
  const bool EnoughCalls =
      Now - State.CollectedSince <= State.Tuning.MaxTrialTime;
  const double Mean = State.CollectedSlownessSum / State.CollectedWindows;
  resetCollectedWindows(State);
  if (!EnoughCalls || State.Limit <= 1)
    return;
  State.LimitBeforeTrial = State.Limit;
  State.SlownessBeforeTrial = Mean;
  changeLimit(State,
              std::max(1.0, State.Limit * State.Tuning.TrialLimitFactor));
}

/// Evaluates the current window: continues or starts a trial, or lets the limit
/// grow.
void endWindow(ConcurrencyLimit &State, Instant Now) {
  const ConcurrencyLimitTuning &Tuning = State.Tuning;
  const double Slowness = State.SlownessSum / State.Samples;
  if (State.LimitBeforeTrial > 0) {
    if (collectWindow(State, Slowness))
      evaluateTrial(State, State.CollectedSlownessSum / State.CollectedWindows);
    return;
  }
  if (Slowness < BaselineUpdateSlowness)
    for (RouteBaseline &Baseline : State.Baselines)
      Baseline.Mean *= Slowness;
  if (Slowness < State.AcceptedSlowness)
    State.AcceptedSlowness = std::max(1.0, Slowness);
  const double RelativeSlowness = Slowness / State.AcceptedSlowness;
  if (State.SaturatedSamples * 2 < State.Samples)
    resetCollectedWindows(State);
  else if (RelativeSlowness > Tuning.TrialSlowness)
    startTrialIfEnoughCalls(State, Slowness, Now);
  else {
    resetCollectedWindows(State);
    if (RelativeSlowness <= Tuning.MaxGrowSlowness)
      State.Limit = std::min(
          State.MaxLimit,
          std::max(State.Limit + 1, State.Limit * Tuning.LimitGrowthFactor));
  }
}

} // namespace

ConcurrencyLimit makeConcurrencyLimit(std::uint32_t Slots, std::size_t Routes,
                                      Instant Now,
                                      ConcurrencyLimitTuning Tuning) {
  ConcurrencyLimit State;
  State.Tuning = Tuning;
  State.MaxLimit = std::max(1U, Slots);
  State.Limit = State.MaxLimit;
  State.Baselines.resize(Routes);
  State.WindowStart = Now;
  return State;
}

std::uint32_t currentLimit(const ConcurrencyLimit &State) {
  return std::max(1U, static_cast<std::uint32_t>(State.Limit));
}

void recordOwnTime(ConcurrencyLimit &State, RouteIndex Route, Duration OwnTime,
                   bool Saturated, Instant Now) {
  RouteBaseline &Baseline = State.Baselines[Route];
  const double Time = std::max(1.0, static_cast<double>(OwnTime.count()));
  if (Baseline.Samples < BaselineSamples) {
    ++Baseline.Samples;
    Baseline.Mean += (Time - Baseline.Mean) / Baseline.Samples;
    return;
  }
  if (State.SettlingSamples > 0) {
    --State.SettlingSamples;
    State.WindowStart = Now;
    return;
  }
  State.SlownessSum += Time / Baseline.Mean;
  ++State.Samples;
  State.SaturatedSamples += Saturated ? 1 : 0;
  if (State.Samples < State.Tuning.MinSamples ||
      Now - State.WindowStart < State.Tuning.MinWindow)
    return;
  endWindow(State, Now);
  startWindow(State, Now);
}

void resetAfterServerRestart(ConcurrencyLimit &State, Instant Now) {
  const std::size_t Routes = State.Baselines.size();
  State = makeConcurrencyLimit(static_cast<std::uint32_t>(State.MaxLimit),
                               Routes, Now, State.Tuning);
}

} // namespace pollenwick
