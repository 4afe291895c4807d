#include "agent/FleetState.h"

#include <algorithm>
#include <set>

#include "core/fairness/CustomerCounts.h"

namespace pollenwick::agent {
namespace {

/// Reports older than this are ignored as outdated.
constexpr Duration MaxReportAge = std::chrono::milliseconds(1500);

double toSeconds(Duration Time) {
  return static_cast<double>(Time.count()) / 1e6;
}

std::uint64_t counterIncrease(std::uint64_t Latest, std::uint64_t Previous) {
  return Latest > Previous ? Latest - Previous : 0;
}

std::uint64_t countOf(const std::vector<NamedCount> &Counts,
                      const std::string &Name,
                      std::uint64_t NamedCount::*Member) {
  const auto Found = std::ranges::find(Counts, Name, &NamedCount::Name);
  return Found == Counts.end() ? 0 : (*Found).*Member;
}

/// Sums over the reports of all nodes whose server belongs to one service.
struct ServiceTotals {
  double OfferedSlotMicros = 0;   ///< Slot time that calls needed.
  double AvailableSlotMicros = 0; ///< Slot time that servers had.
  double Slots = 0;
  double Waiting = 0;
  double SlotsWithCallTime =
      0; ///< Slots of the servers that report a mean service time.
  double MaxCallsPerS = 0; ///< Calls per second that these slots can finish.
  double Runs = 0;
  std::map<std::string, double> Calls; ///< Nested calls, keyed by service.
  ServiceWork Work;
};

/// Request rates of one plan key.
struct PlanKeyRates {
  double AdmittedPerS = 0;
  double OfferedPerS = 0;
};

/// Least share of a server's calls that counts as completed. A service whose
/// servers all fail is not one without servers.
constexpr double MinServingShare = 0.05;

/// Returns the share of its calls that a server completes, as far as it differs
/// from the others of its service. Failures that are common to all servers come
/// from the services that they call.
double servingShare(const ServerLoad &Load, const ServiceBaseline &Baseline) {
  return std::max(MinServingShare, 1 - excessFailureRate(Load, Baseline));
}

/// Adds the report of a node whose server completes `ServingShare` of its
/// calls.
void addReport(ServiceTotals &Total, const StatusFrame &Latest,
               const StatusFrame &Previous, double ServingShare) {
  Total.OfferedSlotMicros += static_cast<double>(
      counterIncrease(Latest.OfferedSlotMicros, Previous.OfferedSlotMicros));
  // Slots of a server that fails or rejects calls complete fewer requests.
  const double Slots = usableSlots(Latest.Load) * ServingShare;
  Total.AvailableSlotMicros +=
      ServingShare *
      static_cast<double>(counterIncrease(Latest.AvailableSlotMicros,
                                          Previous.AvailableSlotMicros));
  Total.Slots += Slots;
  Total.Waiting += Latest.Load.Waiting;
  if (Latest.Load.MeanServiceTime.count() > 0) {
    Total.SlotsWithCallTime += Slots;
    Total.MaxCallsPerS += Slots / toSeconds(Latest.Load.MeanServiceTime);
  }
  Total.Runs += static_cast<double>(Latest.Runs);
  for (const NamedCount &Call : Latest.NestedCallCounts)
    Total.Calls[Call.Name] += static_cast<double>(Call.A);
  for (const NamedCount &Route : Latest.RouteWork) {
    RouteWorkSample &Work = Total.Work[Route.Name];
    Work.Calls += static_cast<double>(counterIncrease(
        Route.A, countOf(Previous.RouteWork, Route.Name, &NamedCount::A)));
    Work.SlotSeconds +=
        static_cast<double>(counterIncrease(
            Route.B, countOf(Previous.RouteWork, Route.Name, &NamedCount::B))) /
        1e6;
  }
}

void addRouteRates(std::map<std::string, PlanKeyRates> &Rates,
                   const StatusFrame &Latest, const StatusFrame &Previous,
                   double Seconds) {
  const NamedCountIndex PreviousCounts = indexByName(Previous.RouteCounts);
  for (const NamedCount &Key : Latest.RouteCounts) {
    const auto Earlier = PreviousCounts.find(Key.Name);
    const auto PerSecond = [&](std::uint64_t NamedCount::*Member) {
      return static_cast<double>(
                 counterIncrease(Key.*Member, Earlier == PreviousCounts.end()
                                                  ? 0
                                                  : Earlier->second->*Member)) /
             Seconds;
    };
    PlanKeyRates &Rate = Rates[Key.Name];
    Rate.AdmittedPerS += PerSecond(&NamedCount::A);
    Rate.OfferedPerS += PerSecond(&NamedCount::B);
  }
}

/// Returns the work of the routes in `Rules`. Routes without a key take the
/// nested calls.
ServiceWork workOfRules(const ServiceWork &Work, const RouteTable &Rules) {
  ServiceWork Known;
  for (const RouteRule &Route : Rules.Source.Routes) {
    const auto Found = Work.find(Route.Name);
    if (Found == Work.end())
      continue;
    Known[Route.Name] = Found->second;
    Known[Route.Name].Nested = Route.Public;
  }
  return Known;
}

ServiceStats toServiceStats(const ServiceTotals &Total,
                            const RouteTable &Rules) {
  ServiceStats Use;
  Use.Work = workOfRules(Total.Work, Rules);
  Use.Slots = Total.Slots;
  if (Total.AvailableSlotMicros > 0)
    Use.OfferedUtilization =
        Total.OfferedSlotMicros / Total.AvailableSlotMicros;
  if (Total.MaxCallsPerS > 0)
    Use.MeanServiceSeconds = Total.SlotsWithCallTime / Total.MaxCallsPerS;
  if (Total.Slots > 0)
    Use.WaitingPerSlot = Total.Waiting / Total.Slots;
  if (Total.Runs > 0)
    for (const auto &[Callee, Count] : Total.Calls)
      Use.NestedCallsPerRun[Callee] = Count / Total.Runs;
  return Use;
}

/// Returns the demand of each plan key at each service of its route, in
/// proportion to the weights.
std::vector<RouteDemand>
routeDemand(const RouteTable &Rules,
            const std::map<std::string, PlanKeyRates> &Rates) {
  std::set<int> CustomerPriorities{0};
  for (const CustomerRule &Customer : Rules.Source.Customers)
    CustomerPriorities.insert(std::max(Customer.Priority, 0));
  std::vector<RouteDemand> Demand;
  for (const RouteRule &Route : Rules.Source.Routes) {
    double TotalWeight = 0;
    for (const WeightedService &Part : Route.Services)
      TotalWeight += Part.Weight;
    for (const int Priority : CustomerPriorities) {
      const auto Rate = Rates.find(planKey(Route.Name, Priority));
      if (Rate == Rates.end() || TotalWeight <= 0)
        continue;
      for (const WeightedService &Part : Route.Services) {
        const double Share = Part.Weight / TotalWeight;
        Demand.push_back({Rate->first, Part.Service.Text, Priority,
                          Route.Priority, Rate->second.OfferedPerS * Share,
                          Rate->second.AdmittedPerS * Share, Route.Name});
      }
    }
  }
  return Demand;
}

} // namespace

FleetState::FleetState(const Settings &TheOptions, std::uint64_t TheIncarnation)
    : Options(TheOptions), Incarnation(TheIncarnation) {}

QuotaBucket &FleetState::bucketOf(const std::string &Customer) {
  const auto [Found, New] = QuotasByCustomer.try_emplace(Customer);
  if (New)
    Found->second.BeginsFull = Options.FirstStart;
  return Found->second;
}

QuotaDecision FleetState::consumeQuota(const CustomerRule &Customer,
                                       Instant Now) {
  return spendQuota(bucketOf(Customer.Customer.Text),
                    {Customer.RatePerS, Customer.Burst}, Now);
}

Duration FleetState::retryAfter(const CustomerRule &Customer) const {
  const auto Found = QuotasByCustomer.find(Customer.Customer.Text);
  const QuotaLimit Limit{Customer.RatePerS, Customer.Burst};
  return quotaRetryAfter(
      Found == QuotasByCustomer.end() ? QuotaBucket{} : Found->second, Limit);
}

RetryBudgetLimits FleetState::retryBudgetLimits() const {
  return {Options.RetryRatio, Options.RetrySlack, Options.RetryWindow};
}

void FleetState::countRequest(const RouteRule & /*Route*/,
                              const ServiceId &Service, Instant Now) {
  recordRequest(RetryBudgets[Service.Text], retryBudgetLimits(), Now);
}

bool FleetState::tryConsumeRetry(const ServiceId &Service, Instant Now) {
  // Retrying a call also repeats its nested calls, so these are charged to the
  // budgets of the services that they reach.
  std::map<std::string, ServiceStats> Uses;
  for (const auto &[Ip, Node] : Reports) {
    ServiceStats &Use = Uses[Node.Latest.Service];
    for (const NamedCount &Call : Node.Latest.NestedCallCounts)
      if (Node.Latest.Runs > 0)
        Use.NestedCallsPerRun[Call.Name] =
            std::max(Use.NestedCallsPerRun[Call.Name],
                     static_cast<double>(Call.A) /
                         static_cast<double>(Node.Latest.Runs));
  }
  const std::map<std::string, double> RetryCostByService =
      callsPerRequest(Service.Text, Uses);
  for (const auto &[Name, Cost] : RetryCostByService) {
    RetryBudget Trial = RetryBudgets[Name];
    if (!pollenwick::tryWithdrawRetry(Trial, retryBudgetLimits(), Cost, Now))
      return false;
  }
  for (const auto &[Name, Cost] : RetryCostByService)
    pollenwick::tryWithdrawRetry(RetryBudgets[Name], retryBudgetLimits(), Cost,
                                 Now);
  return true;
}

void FleetState::countOffered(const RouteRule &Route, int CustomerPriority,
                              const std::string &Customer, bool Admitted) {
  const auto Count = [&](OwnRouteCounts &Counts) {
    ++Counts.Offered;
    if (Admitted)
      ++Counts.Admitted;
  };
  const std::string Key = planKey(Route.Name, CustomerPriority);
  Count(RouteCounts[Key]);
  if (!Customer.empty() && needsCustomerCounts(SharesByCustomer, Key))
    Count(RouteCounts[customerCountName(Key, Customer)]);
}

double FleetState::admittedFraction(const RouteRule &Route,
                                    int CustomerPriority,
                                    const std::string &Customer) const {
  const std::string Key = planKey(Route.Name, CustomerPriority);
  return customerShare(SharesByCustomer, Key, Customer,
                       admittedShare(Plan, Key));
}

void FleetState::countCrash(std::uint64_t Fingerprint, Instant Now) {
  pollenwick::countCrash(Crashes, Fingerprint, Options.Ip, Now);
}

void FleetState::applyStatus(const std::string &Ip, const StatusFrame &Changes,
                             Instant Now) {
  NodeReport &Node = Reports[Ip];
  const bool Restarted = Node.Latest.Incarnation != Changes.Incarnation;
  // Statuses that take different ways may overtake each other.
  if (!Restarted && Changes.SentAt != Instant{} &&
      Changes.SentAt <= Node.Latest.SentAt)
    return;
  StatusFrame FullStatus = Changes;
  if (!Restarted)
    mergeStatus(FullStatus, Node.Latest);
  Node.Previous = Restarted ? FullStatus : std::move(Node.Latest);
  Node.PreviousAt = Restarted ? Now : Node.LatestAt;
  Node.Latest = std::move(FullStatus);
  Node.LatestAt = Now;
  const StatusFrame &Status = Node.Latest;
  if (Ip == Options.Ip)
    return;
  for (const NamedCount &Item : Status.CustomerCounts)
    applyQuotaReport(bucketOf(Item.Name), Ip, Status.Incarnation,
                     {Item.A, Item.B}, Now);
  for (const NamedCount &Item : Status.RetryCounts)
    applyRetryReport(RetryBudgets[Item.Name], retryBudgetLimits(), Ip,
                     Status.Incarnation, {Item.A, Item.B}, Now);
  for (const CrashReport &Item : Status.Crashes)
    applyCrashReport(Crashes, Item.Fingerprint, Ip, Item.Runs, Now);
}

void FleetState::fillStatus(StatusFrame &Status) const {
  Status.Incarnation = Incarnation;
  for (const auto &[Name, Bucket] : QuotasByCustomer)
    Status.CustomerCounts.push_back(
        {Name, Bucket.OwnCounts.Admitted, Bucket.OwnCounts.Offered});
  for (const auto &[Name, Counts] : RouteCounts)
    Status.RouteCounts.push_back({Name, Counts.Admitted, Counts.Offered});
  for (const auto &[Name, Budget] : RetryBudgets)
    Status.RetryCounts.push_back(
        {Name, Budget.OwnCounts.Retries, Budget.OwnCounts.Requests});
  for (const auto &[Name, Count] : NestedCalls)
    Status.NestedCallCounts.push_back({Name, Count, 0});
  for (const auto &[Fingerprint, Entry] : Crashes.EntriesByFingerprint) {
    const auto Own = Entry.RunsByNode.find(Options.Ip);
    if (Own != Entry.RunsByNode.end())
      Status.Crashes.push_back({Fingerprint, Own->second});
  }
}

void FleetState::planQuotasAndAdmission(const ServiceRegistry &Registry,
                                        const StatusFrame &OwnStatus,
                                        Duration Interval, Instant Now) {
  applyStatus(Options.Ip, OwnStatus, Now);
  for (auto &[Name, Budget] : RetryBudgets)
    Budget.RetriesSinceTick = 0;
  expireCrashes(Crashes, Now);
  if (!Registry.rules())
    return;
  const RouteTable &Rules = *Registry.rules();
  const std::size_t NodeCount = Registry.nodeIps().size();
  for (const CustomerRule &Customer : Rules.Source.Customers) {
    QuotaBucket &Bucket = bucketOf(Customer.Customer.Text);
    reportIdlePeers(Bucket, Customer.Customer.Text, Now);
    planQuota(Bucket, {Customer.RatePerS, Customer.Burst}, NodeCount, Interval,
              Now);
  }
  planAdmission(Rules, Interval, Now);
}

void FleetState::reportIdlePeers(QuotaBucket &Bucket,
                                 const std::string &Customer,
                                 Instant Now) const {
  // A node does not list a customer from which it had no request; report its
  // counts as zero.
  for (const auto &[Ip, Node] : Reports)
    if (Ip != Options.Ip && Now - Node.LatestAt <= MaxReportAge &&
        !Bucket.Peers.contains(Ip))
      applyQuotaReport(
          Bucket, Ip, Node.Latest.Incarnation,
          {countOf(Node.Latest.CustomerCounts, Customer, &NamedCount::A),
           countOf(Node.Latest.CustomerCounts, Customer, &NamedCount::B)},
          Node.LatestAt);
}

std::map<std::string, ServiceBaseline>
FleetState::failureBaselines(Instant Now) const {
  std::map<std::string, ServiceBaseline> Baselines;
  for (const auto &[Ip, Node] : Reports) {
    if (Now - Node.LatestAt > MaxReportAge)
      continue;
    const ServerLoad &Load = Node.Latest.Load;
    ServiceBaseline &Baseline =
        Baselines
            .try_emplace(Node.Latest.Service,
                         ServiceBaseline{Duration{}, Duration{}, 1.0})
            .first->second;
    if (Load.MaxRunning > 0)
      Baseline.FailureRate = std::min(Baseline.FailureRate, Load.FailureRate);
  }
  return Baselines;
}

void FleetState::planAdmission(const RouteTable &Rules, Duration Interval,
                               Instant Now) {
  std::map<std::string, ServiceTotals> Totals;
  std::map<std::string, PlanKeyRates> Rates;
  const std::map<std::string, ServiceBaseline> Baselines =
      failureBaselines(Now);
  for (const auto &[Ip, Node] : Reports) {
    // Keep a service whose nodes have all stopped reporting, with no slots.
    Totals.try_emplace(Node.Latest.Service);
    if (Now - Node.LatestAt > MaxReportAge)
      continue;
    addReport(
        Totals[Node.Latest.Service], Node.Latest, Node.Previous,
        servingShare(Node.Latest.Load, Baselines.at(Node.Latest.Service)));
    if (Node.LatestAt > Node.PreviousAt)
      addRouteRates(Rates, Node.Latest, Node.Previous,
                    toSeconds(Node.LatestAt - Node.PreviousAt));
  }
  std::map<std::string, ServiceStats> Uses;
  for (const auto &[Service, Total] : Totals)
    Uses.emplace(Service, toServiceStats(Total, Rules));
  updatePlan(Plan, routeDemand(Rules, Rates), Uses, Interval);
  const auto OfferedPerS = [&](const std::string &Name) {
    const auto Found = Rates.find(Name);
    return Found == Rates.end() ? 0.0 : Found->second.OfferedPerS;
  };
  updateCustomerShares(
      SharesByCustomer,
      customerDemand(SharesByCustomer, Rules.Source.Customers, OfferedPerS),
      Plan.AdmittedShareByKey, Interval);
}

} // namespace pollenwick::agent
