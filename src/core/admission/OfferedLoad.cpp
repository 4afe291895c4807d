#include "core/admission/OfferedLoad.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace pollenwick {

namespace {

/// Below this share too few calls arrive to infer the load behind them.
constexpr double VisibleShare = 0.004;

/// Weight of the newest share in the share that ingress nodes applied: they
/// learn it one reply later and average it.
constexpr double AppliedWeight = 0.5;

/// Standard deviations of a Poisson count beyond which it is no chance.
constexpr double Surprise = 3;

/// Free part of the slots that is no sign of an overestimate, and the part of
/// the estimate that a window with only free slots removes.
constexpr double UnderuseTolerance = 0.05;
constexpr double UnderuseGain = 0.5;

/// Bounds of the budget against the capacity estimate, for one window.
constexpr double MinBudget = 0.3;
constexpr double MaxBudget = 1.5;

/// Slow correction of the capacity estimate: bounds, and gain per window for a
/// queue that is off by one call per slot.
constexpr double MinTrim = 0.7;
constexpr double MaxTrim = 1.4;
constexpr double TrimGain = 0.01;
/// Larger deviations are left to the horizon: the burst at the onset of a
/// surge says nothing about the capacity.
constexpr double MaxTrimError = 0.3;

ClassCustomerLoad &cellAt(ThresholdState &State, std::uint32_t Rank,
                          CustomerIndex Customer) {
  return State.Loads[std::size_t{Rank} * State.Customers + Customer];
}

double weightOf(const ThresholdTuning &Tuning, double Received, double Expected,
                double Smooth) {
  const double Spread = Surprise * std::sqrt(Expected + 1);
  return std::abs(Received - Expected) > Spread ? Tuning.OutlierSmoothing
                                                : Smooth;
}

/// Infers the load of one class before shedding: each call counts by the
/// inverse of the share that let it through. The class follows a change fast;
/// the customers' parts of it are averaged longer, because a window holds only
/// a few calls of a small customer.
void estimateClass(ThresholdState &State, std::uint32_t Rank, double Seconds) {
  const ThresholdTuning &Tuning = State.Tuning;
  double Received = 0;
  double Expected = 0;
  double Estimate = 0;
  double Sum = 0;
  for (CustomerIndex Customer = 0; Customer < State.Customers; ++Customer) {
    ClassCustomerLoad &Cell = cellAt(State, Rank, Customer);
    if (Cell.Applied <= VisibleShare) {
      Cell.Offered *= Tuning.HiddenLoadDecay;
      Estimate += Cell.Offered;
    } else {
      const double Seen = Cell.Received / Seconds / Cell.Applied;
      const double Usual = Cell.Offered * Cell.Applied * Seconds;
      Cell.Offered +=
          weightOf(Tuning, Cell.Received, Usual, Tuning.CustomerSmoothing) *
          (Seen - Cell.Offered);
      Received += Cell.Received;
      Expected += Usual;
      Estimate += Seen;
    }
    Sum += Cell.Offered;
    Cell.Received = 0;
  }
  double &Total = State.ClassOfferedPerSecond[Rank];
  Total += weightOf(Tuning, Received, Expected, Tuning.ClassSmoothing) *
           (Estimate - Total);
  if (Sum > 0)
    for (CustomerIndex Customer = 0; Customer < State.Customers; ++Customer)
      cellAt(State, Rank, Customer).Offered *= Total / Sum;
}

/// Free slots while a class is cut prove that its load is overestimated: the
/// few calls that a small share lets through show the end of a surge late.
void forgetUnderuse(ThresholdState &State, const WindowMeasurement &Measure) {
  const double Free = -Measure.Backlog / Measure.Limit;
  if (Free <= UnderuseTolerance)
    return;
  const double Keep = 1 - UnderuseGain * std::min(1.0, Free);
  for (std::uint32_t Rank = 0; Rank < State.ClassOfferedPerSecond.size();
       ++Rank) {
    const auto First =
        State.Loads.begin() + std::ptrdiff_t{Rank} * State.Customers;
    const auto Last = First + State.Customers;
    if (std::none_of(First, Last, [](const ClassCustomerLoad &Cell) {
          return Cell.Share < 1;
        }))
      continue;
    State.ClassOfferedPerSecond[Rank] *= Keep;
    std::for_each(First, Last,
                  [Keep](ClassCustomerLoad &Cell) { Cell.Offered *= Keep; });
  }
}

bool cutsAny(const ThresholdState &State) {
  return std::any_of(
      State.Loads.begin(), State.Loads.end(),
      [](const ClassCustomerLoad &Cell) { return Cell.Share < 1; });
}

/// Calls/s that may be admitted: the capacity, and what brings the queue to
/// its target within the horizon. Unbounded while there is no overload.
double budgetOf(ThresholdState &State, const WindowMeasurement &Measure) {
  const double Target = State.Tuning.TargetWaitingPerSlot * Measure.Limit;
  State.Overloaded =
      Measure.CapacityPerSecond > 0 &&
      (Measure.Backlog >= Target || (State.Overloaded && cutsAny(State)));
  if (!State.Overloaded) {
    State.CapacityCorrection = 1;
    return std::numeric_limits<double>::infinity();
  }
  const double Missing = Target - Measure.Backlog;
  const double Error =
      std::clamp(Missing / Measure.Limit, -MaxTrimError, MaxTrimError);
  State.CapacityCorrection =
      std::clamp(State.CapacityCorrection + TrimGain * Error, MinTrim, MaxTrim);
  const double Capacity = Measure.CapacityPerSecond * State.CapacityCorrection;
  const double QueueCorrectionTime =
      std::chrono::duration<double>(State.Tuning.QueueCorrectionTime).count();
  return std::clamp(Capacity + Missing / QueueCorrectionTime,
                    MinBudget * Capacity, MaxBudget * Capacity);
}

/// Rate per unit of weight at which `Budget` is used up by customers that offer
/// more than their share (weighted max-min fairness).
double fairLevel(const ThresholdState &State, const BundleIndex &Index,
                 std::uint32_t Rank, double Budget) {
  std::vector<CustomerIndex> Order(State.Customers);
  std::iota(Order.begin(), Order.end(), 0U);
  const ClassCustomerLoad *Loads =
      &State.Loads[std::size_t{Rank} * State.Customers];
  auto PerWeight = [&](CustomerIndex T) {
    return Loads[T].Offered / Index.Weights[T];
  };
  std::sort(Order.begin(), Order.end(), [&](CustomerIndex A, CustomerIndex B) {
    return PerWeight(A) < PerWeight(B);
  });
  double Weight =
      std::accumulate(Index.Weights.begin(), Index.Weights.end(), 0.0);
  for (CustomerIndex Customer : Order) {
    if (PerWeight(Customer) * Weight >= Budget)
      return Budget / Weight;
    Budget -= Loads[Customer].Offered;
    Weight -= Index.Weights[Customer];
  }
  return PerWeight(Order.back());
}

double grown(const ClassCustomerLoad &Cell, double Wanted,
             const ThresholdTuning &Tuning) {
  return std::min(Wanted, std::max(Cell.Share * Tuning.ShareGrowthFactor,
                                   Cell.Share + Tuning.ShareGrowthStep));
}

/// Sets the shares of one class; returns true if the class below may be open.
bool shareClass(ThresholdState &State, const BundleIndex &Index,
                std::uint32_t Rank, double &Budget) {
  double Total = 0;
  for (CustomerIndex T = 0; T < State.Customers; ++T)
    Total += cellAt(State, Rank, T).Offered;
  const bool Fits = Total <= Budget;
  const double Fair = Fits ? 0 : fairLevel(State, Index, Rank, Budget);
  bool Open = true;
  for (CustomerIndex T = 0; T < State.Customers; ++T) {
    ClassCustomerLoad &Cell = cellAt(State, Rank, T);
    const double Entitled = Fair * Index.Weights[T];
    const double Wanted =
        Fits || Cell.Offered <= Entitled ? 1 : Entitled / Cell.Offered;
    Cell.Share = grown(Cell, Wanted, State.Tuning);
    Open = Open && Cell.Share >= 1;
  }
  Budget -= Total;
  return Open;
}

void publish(ThresholdState &State, const BundleIndex &Index) {
  State.CommonLevel = admitAllLevel(Index.RankCount);
  for (CustomerIndex T = 0; T < State.Customers; ++T) {
    State.CustomerLevels[T] = admitAllLevel(Index.RankCount);
    for (std::uint32_t Rank = 0; Rank < Index.RankCount; ++Rank) {
      const double Share = cellAt(State, Rank, T).Share;
      if (Share >= 1)
        continue;
      State.CustomerLevels[T] = levelAt(Rank, Share);
      State.CommonLevel = std::min(State.CommonLevel, levelAt(Rank + 1, 0));
      break;
    }
  }
  for (ClassCustomerLoad &Cell : State.Loads)
    Cell.Applied += AppliedWeight * (Cell.Share - Cell.Applied);
}

} // namespace

