#include "core/admission/Limit.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {

namespace {

/// Calls averaged for the usual own time of a route.
constexpr std::uint32_t BaselineSamples = 50;

/// A window this much faster than the baseline moves the baseline down: it was
/// learned while the server was cold or loaded.
constexpr double FasterRatio = 0.9;

void startWindow(ConcurrencyLimit &State, Instant Now) {
  State.SlownessSum = 0;
  State.Samples = 0;
  State.SaturatedSamples = 0;
  State.WindowStart = Now;
}

/// Latency that falls with the limit proves that calls contend in the server,
/// so the smaller limit loses no throughput. Latency that stays is the
/// server's own: a smaller limit would only idle slots.
void judgeTrial(ConcurrencyLimit &State, double Slowness) {
  const double LimitDrop = std::log(State.BeforeTrial / State.Limit);
  const double LatencyDrop = std::log(State.SlownessBeforeTrial / Slowness);
  if (LimitDrop <= 0 || LatencyDrop < State.Tuning.Elasticity * LimitDrop) {
    State.Limit = State.BeforeTrial;
    State.Accepted = std::max(1.0, Slowness);
    State.Settling = true;
  }
  State.BeforeTrial = 0;
}

void endWindow(ConcurrencyLimit &State) {
  const LimitTuning &Tuning = State.Tuning;
  const double Slowness = State.SlownessSum / State.Samples;
  if (State.Settling) {
    State.Settling = false;
    return;
  }
  if (State.BeforeTrial > 0) {
    judgeTrial(State, Slowness);
    return;
  }
  if (Slowness < FasterRatio)
    for (RouteBaseline &Baseline : State.Baselines)
      Baseline.Mean *= Slowness;
  if (Slowness < State.Accepted)
    State.Accepted = std::max(1.0, Slowness);
  if (State.SaturatedSamples * 2 < State.Samples)
    return;
  const double Relative = Slowness / State.Accepted;
  if (Relative > Tuning.SlowRatio && State.Limit > 1) {
    State.BeforeTrial = State.Limit;
    State.SlownessBeforeTrial = Slowness;
    State.Limit = std::max(1.0, State.Limit * Tuning.TrialStep);
    State.Settling = true;
  } else if (Relative <= Tuning.GrowRatio && State.Limit < State.Cap) {
    State.Limit = std::min(
        State.Cap, std::max(State.Limit + 1, State.Limit * Tuning.GrowStep));
  }
}

} // namespace

ConcurrencyLimit makeLimit(std::uint32_t Slots, std::size_t Routes, Instant Now,
                           LimitTuning Tuning) {
  ConcurrencyLimit State;
  State.Tuning = Tuning;
  State.Cap = std::max(1U, Slots);
  State.Limit = State.Cap;
  State.Baselines.resize(Routes);
  State.WindowStart = Now;
  return State;
}

std::uint32_t limitOf(const ConcurrencyLimit &State) {
  return std::max(1U, static_cast<std::uint32_t>(State.Limit));
}

void onOwnTime(ConcurrencyLimit &State, RouteIndex Route, Duration Own,
               bool Saturated, Instant Now) {
  RouteBaseline &Baseline = State.Baselines[Route];
  const double Time = std::max(1.0, static_cast<double>(Own.count()));
  if (Baseline.Samples < BaselineSamples) {
    ++Baseline.Samples;
    Baseline.Mean += (Time - Baseline.Mean) / Baseline.Samples;
    return;
  }
  State.SlownessSum += Time / Baseline.Mean;
  ++State.Samples;
  State.SaturatedSamples += Saturated ? 1 : 0;
  if (State.Samples < State.Tuning.MinSamples ||
      Now - State.WindowStart < State.Tuning.MinWindow)
    return;
  endWindow(State);
  startWindow(State, Now);
}

void onServerRestart(ConcurrencyLimit &State, Instant Now) {
  const std::size_t Routes = State.Baselines.size();
  State = makeLimit(static_cast<std::uint32_t>(State.Cap), Routes, Now,
                    State.Tuning);
}

} // namespace pollenwick
