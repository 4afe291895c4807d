#include "core/shedding/AdmissionPlan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pollenwick {
namespace {

/// Use of the slots that is aimed at. It lies above 1, since the demand of a
/// fraction of a second varies by a tenth; a queue lowers it.
constexpr double TargetUse = 1.03;
/// Time in which a queue should drain: so much of the slots is kept free for
/// the calls that wait. A short queue is the mark of a well used service, not
/// of overload.
constexpr Duration DrainTime = std::chrono::milliseconds(200);
constexpr double ShortQueue = 0.6;
constexpr double SmallestTarget = 0.25;
/// Time over which observed and predicted use are compared. Nested calls follow
/// the admission of their request by up to its run time.
constexpr Duration Comparison = std::chrono::milliseconds(2000);
/// Time over which the demand is averaged.
constexpr Duration DemandMean = std::chrono::milliseconds(600);
/// Requests a second of a route that is forgotten.
constexpr double FaintDemand = 0.01;
/// Bounds of the correction, and a use below which it fades out.
constexpr double LeastCorrection = 0.4;
constexpr double MostCorrection = 2.5;
constexpr double FaintUse = 0.1;
/// Bounds what a wrong cost, as seen right after a restart, does to the mean.
constexpr double MostPredicted = 4;
/// No route is shut completely: what it would do is otherwise never seen.
constexpr double SmallestShare = 0.004;
/// A request that costs less than this share of its priority's mean is cheap.
constexpr double CheapShare = 0.5;
constexpr int DeepestChain = 32;
/// Fewer calls per run are stray requests on open routes, not a dependency.
constexpr double SmallestCalls = 0.05;
constexpr double LargestReach = 1e4;

using ReachList = std::vector<std::map<std::string, double>>;

double callsAt(const std::map<std::string, double> &Reach,
               const std::string &Service) {
  const auto Found = Reach.find(Service);
  return Found == Reach.end() ? 0.0 : Found->second;
}

/// Use of a service by one call a second.
double useOfCall(const ServiceUse &Use) {
  return Use.Slots > 0 ? Use.CallSeconds / Use.Slots : 0.0;
}

/// Use of the slots that empties the queue in the drain time.
double drainUse(const ServiceUse &Use) {
  const double Drain = std::chrono::duration<double>(DrainTime).count();
  return std::max(0.0, Use.WaitShare - ShortQueue) * Use.CallSeconds / Drain;
}

double correctionOf(const AdmissionPlan::Service &State) {
  return std::clamp((State.Observed + FaintUse) / (State.Predicted + FaintUse),
                    LeastCorrection, MostCorrection);
}

void compareUse(AdmissionPlan::Service &State, const std::string &Name,
                const ServiceUse &Use,
                const std::vector<RouteDemand> &ByPriority,
                const ReachList &Reach, double Step) {
  double Predicted = 0;
  for (std::size_t I = 0; I < ByPriority.size(); ++I)
    Predicted +=
        ByPriority[I].AdmittedPerS * callsAt(Reach[I], Name) * useOfCall(Use);
  State.Observed += (Use.OfferedUse - State.Observed) * Step;
  State.Predicted +=
      (std::min(Predicted, MostPredicted) - State.Predicted) * Step;
  State.Seen = Use;
}

/// Mean demand of each route; routes without requests now fade out.
std::vector<RouteDemand> smoothDemand(AdmissionPlan &Plan,
                                      std::vector<RouteDemand> Demand,
                                      Duration Elapsed) {
  const double Step = 1 - std::exp(-static_cast<double>(Elapsed.count()) /
                                   static_cast<double>(DemandMean.count()));
  for (auto &[Key, Rate] : Plan.Rates) {
    Rate.OfferedPerS *= 1 - Step;
    Rate.AdmittedPerS *= 1 - Step;
  }
  for (RouteDemand &Route : Demand) {
    AdmissionPlan::Rate &Rate = Plan.Rates[{Route.Route, Route.Service}];
    Rate.OfferedPerS += Route.OfferedPerS * Step;
    Rate.AdmittedPerS += Route.AdmittedPerS * Step;
    Route.OfferedPerS = Rate.OfferedPerS;
    Route.AdmittedPerS = Rate.AdmittedPerS;
  }
  std::erase_if(Plan.Rates, [](const auto &Item) {
    return Item.second.OfferedPerS < FaintDemand;
  });
  return Demand;
}

/// Use of a service by the demand of each route.
std::vector<double> costsAt(const AdmissionPlan::Service &State,
                            const std::string &Name,
                            const std::vector<RouteDemand> &ByPriority,
                            const ReachList &Reach) {
  const double PerCall = useOfCall(State.Seen) * correctionOf(State);
  std::vector<double> Costs;
  for (std::size_t I = 0; I < ByPriority.size(); ++I)
    Costs.push_back(ByPriority[I].OfferedPerS * callsAt(Reach[I], Name) *
                    PerCall);
  return Costs;
}

/// One priority's routes, `Begin` to `End`, and what they may use together.
struct PriorityLevel {
  std::size_t Begin = 0;
  std::size_t End = 0;
  double Cost = 0; ///< Use by their whole demand.
  double Left = 0;
};

/// Splits what is left for one priority. A request that uses the service much
/// less than the others of its priority is admitted more often: it takes little
/// from them, and more requests complete.
void capLevel(const PriorityLevel &Level,
              const std::vector<RouteDemand> &ByPriority,
              const std::vector<double> &Costs, std::vector<double> &Shares) {
  const double Equal = std::clamp(Level.Left / Level.Cost, SmallestShare, 1.0);
  double Requests = 0;
  for (std::size_t I = Level.Begin; I < Level.End; ++I)
    Requests += Costs[I] > 0 ? ByPriority[I].OfferedPerS : 0;
  const double Mean = Level.Cost / Requests;
  const auto IsCheap = [&](std::size_t I) {
    return Costs[I] < CheapShare * Mean * ByPriority[I].OfferedPerS;
  };
  const double CheapRate = std::sqrt(Equal);
  double Cheap = 0;
  for (std::size_t I = Level.Begin; I < Level.End; ++I)
    Cheap += IsCheap(I) ? Costs[I] : 0;
  const double Other =
      Cheap < Level.Cost
          ? std::clamp((Level.Left - Cheap * CheapRate) / (Level.Cost - Cheap),
                       SmallestShare, 1.0)
          : Equal;
  for (std::size_t I = Level.Begin; I < Level.End; ++I)
    if (Costs[I] > 0)
      Shares[I] = std::min(Shares[I], IsCheap(I) ? CheapRate : Other);
}

/// Splits what one service may carry over the routes that reach it.
void capShares(AdmissionPlan::Service &State, const std::string &Name,
               const std::vector<RouteDemand> &ByPriority,
               const ReachList &Reach, std::vector<double> &Shares) {
  const std::vector<double> Costs = costsAt(State, Name, ByPriority, Reach);
  const double Total = std::accumulate(Costs.begin(), Costs.end(), 0.0);
  double Left = std::max(SmallestTarget, TargetUse - drainUse(State.Seen));
  State.Keep = Total > 0 ? std::min(1.0, Left / Total) : 1.0;
  for (PriorityLevel Level; Level.Begin < ByPriority.size();
       Level.Begin = Level.End) {
    Level.End = Level.Begin;
    Level.Cost = 0;
    Level.Left = Left;
    while (Level.End < ByPriority.size() &&
           ByPriority[Level.End].Priority == ByPriority[Level.Begin].Priority)
      Level.Cost += Costs[Level.End++];
    if (Level.Cost > 0)
      capLevel(Level, ByPriority, Costs, Shares);
    Left = std::max(0.0, Left - Level.Cost);
  }
}

} // namespace