ThresholdState makeThresholdState(const BundleIndex &Index, Instant Now,
                                  ThresholdTuning Tuning) {
  ThresholdState State;
  State.Tuning = Tuning;
  State.Customers = static_cast<std::uint32_t>(Index.Customers.size());
  State.Loads.resize(std::size_t{Index.RankCount} * State.Customers);
  State.ClassOfferedPerSecond.resize(Index.RankCount);
  State.CustomerLevels.assign(State.Customers, admitAllLevel(Index.RankCount));
  State.CommonLevel = admitAllLevel(Index.RankCount);
  State.ComputedAt = Now;
  return State;
}

void recordOfferedCall(ThresholdState &State, std::uint32_t Rank,
                       CustomerIndex Customer) {
  ++cellAt(State, Rank, Customer).Received;
}

bool isThresholdUpdateDue(const ThresholdState &State, Instant Now) {
  return Now - State.ComputedAt >= State.Tuning.Window;
}

void updateThreshold(ThresholdState &State, const BundleIndex &Index,
                     const WindowMeasurement &Measure, Instant Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - State.ComputedAt).count();
  if (Seconds <= 0 || State.Customers == 0)
    return;
  State.ComputedAt = Now;
  for (std::uint32_t Rank = 0; Rank < Index.RankCount; ++Rank)
    estimateClass(State, Rank, Seconds);
  if (State.Overloaded)
    forgetUnderuse(State, Measure);
  double Budget = budgetOf(State, Measure);
  bool Open = true;
  for (std::uint32_t Rank = 0; Rank < Index.RankCount; ++Rank) {
    // The best class is cut only when no call of another class is left here.
    if (Rank == 0 && Measure.LowerClassesActive) {
      double Unlimited = std::numeric_limits<double>::infinity();
      double Total = 0;
      for (CustomerIndex T = 0; T < State.Customers; ++T)
        Total += cellAt(State, 0, T).Offered;
      const bool Overloaded = Total > Budget;
      Open = shareClass(State, Index, 0, Unlimited) && !Overloaded;
      Budget -= Total;
      continue;
    }
    if (Open) {
      Open = shareClass(State, Index, Rank, Budget);
      continue;
    }
    for (CustomerIndex T = 0; T < State.Customers; ++T)
      cellAt(State, Rank, T).Share = 0;
  }
  publish(State, Index);
}

} // namespace pollenwick
