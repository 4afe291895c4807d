#include "node/AdmissionService.h"

#include <algorithm>
#include <iterator>

#include "peer/Clock.h"

namespace pollenwick {

CustomerIndex customerIndex(const BundleIndex &Reach,
                            const CustomerId &Customer) {
  const auto It = Reach.CustomerByName.find(Customer);
  return It == Reach.CustomerByName.end() ? 0 : It->second;
}

ServiceThreshold toNamedThreshold(const BundleIndex &Reach,
                                  const ThresholdReport &Report) {
  return {Reach.Services[Report.Service], Report.CustomerLevel.Value,
          Report.CommonLevel.Value, Report.Age};
}

void AdmissionService::onBundle(const BundlePtr &New) {
  std::scoped_lock Lock(Mutex);
  // Levels are stored by index, so they are kept only if both bundles assign
  // the same indexes. Otherwise the ingress learns them again from the next
  // replies.
  const bool SameIndexes = Bundle &&
                           Bundle->Reach.Services == New->Reach.Services &&
                           Bundle->Reach.Customers == New->Reach.Customers;
  Bundle = New;
  if (!SameIndexes)
    State = makeIngress(New->Reach);
}

std::optional<Refusal> AdmissionService::admitRoot(const RouteId &Route,
                                                   const CustomerId &Customer,
                                                   std::uint64_t Hash) {
  std::scoped_lock Lock(Mutex);
  Refusal Out;
  if (!Bundle || !Bundle->Reach.RouteByName.contains(Route)) {
    Out.Reason = RefusalReason::NoBundle;
    Out.Message = "route left the configuration; send again";
    return Out;
  }
  const BundleIndex &Reach = Bundle->Reach;
  const AdmitResult Result =
      admit(State, Reach,
            {Reach.RouteByName.at(Route), customerIndex(Reach, Customer), Hash},
            now());
  if (Result.Admitted)
    return std::nullopt;
  Out.Reason = Result.Reason;
  Out.RetryAfter = Result.RetryAfter;
  Out.Message = "service \"" + Reach.Services[Result.LimitingService].Text +
                "\" is overloaded; send again later";
  return Out;
}

void AdmissionService::recordLoadReport(const CustomerId &Customer,
                                        const LoadReport &Load) {
  std::scoped_lock Lock(Mutex);
  if (!Bundle || !Load.Known)
    return;
  const BundleIndex &Reach = Bundle->Reach;
  std::vector<ThresholdReport> Reports;
  for (const ServiceThreshold &Threshold : Load.Thresholds)
    if (const auto It = Reach.ServiceByName.find(Threshold.Service);
        It != Reach.ServiceByName.end())
      Reports.push_back({It->second, AdmissionLevel{Threshold.CustomerLevel},
                         AdmissionLevel{Threshold.CommonLevel}, Threshold.Age});
  learnLevels(State, Reach, customerIndex(Reach, Customer), Reports, now());
}

std::vector<ServiceThreshold>
AdmissionService::downstreamThresholds(const RouteId &Route,
                                       const CustomerId &Customer) const {
  std::scoped_lock Lock(Mutex);
  std::vector<ServiceThreshold> Out;
  if (!Bundle)
    return Out;
  const BundleIndex &Reach = Bundle->Reach;
  const auto It = Reach.RouteByName.find(Route);
  if (It == Reach.RouteByName.end())
    return Out;
  std::vector<ThresholdReport> Reports;
  relayReports(State, Reach, It->second, customerIndex(Reach, Customer), now(),
               Reports);
  std::ranges::transform(Reports, std::back_inserter(Out),
                         [&](const ThresholdReport &Report) {
                           return toNamedThreshold(Reach, Report);
                         });
  return Out;
}

void AdmissionService::dump(Poco::JSON::Object &Out) const {
  std::scoped_lock Lock(Mutex);
  if (!Bundle)
    return;
  const BundleIndex &Reach = Bundle->Reach;
  Poco::JSON::Object::Ptr Customers = new Poco::JSON::Object;
  for (CustomerIndex I = 0; I < State.Counters.size(); ++I) {
    Poco::JSON::Object::Ptr One = new Poco::JSON::Object;
    One->set("admitted", State.Counters[I].Admitted);
    One->set("shed", State.Counters[I].Shed);
    Customers->set(Reach.Customers[I].Text, One);
  }
  Out.set("tenants", Customers);
}

} // namespace pollenwick
