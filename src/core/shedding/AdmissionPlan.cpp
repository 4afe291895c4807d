#include "core/shedding/AdmissionPlan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <span>

namespace pollenwick {
namespace {

/// Target utilization of the slots without a queue. It lies above 1 because the
/// demand within a fraction of a second varies by a tenth; waiting calls lower
/// the target.
constexpr double TargetUtilization = 1.03;
/// Time in which a queue should drain. The slot capacity that this takes is
/// reserved for the waiting calls.
constexpr Duration QueueDrainTime = std::chrono::milliseconds(200);
/// Queue length, in calls per slot, that reserves no capacity: a short queue
/// indicates a well used service, not overload.
constexpr double ToleratedWaitingPerSlot = 0.6;
constexpr double MinTargetUtilization = 0.25;
/// Time constant of the smoothed observed and predicted utilization. It is long
/// because nested calls follow the admission of their request by up to the run
/// time of the request.
constexpr Duration UtilizationTimeConstant = std::chrono::milliseconds(2000);
/// Time constant of the smoothed demand.
constexpr Duration DemandTimeConstant = std::chrono::milliseconds(600);
/// Smoothed requests per second below which a route is no longer tracked.
constexpr double MinTrackedPerSecond = 0.01;
/// Bounds of the factor that corrects the predicted utilization, and the
/// utilization below which the factor approaches 1.
constexpr double MinCorrection = 0.4;
constexpr double MaxCorrection = 2.5;
constexpr double NegligibleUtilization = 0.1;
/// Upper bound of one predicted utilization sample. It limits the effect of
/// wrong costs, as measured right after a restart, on the smoothed value.
constexpr double MaxPredictedUtilization = 4;
/// Least share that is admitted of each route. A route that is refused
/// completely would never be measured again.
constexpr double MinAdmittedShare = 0.004;
/// A request counts as cheap if its cost is below this share of the mean cost
/// of its rank.
constexpr double CheapCostRatio = 0.5;
/// Share of a service's capacity that is allocated regardless of customer
/// priority. It leaves the customers of the lowest priority two fifths of an
/// equal share.
constexpr double RoutePriorityCapacityShare = 0.4;
/// Number of dispatch ranks for routes within one customer priority.
constexpr int RanksPerCustomerPriority = 4;
/// Greatest depth of the call tree that is followed.
constexpr int MaxCallDepth = 32;
/// Least number of calls per run that counts as a dependency. A lower number
/// comes from stray requests on open routes.
constexpr double MinCallsPerRun = 0.05;
constexpr double MaxCallsPerRequest = 1e4;

using CallsPerRequestList = std::vector<std::map<std::string, double>>;

double callsAt(const std::map<std::string, double> &CallsPerRequest,
               const std::string &Service) {
  const auto Found = CallsPerRequest.find(Service);
  return Found == CallsPerRequest.end() ? 0.0 : Found->second;
}

/// Returns the utilization of the service `Name` at one request per second of a
/// route, by its own call and by the nested calls that follow from it.
double utilizationPerRequest(const AdmissionPlan::ServiceState &State,
                             const std::string &Name, const RouteDemand &Route,
                             const std::map<std::string, double> &Calls) {
  const ServiceStats &Stats = State.LatestStats;
  if (Stats.Slots <= 0)
    return 0;
  const double OwnCalls = Route.Service == Name ? 1 : 0;
  const double NestedCalls = std::max(0.0, callsAt(Calls, Name) - OwnCalls);
  const double SlotSeconds =
      OwnCalls * directCallSeconds(State.SmoothedWork, Route.Route,
                                   Stats.MeanServiceSeconds) +
      NestedCalls *
          nestedCallSeconds(State.SmoothedWork, Stats.MeanServiceSeconds);
  return SlotSeconds / Stats.Slots;
}

/// Returns the utilization that the waiting calls need in order to leave the
/// queue within the drain time.
double drainUtilization(const ServiceStats &Stats) {
  const double Drain = std::chrono::duration<double>(QueueDrainTime).count();
  return std::max(0.0, Stats.WaitingPerSlot - ToleratedWaitingPerSlot) *
         Stats.MeanServiceSeconds / Drain;
}

/// Returns the bounded ratio of observed to predicted utilization.
double correctionFactor(const AdmissionPlan::ServiceState &State) {
  return std::clamp((State.ObservedUtilization + NegligibleUtilization) /
                        (State.PredictedUtilization + NegligibleUtilization),
                    MinCorrection, MaxCorrection);
}

void updateUtilization(AdmissionPlan::ServiceState &State,
                       const std::string &Name, const ServiceStats &Stats,
                       const std::vector<RouteDemand> &Demand,
                       const CallsPerRequestList &CallsPerRequest,
                       double Weight) {
  State.LatestStats = Stats;
  smoothServiceWork(State.SmoothedWork, Stats.Work, Weight);
  double Predicted = 0;
  for (std::size_t I = 0; I < Demand.size(); ++I)
    Predicted +=
        Demand[I].AdmittedPerSecond *
        utilizationPerRequest(State, Name, Demand[I], CallsPerRequest[I]);
  State.ObservedUtilization +=
      (Stats.OfferedUtilization - State.ObservedUtilization) * Weight;
  State.PredictedUtilization += (std::min(Predicted, MaxPredictedUtilization) -
                                 State.PredictedUtilization) *
                                Weight;
}

/// Returns the smoothed demand of each route in `Demand`. The stored rates of
/// routes without requests decay until they are removed.
std::vector<RouteDemand> smoothDemand(AdmissionPlan &Plan,
                                      std::vector<RouteDemand> Demand,
                                      Duration Elapsed) {
  const double Weight =
      1 - std::exp(-static_cast<double>(Elapsed.count()) /
                   static_cast<double>(DemandTimeConstant.count()));
  for (auto &[Key, Rate] : Plan.SmoothedRates) {
    Rate.OfferedPerSecond *= 1 - Weight;
    Rate.AdmittedPerSecond *= 1 - Weight;
  }
  for (RouteDemand &Route : Demand) {
    AdmissionPlan::RequestRate &Rate =
        Plan.SmoothedRates[{Route.PlanKey, Route.Service}];
    Rate.OfferedPerSecond += Route.OfferedPerSecond * Weight;
    Rate.AdmittedPerSecond += Route.AdmittedPerSecond * Weight;
    Route.OfferedPerSecond = Rate.OfferedPerSecond;
    Route.AdmittedPerSecond = Rate.AdmittedPerSecond;
  }
  std::erase_if(Plan.SmoothedRates, [](const auto &Item) {
    return Item.second.OfferedPerSecond < MinTrackedPerSecond;
  });
  return Demand;
}

/// Returns the utilization of a service that the whole demand of each route
/// would cause.
std::vector<double> demandCosts(const AdmissionPlan::ServiceState &State,
                                const std::string &Name,
                                const std::vector<RouteDemand> &Demand,
                                const CallsPerRequestList &CallsPerRequest) {
  std::vector<double> Costs;
  for (std::size_t I = 0; I < Demand.size(); ++I)
    Costs.push_back(
        Demand[I].OfferedPerSecond *
        utilizationPerRequest(State, Name, Demand[I], CallsPerRequest[I]) *
        correctionFactor(State));
  return Costs;
}

/// Intermediate result of allocating the capacity of one service to plan keys.
struct CapacityAllocation {
  std::vector<double> Costs; ///< Utilization by the whole demand of each key.
  /// Share of that demand that has been allocated so far, 0 to 1.
  std::vector<double> Shares;

