#include "core/shedding/AdmissionPlan.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// Use of the slots that is aimed at.
constexpr double TargetUse = 0.98;
/// Waiting calls per slot lower the target, so that a queue drains. A short
/// queue is the mark of a well used service, not of overload.
constexpr double WaitWeight = 0.5;
constexpr double ShortQueue = 0.4;
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

/// Splits what one service may carry over the routes that reach it.
void capShares(AdmissionPlan::Service &State, const std::string &Name,
               const std::vector<RouteDemand> &ByPriority,
               const ReachList &Reach, std::vector<double> &Shares) {
  const double PerCall = useOfCall(State.Seen) * correctionOf(State);
  const auto Cost = [&](std::size_t I) {
    return ByPriority[I].OfferedPerS * callsAt(Reach[I], Name) * PerCall;
  };
  double Total = 0;
  for (std::size_t I = 0; I < ByPriority.size(); ++I)
    Total += Cost(I);
  double Left =
      std::max(SmallestTarget,
               TargetUse - WaitWeight * std::max(0.0, State.Seen.WaitShare -
                                                          ShortQueue));
  State.Keep = Total > 0 ? std::min(1.0, Left / Total) : 1.0;
  for (std::size_t Begin = 0; Begin < ByPriority.size();) {
    std::size_t End = Begin;
    double Level = 0;
    while (End < ByPriority.size() &&
           ByPriority[End].Priority == ByPriority[Begin].Priority)
      Level += Cost(End++);
    const double Share =
        Level > 0 ? std::clamp(Left / Level, SmallestShare, 1.0) : 1.0;
    for (std::size_t I = Begin; I < End; ++I)
      if (Cost(I) > 0)
        Shares[I] = std::min(Shares[I], Share);
    Left = std::max(0.0, Left - Level);
    Begin = End;
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