std::map<std::string, double>
reachOf(const std::string &Service,
        const std::map<std::string, ServiceUse> &Services) {
  // Level by level, since observed calls may form cycles: the work is bounded
  // by the depth, not by the number of paths.
  std::map<std::string, double> Result{{Service, 1.0}};
  std::map<std::string, double> Level = Result;
  for (int Depth = 0; Depth < DeepestChain && !Level.empty(); ++Depth) {
    std::map<std::string, double> Next;
    for (const auto &[Caller, Times] : Level) {
      const auto Found = Services.find(Caller);
      if (Found == Services.end())
        continue;
      for (const auto &[Callee, Calls] : Found->second.CallsPerRun)
        if (Calls >= SmallestCalls)
          Next[Callee] += Times * Calls;
    }
    for (const auto &[Callee, Times] : Next)
      Result[Callee] = std::min(LargestReach, Result[Callee] + Times);
    Level = std::move(Next);
  }
  return Result;
}

void updatePlan(AdmissionPlan &Plan, const std::vector<RouteDemand> &Demand,
                const std::map<std::string, ServiceUse> &Services,
                Duration Elapsed) {
  const double Step = 1 - std::exp(-static_cast<double>(Elapsed.count()) /
                                   static_cast<double>(Comparison.count()));
  std::vector<RouteDemand> ByPriority = smoothDemand(Plan, Demand, Elapsed);
  std::ranges::stable_sort(ByPriority, {}, &RouteDemand::Priority);
  ReachList Reach;
  for (const RouteDemand &Route : ByPriority)
    Reach.push_back(reachOf(Route.Service, Services));
  std::vector<double> Shares(ByPriority.size(), 1.0);
  for (const auto &[Name, Use] : Services) {
    AdmissionPlan::Service &State = Plan.Services[Name];
    compareUse(State, Name, Use, ByPriority, Reach, Step);
    capShares(State, Name, ByPriority, Reach, Shares);
  }
  Plan.ShareByRoute.clear();
  for (std::size_t I = 0; I < ByPriority.size(); ++I) {
    const auto [It, New] =
        Plan.ShareByRoute.try_emplace(ByPriority[I].Route, Shares[I]);
    if (!New)
      It->second = std::min(It->second, Shares[I]);
  }
}

double admittedShare(const AdmissionPlan &Plan, const std::string &Route) {
  const auto Found = Plan.ShareByRoute.find(Route);
  return Found == Plan.ShareByRoute.end() ? 1.0 : Found->second;
}

} // namespace pollenwick
