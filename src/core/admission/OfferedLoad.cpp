#include "core/admission/OfferedLoad.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace pollenwick {

namespace {

/// Below this share too few calls arrive to infer the load behind them.
constexpr double MinVisibleShare = 0.004;

/// Weight of the newest share in the share that ingress nodes applied: they
/// learn it one reply later and average it.
constexpr double AppliedShareWeight = 0.5;

/// Standard deviations of a Poisson count beyond which it is no chance.
constexpr double OutlierStdDevs = 3;

/// Free part of the slots that is no sign of an overestimate, and the part of
/// the estimate that a window with only free slots removes.
constexpr double UnderuseTolerance = 0.05;
constexpr double UnderuseGain = 0.5;

/// Bounds of the budget against the capacity estimate, for one window.
constexpr double MinBudgetRatio = 0.3;
constexpr double MaxBudgetRatio = 1.5;

/// Slow correction of the capacity estimate: bounds, and gain per window for a
/// queue that is off by one call per slot.
constexpr double MinCapacityCorrection = 0.7;
constexpr double MaxCapacityCorrection = 1.4;
constexpr double CapacityCorrectionGain = 0.01;
/// Larger deviations are left to the horizon: the burst at the onset of a
/// surge says nothing about the capacity.
constexpr double MaxCorrectionError = 0.3;

ClassCustomerLoad &loadOf(ThresholdState &State, std::uint32_t Rank,
                          CustomerIndex Customer) {
  return State.Loads[std::size_t{Rank} * State.Customers + Customer];
}

double smoothingWeight(const ThresholdTuning &Tuning, double Received,
                       double Expected, double UsualWeight) {
  const double Tolerance = OutlierStdDevs * std::sqrt(Expected + 1);
  return std::abs(Received - Expected) > Tolerance ? Tuning.OutlierSmoothing
                                                   : UsualWeight;
}

/// Infers the load of one class before shedding: each call counts by the
/// inverse of the share that let it through. The class follows a change fast;
/// the customers' parts of it are averaged longer, because a window holds only
/// a few calls of a small customer.
void estimateClassLoad(ThresholdState &State, std::uint32_t Rank,
                       double Seconds) {
  const ThresholdTuning &Tuning = State.Tuning;
  double Received = 0;
  double Expected = 0;
  double Estimate = 0;
  double CustomerSum = 0;
  for (CustomerIndex Customer = 0; Customer < State.Customers; ++Customer) {
    ClassCustomerLoad &Cell = loadOf(State, Rank, Customer);
    if (Cell.Applied <= MinVisibleShare) {
      Cell.Offered *= Tuning.HiddenLoadDecay;
      Estimate += Cell.Offered;
    } else {
      const double EstimatedPerSecond = Cell.Received / Seconds / Cell.Applied;
      const double ExpectedCalls = Cell.Offered * Cell.Applied * Seconds;
      Cell.Offered += smoothingWeight(Tuning, Cell.Received, ExpectedCalls,
                                      Tuning.CustomerSmoothing) *
                      (EstimatedPerSecond - Cell.Offered);
      Received += Cell.Received;
      Expected += ExpectedCalls;
      Estimate += EstimatedPerSecond;
    }
    CustomerSum += Cell.Offered;
    Cell.Received = 0;
  }
  double &Total = State.ClassOfferedPerSecond[Rank];
  Total += smoothingWeight(Tuning, Received, Expected, Tuning.ClassSmoothing) *
           (Estimate - Total);
  if (CustomerSum > 0)
    for (CustomerIndex Customer = 0; Customer < State.Customers; ++Customer)
      loadOf(State, Rank, Customer).Offered *= Total / CustomerSum;
}

/// Free slots while a class is cut prove that its load is overestimated: the
/// few calls that a small share lets through show the end of a surge late.
void reduceOverestimate(ThresholdState &State,
                        const WindowMeasurement &Measure) {
  const double FreeSlotShare = -Measure.Backlog / Measure.Limit;
  if (FreeSlotShare <= UnderuseTolerance)
    return;
  const double KeptFraction = 1 - UnderuseGain * std::min(1.0, FreeSlotShare);
  for (std::uint32_t Rank = 0; Rank < State.ClassOfferedPerSecond.size();
       ++Rank) {
    const auto First =
        State.Loads.begin() + std::ptrdiff_t{Rank} * State.Customers;
    const auto Last = First + State.Customers;
    if (std::none_of(First, Last, [](const ClassCustomerLoad &Cell) {
          return Cell.Share < 1;
        }))
      continue;
    State.ClassOfferedPerSecond[Rank] *= KeptFraction;
    std::for_each(First, Last, [KeptFraction](ClassCustomerLoad &Cell) {
      Cell.Offered *= KeptFraction;
    });
  }
}

bool limitsAnyCustomer(const ThresholdState &State) {
  return std::any_of(
      State.Loads.begin(), State.Loads.end(),
      [](const ClassCustomerLoad &Cell) { return Cell.Share < 1; });
}

/// Calls/s that may be admitted: the capacity, and what brings the queue to
/// its target within the horizon. Unbounded while there is no overload.
double admissionBudget(ThresholdState &State,
                       const WindowMeasurement &Measure) {
  const double Target = State.Tuning.TargetWaitingPerSlot * Measure.Limit;
  State.Overloaded = Measure.CapacityPerSecond > 0 &&
                     (Measure.Backlog >= Target ||
                      (State.Overloaded && limitsAnyCustomer(State)));
  if (!State.Overloaded) {
    State.CapacityCorrection = 1;
    return std::numeric_limits<double>::infinity();
  }
  const double QueueDeficit = Target - Measure.Backlog;
  const double Error = std::clamp(QueueDeficit / Measure.Limit,
                                  -MaxCorrectionError, MaxCorrectionError);
  State.CapacityCorrection =
      std::clamp(State.CapacityCorrection + CapacityCorrectionGain * Error,
                 MinCapacityCorrection, MaxCapacityCorrection);
  const double Capacity = Measure.CapacityPerSecond * State.CapacityCorrection;
  const double QueueCorrectionTime =
      std::chrono::duration<double>(State.Tuning.QueueCorrectionTime).count();
  return std::clamp(Capacity + QueueDeficit / QueueCorrectionTime,
                    MinBudgetRatio * Capacity, MaxBudgetRatio * Capacity);
}

/// Rate per unit of weight at which `Budget` is used up by customers that offer
/// more than their share (weighted max-min fairness).
double fairRatePerWeight(const ThresholdState &State, const BundleIndex &Index,
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

double limitShareGrowth(const ClassCustomerLoad &Cell, double Wanted,
                        const ThresholdTuning &Tuning) {
  return std::min(Wanted, std::max(Cell.Share * Tuning.ShareGrowthFactor,
                                   Cell.Share + Tuning.ShareGrowthStep));
}

/// Sets the shares of one class; returns true if the class below may be open.
bool allocateToClass(ThresholdState &State, const BundleIndex &Index,
                     std::uint32_t Rank, double &Budget) {
  double Total = 0;
  for (CustomerIndex Customer = 0; Customer < State.Customers; ++Customer)
    Total += loadOf(State, Rank, Customer).Offered;
  const bool Fits = Total <= Budget;
  const double FairRatePerWeight =
      Fits ? 0 : fairRatePerWeight(State, Index, Rank, Budget);
  bool LowerClassOpen = true;
  for (CustomerIndex Customer = 0; Customer < State.Customers; ++Customer) {
    ClassCustomerLoad &Cell = loadOf(State, Rank, Customer);
    const double FairRate = FairRatePerWeight * Index.Weights[Customer];
    const double Wanted =
        Fits || Cell.Offered <= FairRate ? 1 : FairRate / Cell.Offered;
    Cell.Share = limitShareGrowth(Cell, Wanted, State.Tuning);
    LowerClassOpen = LowerClassOpen && Cell.Share >= 1;
  }
  Budget -= Total;
  return LowerClassOpen;
}

void publishLevels(ThresholdState &State, const BundleIndex &Index) {
  State.CommonLevel = admitAllLevel(Index.RankCount);
  for (CustomerIndex Customer = 0; Customer < State.Customers; ++Customer) {
    State.CustomerLevels[Customer] = admitAllLevel(Index.RankCount);
    for (std::uint32_t Rank = 0; Rank < Index.RankCount; ++Rank) {
      const double Share = loadOf(State, Rank, Customer).Share;
      if (Share >= 1)
        continue;
      State.CustomerLevels[Customer] = levelAt(Rank, Share);
      State.CommonLevel = std::min(State.CommonLevel, levelAt(Rank + 1, 0));
      break;
    }
  }
  for (ClassCustomerLoad &Cell : State.Loads)
    Cell.Applied += AppliedShareWeight * (Cell.Share - Cell.Applied);
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
  ++loadOf(State, Rank, Customer).Received;
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
    estimateClassLoad(State, Rank, Seconds);
  if (State.Overloaded)
    reduceOverestimate(State, Measure);
  double Budget = admissionBudget(State, Measure);
  bool LowerClassOpen = true;
  for (std::uint32_t Rank = 0; Rank < Index.RankCount; ++Rank) {
    // The best class is cut only when no call of another class is left here.
    if (Rank == 0 && Measure.LowerClassesActive) {
      double Unlimited = std::numeric_limits<double>::infinity();
      double Total = 0;
      for (CustomerIndex Customer = 0; Customer < State.Customers; ++Customer)
        Total += loadOf(State, 0, Customer).Offered;
      const bool Overloaded = Total > Budget;
      LowerClassOpen =
          allocateToClass(State, Index, 0, Unlimited) && !Overloaded;
      Budget -= Total;
      continue;
    }
    if (LowerClassOpen) {
      LowerClassOpen = allocateToClass(State, Index, Rank, Budget);
      continue;
    }
    for (CustomerIndex Customer = 0; Customer < State.Customers; ++Customer)
      loadOf(State, Rank, Customer).Share = 0;
  }
  publishLevels(State, Index);
}

} // namespace pollenwick
