#include "core/shedding/AdmissionPlan.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// Use of the slots that is aimed at.
constexpr double TargetUse = 0.93;
/// Waiting calls per slot lower the target, so that a queue drains.
constexpr double WaitWeight = 0.35;
/// Time in which the plan moves most of the way to what the use asks for.
constexpr Duration Settling = std::chrono::milliseconds(700);
/// Largest changes in one update: the use is reported with a delay.
constexpr double LargestCut = 0.7;
constexpr double LargestRise = 1.25;
constexpr double SmallestKeep = 0.02;
/// No route is shut completely: what it would do is otherwise never seen.
constexpr double SmallestShare = 0.03;
constexpr int DeepestChain = 32;
/// Fewer calls per run are stray requests on open routes, not a dependency.
constexpr double SmallestCalls = 0.05;
constexpr double LargestReach = 1e4;

/// Splits what one service may carry over the routes that reach it.
void capShares(double Keep, const std::string &Service,
               const std::vector<RouteDemand> &ByPriority,
               const std::vector<std::map<std::string, double>> &Reach,
               std::vector<double> &Shares) {
  const auto Cost = [&](std::size_t I) {
    const auto Found = Reach[I].find(Service);
    return Found == Reach[I].end() ? 0.0
                                   : Found->second * ByPriority[I].OfferedPerS;
  };
  double Total = 0;
  for (std::size_t I = 0; I < ByPriority.size(); ++I)
    Total += Cost(I);
  double Left = Keep * Total;
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
  const double Step =
      1 - std::exp(-static_cast<double>(Elapsed.count()) /
                   static_cast<double>(Settling.count()));
  for (const auto &[Name, Use] : Services) {
    double &Keep = Plan.KeepByService.try_emplace(Name, 1.0).first->second;
    const double Target = std::max(0.3, TargetUse - WaitWeight * Use.WaitShare);
    const double Factor = std::clamp(
        Target / std::max(Use.OfferedUse, 0.01), LargestCut, LargestRise);
    Keep = std::clamp(Keep * std::pow(Factor, Step), SmallestKeep, 1.0);
  }
  std::vector<RouteDemand> ByPriority = Demand;
  std::ranges::stable_sort(ByPriority, {}, &RouteDemand::Priority);
  std::vector<std::map<std::string, double>> Reach;
  for (const RouteDemand &Route : ByPriority)
    Reach.push_back(reachOf(Route.Service, Services));
  std::vector<double> Shares(ByPriority.size(), 1.0);
  for (const auto &[Name, Use] : Services)
    capShares(Plan.KeepByService[Name], Name, ByPriority, Reach, Shares);
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