  double unmetCost(std::size_t I) const { return Costs[I] * (1 - Shares[I]); }
};

/// Allocates `RemainingCapacity` to the keys of one rank. A request that uses
/// the service much less than the others of its rank is admitted more often: it
/// takes little capacity from them, and more requests complete.
void allocateToRank(std::span<const std::size_t> Rank, double RemainingCapacity,
                    const std::vector<RouteDemand> &Demand,
                    CapacityAllocation &Allocation) {
  double UnmetCost = 0;
  double UnmetRequests = 0;
  for (const std::size_t I : Rank) {
    UnmetCost += Allocation.unmetCost(I);
    UnmetRequests += Allocation.Costs[I] > 0 ? Demand[I].OfferedPerSecond *
                                                   (1 - Allocation.Shares[I])
                                             : 0;
  }
  if (UnmetCost <= 0)
    return;
  const double MeanCost = UnmetCost / UnmetRequests;
  const auto IsCheap = [&](std::size_t I) {
    return Allocation.Costs[I] <
           CheapCostRatio * MeanCost * Demand[I].OfferedPerSecond;
  };
  const double EqualShare = std::clamp(RemainingCapacity / UnmetCost, 0.0, 1.0);
  const double CheapShare = std::sqrt(EqualShare);
  double CheapCost = 0;
  for (const std::size_t I : Rank)
    CheapCost += IsCheap(I) ? Allocation.unmetCost(I) : 0;
  const double OtherShare =
      CheapCost < UnmetCost
          ? std::clamp((RemainingCapacity - CheapCost * CheapShare) /
                           (UnmetCost - CheapCost),
                       0.0, 1.0)
          : EqualShare;
  for (const std::size_t I : Rank)
    Allocation.Shares[I] +=
        (1 - Allocation.Shares[I]) * (IsCheap(I) ? CheapShare : OtherShare);
}

/// Allocates `Capacity` rank by rank, beginning with the most important one.
/// `Order` holds the indexes of the keys and is sorted by `RankOf` here; keys
/// of equal rank share what is left.
template <typename Rank>
void allocateByRank(std::vector<std::size_t> Order, double Capacity,
                    Rank RankOf, const std::vector<RouteDemand> &Demand,
                    CapacityAllocation &Allocation) {
  std::ranges::stable_sort(Order, {}, RankOf);
  double RemainingCapacity = Capacity;
  for (std::size_t Begin = 0; Begin < Order.size();) {
    std::size_t End = Begin;
    double UnmetCost = 0;
    while (End < Order.size() && RankOf(Order[End]) == RankOf(Order[Begin]))
      UnmetCost += Allocation.unmetCost(Order[End++]);
    allocateToRank(std::span(Order).subspan(Begin, End - Begin),
                   RemainingCapacity, Demand, Allocation);
    RemainingCapacity = std::max(0.0, RemainingCapacity - UnmetCost);
    Begin = End;
  }
}

/// Allocates the capacity of one service to the keys whose requests reach it,
/// and lowers their entries in `Shares` accordingly.
void limitSharesToCapacity(AdmissionPlan::ServiceState &State,
                           const std::string &Name,
                           const std::vector<RouteDemand> &Demand,
                           const CallsPerRequestList &CallsPerRequest,
                           std::vector<double> &Shares) {
  CapacityAllocation Allocation{
      demandCosts(State, Name, Demand, CallsPerRequest),
      std::vector<double>(Demand.size(), 0.0)};
  const double Total =
      std::accumulate(Allocation.Costs.begin(), Allocation.Costs.end(), 0.0);
  const double Capacity =
      std::max(MinTargetUtilization,
               TargetUtilization - drainUtilization(State.LatestStats));
  State.SustainableShare = Total > 0 ? std::min(1.0, Capacity / Total) : 1.0;
  std::vector<std::size_t> Order(Demand.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  const auto ByRoute = [&](std::size_t I) { return Demand[I].RoutePriority; };
  const auto ByCustomer = [&](std::size_t I) {
    return std::pair(std::max(Demand[I].CustomerPriority, 0),
                     Demand[I].RoutePriority);
  };
  allocateByRank(Order, Capacity * RoutePriorityCapacityShare, ByRoute, Demand,
                 Allocation);
  allocateByRank(Order, Capacity * (1 - RoutePriorityCapacityShare), ByCustomer,
                 Demand, Allocation);
  for (std::size_t I = 0; I < Demand.size(); ++I)
    if (Allocation.Costs[I] > 0)
      Shares[I] =
          std::min(Shares[I], std::max(MinAdmittedShare, Allocation.Shares[I]));
}

/// Lowers the shares of requests that need a service without slots, which has
/// no reachable server. These requests would fail, and those that may not be
/// repeated would fail permanently.
void limitSharesOfUnreachable(AdmissionPlan::ServiceState &State,
                              const std::string &Name,
                              const CallsPerRequestList &CallsPerRequest,
                              std::vector<double> &Shares) {
  State.SustainableShare = 0;
  for (std::size_t I = 0; I < Shares.size(); ++I) {
    const double WithoutCall = 1 - callsAt(CallsPerRequest[I], Name);
    Shares[I] = std::min(Shares[I], std::max(MinAdmittedShare, WithoutCall));
  }
}

} // namespace

std::string planKey(const std::string &Route, int CustomerPriority) {
  return Route + "@" + std::to_string(std::max(CustomerPriority, 0));
}

int dispatchRank(int CustomerPriority, int RoutePriority) {
  return std::max(CustomerPriority, 0) * RanksPerCustomerPriority +
         std::clamp(RoutePriority, 0, RanksPerCustomerPriority - 1);
}

std::map<std::string, double>
callsPerRequest(const std::string &Service,
                const std::map<std::string, ServiceStats> &Services) {
  // Traverses the graph level by level because observed calls may form cycles:
  // the depth bounds the work, whatever the number of paths.
  std::map<std::string, double> Result{{Service, 1.0}};
  std::map<std::string, double> Frontier = Result;
  for (int Depth = 0; Depth < MaxCallDepth && !Frontier.empty(); ++Depth) {
    std::map<std::string, double> Next;
    for (const auto &[Caller, CallerRuns] : Frontier) {
      const auto Found = Services.find(Caller);
      if (Found == Services.end())
        continue;
      for (const auto &[Callee, Calls] : Found->second.NestedCallsPerRun)
        if (Calls >= MinCallsPerRun)
          Next[Callee] += CallerRuns * Calls;
    }
    for (const auto &[Callee, CallerRuns] : Next)
      Result[Callee] =
          std::min(MaxCallsPerRequest, Result[Callee] + CallerRuns);
    Frontier = std::move(Next);
  }
  return Result;
}

void updatePlan(AdmissionPlan &Plan, const std::vector<RouteDemand> &Offered,
                const std::map<std::string, ServiceStats> &Services,
                Duration Elapsed) {
  const double Weight =
      1 - std::exp(-static_cast<double>(Elapsed.count()) /
                   static_cast<double>(UtilizationTimeConstant.count()));
  const std::vector<RouteDemand> Demand = smoothDemand(Plan, Offered, Elapsed);
  CallsPerRequestList CallsPerRequest;
  for (const RouteDemand &Route : Demand)
    CallsPerRequest.push_back(callsPerRequest(Route.Service, Services));
  std::vector<double> Shares(Demand.size(), 1.0);
  for (const auto &[Name, Stats] : Services) {
    AdmissionPlan::ServiceState &State = Plan.Services[Name];
    updateUtilization(State, Name, Stats, Demand, CallsPerRequest, Weight);
    if (Stats.Slots > 0)
      limitSharesToCapacity(State, Name, Demand, CallsPerRequest, Shares);
    else
      limitSharesOfUnreachable(State, Name, CallsPerRequest, Shares);
  }
  Plan.AdmittedShareByKey.clear();
  for (std::size_t I = 0; I < Demand.size(); ++I) {
    const auto [It, New] =
        Plan.AdmittedShareByKey.try_emplace(Demand[I].PlanKey, Shares[I]);
    if (!New)
      It->second = std::min(It->second, Shares[I]);
  }
}

double admittedShare(const AdmissionPlan &Plan, const std::string &Key) {
  const auto Found = Plan.AdmittedShareByKey.find(Key);
  return Found == Plan.AdmittedShareByKey.end() ? 1.0 : Found->second;
}

} // namespace pollenwick
