#include "core/rules/RouteTable.h"

#include <algorithm>
#include <numeric>

namespace pollenwick {

void indexRules(RouteTable &Table, Rules &&Source) {
  Table.Source = std::move(Source);
  for (const RouteRule &Route : Table.Source.Routes)
    Table.ByHost[Route.Host].push_back(&Route);
  for (auto &[Host, Routes] : Table.ByHost)
    std::ranges::stable_sort(
        Routes, std::ranges::greater{},
        [](const RouteRule *Route) { return Route->PathPrefix.size(); });
  for (const CustomerRule &Customer : Table.Source.Customers)
    for (const std::string &Key : Customer.Keys)
      Table.ByKey.emplace(Key, &Customer);
  for (const ServiceRule &Service : Table.Source.Services) {
    Table.ByService.emplace(Service.Service, &Service);
    Table.NamedServices.insert(Service.Service);
  }
  for (const RouteRule &Route : Table.Source.Routes)
    for (const WeightedService &Part : Route.Services)
      Table.NamedServices.insert(Part.Service);
}

const RouteRule *findRoute(const RouteTable &Table, std::string_view Host,
                           std::string_view Target) {
  const std::string_view Path = Target.substr(0, Target.find('?'));
  const std::string_view Name = Host.substr(0, Host.find(':'));
  const auto Found = Table.ByHost.find(Name);
  if (Found == Table.ByHost.end())
    return nullptr;
  const auto Route =
      std::ranges::find_if(Found->second, [&](const RouteRule *Candidate) {
        return Path.starts_with(Candidate->PathPrefix);
      });
  return Route == Found->second.end() ? nullptr : *Route;
}

const CustomerRule *findCustomer(const RouteTable &Table,
                                 std::string_view Key) {
  const auto Found = Table.ByKey.find(Key);
  return Found == Table.ByKey.end() ? nullptr : Found->second;
}

const ServiceId &WeightedRoundRobin::next(const RouteRule &Route) {
  if (Route.Services.size() == 1)
    return Route.Services.front().Service;
  State &Split = Routes[Route.Name];
  std::vector<std::uint32_t> Weights(Route.Services.size());
  std::ranges::transform(Route.Services, Weights.begin(),
                         &WeightedService::Weight);
  const std::int64_t Total =
      std::accumulate(Weights.begin(), Weights.end(), std::int64_t{0});
  if (Split.Weights != Weights) {
    Split.CurrentWeights.assign(Weights.size(), 0);
    for (std::int64_t &CurrentWeights : Split.CurrentWeights) {
      RandomState =
          RandomState * 6364136223846793005ULL + 1442695040888963407ULL;
      CurrentWeights =
          Total > 0 ? static_cast<std::int64_t>((RandomState >> 33) % Total)
                    : 0;
    }
    Split.Weights = Weights;
  }
  for (std::size_t I = 0; I < Weights.size(); ++I)
    Split.CurrentWeights[I] += Weights[I];
  const auto Best = std::ranges::max_element(Split.CurrentWeights);
  *Best -= Total;
  return Route.Services[Best - Split.CurrentWeights.begin()].Service;
}

} // namespace pollenwick
