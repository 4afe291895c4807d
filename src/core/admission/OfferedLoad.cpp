#include "core/admission/OfferedLoad.h"

#include <algorithm>
#include <numeric>

namespace pollenwick {

namespace {

/// Below this share too few calls arrive to infer the load behind them.
constexpr double VisibleShare = 0.004;

/// Weight of the newest share in the share that ingress nodes applied: they
/// learn it one reply later and average it.
constexpr double AppliedWeight = 0.5;

/// Bounds and steps of the correction of the capacity estimate.
constexpr double MinTrim = 0.5;
constexpr double MaxTrim = 1.5;
constexpr double TrimDown = 0.1;
constexpr double TrimUp = 1.03;
constexpr double FullUtilization = 0.97;

/// A server that is less busy than this is not overloaded, whatever the
/// estimates say.
constexpr double OverloadUtilization = 0.8;

LoadCell &cellAt(ThresholdState &State, std::uint32_t Rank,
                 TenantIndex Tenant) {
  return State.Cells[std::size_t{Rank} * State.Tenants + Tenant];
}

void estimateOffered(ThresholdState &State, double Seconds) {
  for (LoadCell &Cell : State.Cells) {
    if (Cell.Applied > VisibleShare) {
      const double Estimate = Cell.Received / Seconds / Cell.Applied;
      Cell.Offered += State.Tuning.Smoothing * (Estimate - Cell.Offered);
    } else {
      Cell.Offered *= State.Tuning.Forget;
    }
    Cell.Received = 0;
  }
}

bool cutsAny(const ThresholdState &State) {
  return std::any_of(State.Cells.begin(), State.Cells.end(),
                     [](const LoadCell &Cell) { return Cell.Share < 1; });
}

/// The estimate of the capacity is open loop; the queue delay closes it.
void correctCapacity(ThresholdState &State, const WindowMeasure &Measure) {
  const double Excess =
      static_cast<double>(
          (Measure.QueueDelay - State.Tuning.TargetDelay).count()) /
      static_cast<double>(State.Tuning.TargetDelay.count());
  if (Excess > 0)
    State.Trim *= 1 - TrimDown * std::min(1.0, Excess);
  else if (Measure.Utilization < FullUtilization)
    State.Trim *= TrimUp;
  State.Trim = std::clamp(State.Trim, MinTrim, MaxTrim);
  if (!cutsAny(State) && Excess <= 0)
    State.Trim = 1;
}

/// Rate per unit of weight at which `Budget` is used up by tenants that offer
/// more than their share (weighted max-min fairness).
double fairLevel(const ThresholdState &State, const ReachTable &Reach,
                 std::uint32_t Rank, double Budget) {
  std::vector<TenantIndex> Order(State.Tenants);
  std::iota(Order.begin(), Order.end(), 0U);
  const LoadCell *Cells = &State.Cells[std::size_t{Rank} * State.Tenants];
  auto PerWeight = [&](TenantIndex T) {
    return Cells[T].Offered / Reach.Weights[T];
  };
  std::sort(Order.begin(), Order.end(), [&](TenantIndex A, TenantIndex B) {
    return PerWeight(A) < PerWeight(B);
  });
  double Weight =
      std::accumulate(Reach.Weights.begin(), Reach.Weights.end(), 0.0);
  for (TenantIndex Tenant : Order) {
    if (PerWeight(Tenant) * Weight >= Budget)
      return Budget / Weight;
    Budget -= Cells[Tenant].Offered;
    Weight -= Reach.Weights[Tenant];
  }
  return PerWeight(Order.back());
}

double grown(const LoadCell &Cell, double Wanted,
             const ThresholdTuning &Tuning) {
  return std::min(Wanted, std::max(Cell.Share * Tuning.GrowFactor,
                                   Cell.Share + Tuning.GrowStep));
}

/// Sets the shares of one class; returns true if the class below may be open.
bool shareClass(ThresholdState &State, const ReachTable &Reach,
                std::uint32_t Rank, double &Budget) {
  double Total = 0;
  for (TenantIndex T = 0; T < State.Tenants; ++T)
    Total += cellAt(State, Rank, T).Offered;
  const bool Fits = Total <= Budget;
  const double Fair = Fits ? 0 : fairLevel(State, Reach, Rank, Budget);
  bool Open = true;
  for (TenantIndex T = 0; T < State.Tenants; ++T) {
    LoadCell &Cell = cellAt(State, Rank, T);
    const double Entitled = Fair * Reach.Weights[T];
    const double Wanted =
        Fits || Cell.Offered <= Entitled ? 1 : Entitled / Cell.Offered;
    Cell.Share = grown(Cell, Wanted, State.Tuning);
    Open = Open && Cell.Share >= 1;
  }
  Budget -= Total;
  return Open;
}

void publish(ThresholdState &State, const ReachTable &Reach) {
  State.Common = admitAll(Reach.Ranks);
  for (TenantIndex T = 0; T < State.Tenants; ++T) {
    State.Levels[T] = admitAll(Reach.Ranks);
    for (std::uint32_t Rank = 0; Rank < Reach.Ranks; ++Rank) {
      const double Share = cellAt(State, Rank, T).Share;
      if (Share >= 1)
        continue;
      State.Levels[T] = levelAt(Rank, Share);
      State.Common = std::min(State.Common, levelAt(Rank + 1, 0));
      break;
    }
  }
  for (LoadCell &Cell : State.Cells)
    Cell.Applied += AppliedWeight * (Cell.Share - Cell.Applied);
}

} // namespace

ThresholdState makeThreshold(const ReachTable &Reach, Instant Now,
                             ThresholdTuning Tuning) {
  ThresholdState State;
  State.Tuning = Tuning;
  State.Tenants = static_cast<std::uint32_t>(Reach.Tenants.size());
  State.Cells.resize(std::size_t{Reach.Ranks} * State.Tenants);
  State.Levels.assign(State.Tenants, admitAll(Reach.Ranks));
  State.Common = admitAll(Reach.Ranks);
  State.ComputedAt = Now;
  return State;
}

void recordOffered(ThresholdState &State, std::uint32_t Rank,
                   TenantIndex Tenant) {
  ++cellAt(State, Rank, Tenant).Received;
}

bool thresholdDue(const ThresholdState &State, Instant Now) {
  return Now - State.ComputedAt >= State.Tuning.Window;
}

void updateThreshold(ThresholdState &State, const ReachTable &Reach,
                     const WindowMeasure &Measure, Instant Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - State.ComputedAt).count();
  if (Seconds <= 0 || State.Tenants == 0)
    return;
  State.ComputedAt = Now;
  estimateOffered(State, Seconds);
  correctCapacity(State, Measure);
  const bool Busy = Measure.Utilization > OverloadUtilization ||
                    Measure.QueueDelay > State.Tuning.TargetDelay;
  double Budget = Measure.CapacityPerSecond * State.Trim;
  if (!Busy || Measure.CapacityPerSecond <= 0)
    Budget = std::numeric_limits<double>::infinity();
  bool Open = true;
  for (std::uint32_t Rank = 0; Rank < Reach.Ranks; ++Rank) {
    // The best class is cut only when no call of another class is left here.
    if (Rank == 0 && Measure.WorseClassesActive) {
      double Unlimited = std::numeric_limits<double>::infinity();
      double Total = 0;
      for (TenantIndex T = 0; T < State.Tenants; ++T)
        Total += cellAt(State, 0, T).Offered;
      const bool Overloaded = Total > Budget;
      Open = shareClass(State, Reach, 0, Unlimited) && !Overloaded;
      Budget -= Total;
      continue;
    }
    if (Open) {
      Open = shareClass(State, Reach, Rank, Budget);
      continue;
    }
    for (TenantIndex T = 0; T < State.Tenants; ++T)
      cellAt(State, Rank, T).Share = 0;
  }
  publish(State, Reach);
}

} // namespace pollenwick
