#include "core/admission/OfferedLoad.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace pollenwick {

namespace {

/// Applied share up to which too few calls arrive to estimate the offered load.
constexpr double MinVisibleShare = 0.004;

/// Weight of the newest share in the estimate of the share that ingress nodes
/// apply. They receive a new share with the next reply and average it.
constexpr double AppliedShareWeight = 0.5;

/// Deviation of a count from its expected value, in standard deviations of a
/// Poisson distribution, beyond which it is not attributed to chance.
constexpr double OutlierStdDevs = 3;

/// Share of free slots up to which the load does not count as overestimated,
/// and the share by which a window in which all slots are free reduces the
/// estimate.
constexpr double UnderuseTolerance = 0.05;
constexpr double UnderuseGain = 0.5;

/// Bounds of the budget of one window, as multiples of the estimated capacity.
constexpr double MinBudgetRatio = 0.3;
constexpr double MaxBudgetRatio = 1.5;

/// Bounds of the slowly adapted factor on the estimated capacity, and its
/// change per window if the queue deviates from its target by one call per
/// slot.
constexpr double MinCapacityCorrection = 0.7;
constexpr double MaxCapacityCorrection = 1.4;
constexpr double CapacityCorrectionGain = 0.01;
/// Deviation of the queue, in calls per slot, up to which the factor reacts.
/// Larger deviations are left to `QueueCorrectionTime`, since the burst at the
/// onset of a surge gives no information about the capacity.
constexpr double MaxCorrectionError = 0.3;

ClassCustomerLoad &loadOf(ThresholdState &State, std::uint32_t Rank,
                          CustomerIndex Customer) {
  return State.Loads[std::size_t{Rank} * State.Customers + Customer];
}

/// Returns the weight of a window in a moving average. It is larger if the
/// received count deviates from the expected one by more than chance.
double smoothingWeight(const ThresholdTuning &Tuning, double Received,
                       double Expected, double UsualWeight) {
  const double Tolerance = OutlierStdDevs * std::sqrt(Expected + 1);
  return std::abs(Received - Expected) > Tolerance ? Tuning.OutlierSmoothing
                                                   : UsualWeight;
}

/// Estimates the load of one class before shedding. Each received call counts
/// as the inverse of the share that ingress nodes applied. The estimate of the
/// class follows changes fast; those of its customers are averaged over a
/// longer time, because a window holds only a few calls of a small customer.
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

/// Reduces the estimated load of classes that are not fully admitted while
/// slots are free. Free slots show that this load is overestimated; otherwise
/// the end of a surge would be noticed late, because few calls arrive under a
/// small share.
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

/// Returns the calls/s that may be admitted: the capacity plus the rate that
/// brings the queue to its target length within `QueueCorrectionTime`. Returns
/// infinity while there is no overload.
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

/// Returns the admitted calls/s per unit of weight for customers that offer
/// more than their fair share, such that all customers together use up `Budget`
/// (weighted max-min fairness).
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

/// Returns `Wanted`, limited to the allowed growth of the share per window.
double limitShareGrowth(const ClassCustomerLoad &Cell, double Wanted,
                        const ThresholdTuning &Tuning) {
  return std::min(Wanted, std::max(Cell.Share * Tuning.ShareGrowthFactor,
                                   Cell.Share + Tuning.ShareGrowthStep));
}

/// Sets the shares of one class and subtracts its load from `Budget`. Returns
/// true if the whole class is admitted, so that the next worse class may be
/// admitted.
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

/// Computes the levels to report from the shares.
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
    // The best class is shed only when no call of another class runs or waits
    // here.
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
