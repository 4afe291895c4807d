#include "core/admission/BundleIndex.h"

#include <algorithm>
#include <set>

namespace pollenwick {

namespace {

/// Numbers the ranks of the classes without gaps, beginning at 0.
std::unordered_map<ClassId, std::uint32_t> denseRanks(const Bundle &Rules) {
  std::set<std::uint32_t> Distinct;
  for (const ClassSpec &Class : Rules.Classes)
    Distinct.insert(Class.Rank);
  std::unordered_map<ClassId, std::uint32_t> Ranks;
  for (const ClassSpec &Class : Rules.Classes)
    Ranks[Class.Id] = static_cast<std::uint32_t>(
        std::distance(Distinct.begin(), Distinct.find(Class.Rank)));
  return Ranks;
}

/// Adds the services that calls of `Route` reach to `Services`.
void collectServices(const Bundle &Rules, const BundleIndex &Table,
                     RouteIndex Route, std::vector<bool> &Visited,
                     std::set<ServiceIndex> &Services) {
  if (Visited[Route])
    return;
  Visited[Route] = true;
  Services.insert(Table.Routes[Route].Service);
  for (const EdgeSpec &Edge : Rules.Routes[Route].Calls)
    if (auto Callee = Table.RouteByName.find(Edge.Route);
        Callee != Table.RouteByName.end())
      collectServices(Rules, Table, Callee->second, Visited, Services);
}

} // namespace

BundleIndex buildBundleIndex(const Bundle &Rules) {
  BundleIndex Table;
  for (const ServiceSpec &Service : Rules.Services) {
    Table.ServiceByName[Service.Id] =
        static_cast<ServiceIndex>(Table.Services.size());
    Table.Services.push_back(Service.Id);
    Table.Slots.push_back(std::max(1U, Service.Slots));
  }
  for (const CustomerSpec &Customer : Rules.Customers) {
    Table.CustomerByName[Customer.Id] =
        static_cast<CustomerIndex>(Table.Customers.size());
    Table.Customers.push_back(Customer.Id);
    Table.Weights.push_back(std::max(1U, Customer.Weight));
  }
  const std::unordered_map<ClassId, std::uint32_t> Ranks = denseRanks(Rules);
  for (const auto &[Class, Rank] : Ranks)
    Table.RankCount = std::max(Table.RankCount, Rank + 1);
  for (const RouteSpec &Route : Rules.Routes) {
    Table.RouteByName[Route.Id] = static_cast<RouteIndex>(Table.Routes.size());
    RouteDependencies Dependencies;
    if (auto OwnService = Table.ServiceByName.find(Route.Service);
        OwnService != Table.ServiceByName.end())
      Dependencies.Service = OwnService->second;
    // A route of an undeclared class gets the rank that is shed first. The
    // bundle check rejects such routes, but the guarantee that deposits are
    // shed last must not depend on that check.
    auto Rank = Ranks.find(Route.Class);
    Dependencies.Rank =
        Rank == Ranks.end() ? Table.RankCount - 1 : Rank->second;
    Table.Routes.push_back(std::move(Dependencies));
  }
  for (RouteIndex Route = 0; Route < Table.Routes.size(); ++Route) {
    std::vector<bool> Visited(Table.Routes.size());
    std::set<ServiceIndex> Services;
    collectServices(Rules, Table, Route, Visited, Services);
    Table.Routes[Route].ReachedServices.assign(Services.begin(),
                                               Services.end());
  }
  return Table;
}

} // namespace pollenwick
