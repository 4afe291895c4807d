#include "agent/FleetState.h"

#include <algorithm>
#include <set>

namespace pollenwick::agent {
namespace {

/// Reports older than this say nothing about the present.
constexpr Duration ReportLife = std::chrono::milliseconds(1500);

double seconds(Duration Time) {
  return static_cast<double>(Time.count()) / 1e6;
}

std::uint64_t grown(std::uint64_t Latest, std::uint64_t Before) {
  return Latest > Before ? Latest - Before : 0;
}

std::uint64_t countOf(const std::vector<NamedCount> &Counts,
                      const std::string &Name,
                      std::uint64_t NamedCount::*Member) {
  const auto Found = std::ranges::find(Counts, Name, &NamedCount::Name);
  return Found == Counts.end() ? 0 : (*Found).*Member;
}

/// Sums over the reports of the nodes beside one service's servers.
struct ServiceTotals {
  double OfferedMicros = 0; ///< Slot time that was asked for.
  double LimitMicros = 0;   ///< Slot time that was there.
  double Slots = 0;
  double Waiting = 0;
  double TimedSlots = 0; ///< Slots of the servers that report a call time.
  double CallsPerS = 0;  ///< Calls that these can finish.
  double Runs = 0;
  std::map<std::string, double> Calls; ///< Nested calls, by service.
};

/// Requests a second of one plan key.
struct KeyRates {
  double AdmittedPerS = 0;
  double OfferedPerS = 0;
};

void addServer(ServiceTotals &Total, const StatusFrame &Latest,
               const StatusFrame &Before) {
  Total.OfferedMicros +=
      static_cast<double>(grown(Latest.OfferedMicros, Before.OfferedMicros));
  Total.LimitMicros +=
      static_cast<double>(grown(Latest.LimitMicros, Before.LimitMicros));
  Total.Slots += Latest.Load.Limit;
  Total.Waiting += Latest.Load.Waiting;
  if (Latest.Load.Service.count() > 0) {
    Total.TimedSlots += Latest.Load.Limit;
    Total.CallsPerS += Latest.Load.Limit / seconds(Latest.Load.Service);
  }
  Total.Runs += static_cast<double>(Latest.Runs);
  for (const NamedCount &Call : Latest.Calls)
    Total.Calls[Call.Name] += static_cast<double>(Call.A);
}

void addDemand(std::map<std::string, KeyRates> &Rates,
               const StatusFrame &Latest, const StatusFrame &Before,
               double Seconds) {
  for (const NamedCount &Key : Latest.Routes) {
    const auto PerSecond = [&](std::uint64_t NamedCount::*Member) {
      const std::uint64_t Earlier = countOf(Before.Routes, Key.Name, Member);
      return static_cast<double>(grown(Key.*Member, Earlier)) / Seconds;
    };
    KeyRates &Rate = Rates[Key.Name];
    Rate.AdmittedPerS += PerSecond(&NamedCount::A);
    Rate.OfferedPerS += PerSecond(&NamedCount::B);
  }
}

ServiceUse useOf(const ServiceTotals &Total) {
  ServiceUse Use;
  Use.Slots = Total.Slots;
  if (Total.LimitMicros > 0)
    Use.OfferedUse = Total.OfferedMicros / Total.LimitMicros;
  if (Total.CallsPerS > 0)
    Use.CallSeconds = Total.TimedSlots / Total.CallsPerS;
  if (Total.Slots > 0)
    Use.WaitShare = Total.Waiting / Total.Slots;
  if (Total.Runs > 0)
    for (const auto &[Callee, Count] : Total.Calls)
      Use.CallsPerRun[Callee] = Count / Total.Runs;
  return Use;
}

/// The demand of each plan key at each service that its route is split over.
std::vector<RouteDemand>
demandOf(const RouteTable &Rules,
         const std::map<std::string, KeyRates> &Rates) {
  std::set<int> CustomerPriorities{0};
  for (const CustomerRule &Customer : Rules.Source.Customers)
    CustomerPriorities.insert(std::max(Customer.Priority, 0));
  std::vector<RouteDemand> Demand;
  for (const RouteRule &Route : Rules.Source.Routes) {
    double Weights = 0;
    for (const WeightedService &Part : Route.Services)
      Weights += Part.Weight;
    for (const int Priority : CustomerPriorities) {
      const auto Rate = Rates.find(planKey(Route.Name, Priority));
      if (Rate == Rates.end() || Weights <= 0)
        continue;
      for (const WeightedService &Part : Route.Services) {
        const double Share = Part.Weight / Weights;
        Demand.push_back({Rate->first, Part.Service.Text, Priority,
                          Route.Priority, Rate->second.OfferedPerS * Share,
                          Rate->second.AdmittedPerS * Share});
      }
    }
  }
  return Demand;
}

} // namespace

FleetState::FleetState(const Settings &TheOptions, std::uint64_t TheStart)
    : Options(TheOptions), Start(TheStart) {}

QuotaBucket &FleetState::bucketOf(const std::string &Customer) {
  const auto [Found, New] = Quotas.try_emplace(Customer);
  if (New)
    Found->second.BeginsFull = Options.FirstStart;
  return Found->second;
}

QuotaDecision FleetState::spend(const CustomerRule &Customer, Instant Now) {
  return spendQuota(bucketOf(Customer.Customer.Text),
                    {Customer.RatePerS, Customer.Burst}, Now);
}

Duration FleetState::retryAfter(const CustomerRule &Customer) const {
  const auto Found = Quotas.find(Customer.Customer.Text);
  const QuotaLimit Limit{Customer.RatePerS, Customer.Burst};
  return quotaRetryAfter(Found == Quotas.end() ? QuotaBucket{} : Found->second,
                         Limit);
}

RetryBudgetLimits FleetState::retryTerms() const {
  return {Options.RetryRatio, Options.RetrySlack, Options.RetryWindow};
}

void FleetState::countRequest(const RouteRule & /*Route*/,
                              const ServiceId &Service, Instant Now) {
  recordRequest(Budgets[Service.Text], retryTerms(), Now);
}

bool FleetState::takeRepeat(const ServiceId &Service, Instant Now) {
  // A repeat of a call that makes calls repeats those too, and they count at
  // the services that they reach.
  std::map<std::string, ServiceUse> Uses;
  for (const auto &[Ip, Node] : Reports) {
    ServiceUse &Use = Uses[Node.Latest.Service];
    for (const NamedCount &Call : Node.Latest.Calls)
      if (Node.Latest.Runs > 0)
        Use.CallsPerRun[Call.Name] =
            std::max(Use.CallsPerRun[Call.Name],
                     static_cast<double>(Call.A) /
                         static_cast<double>(Node.Latest.Runs));
  }
  const std::map<std::string, double> Reach = reachOf(Service.Text, Uses);
  for (const auto &[Name, Cost] : Reach) {
    RetryBudget Trial = Budgets[Name];
    if (!pollenwick::tryWithdrawRetry(Trial, retryTerms(), Cost, Now))
      return false;
  }
  for (const auto &[Name, Cost] : Reach)
    pollenwick::tryWithdrawRetry(Budgets[Name], retryTerms(), Cost, Now);
  return true;
}

void FleetState::countOffered(const RouteRule &Route, int CustomerPriority,
                              bool Admitted) {
  OwnRoute &Counts = Routes[planKey(Route.Name, CustomerPriority)];
  ++Counts.Offered;
  if (Admitted)
    ++Counts.Admitted;
}

void FleetState::countCrash(std::uint64_t Fingerprint, Instant Now) {
  pollenwick::countCrash(Crashes, Fingerprint, Options.Ip, Now);
}

void FleetState::takeStatus(const std::string &Ip, const StatusFrame &Changes,
                            Instant Now) {
  Report &Node = Reports[Ip];
  const bool Restarted = Node.Latest.Start != Changes.Start;
  StatusFrame Whole = Changes;
  if (!Restarted)
    mergeStatus(Whole, Node.Latest);
  Node.Before = Restarted ? Whole : std::move(Node.Latest);
  Node.BeforeAt = Restarted ? Now : Node.LatestAt;
  Node.Latest = std::move(Whole);
  Node.LatestAt = Now;
  const StatusFrame &Status = Node.Latest;
  if (Ip == Options.Ip)
    return;
  for (const NamedCount &Item : Status.Customers)
    applyQuotaReport(bucketOf(Item.Name), Ip, Status.Start, {Item.A, Item.B},
                     Now);
  for (const NamedCount &Item : Status.Retries)
    applyRetryReport(Budgets[Item.Name], retryTerms(), Ip, Status.Start,
                     {Item.A, Item.B}, Now);
  for (const CrashReport &Item : Status.Crashes)
    applyCrashReport(Crashes, Item.Fingerprint, Ip, Item.Count, Now);
}

void FleetState::fillStatus(StatusFrame &Status) const {
  Status.Start = Start;
  for (const auto &[Name, Bucket] : Quotas)
    Status.Customers.push_back(
        {Name, Bucket.OwnCounts.Admitted, Bucket.OwnCounts.Offered});
  for (const auto &[Name, Counts] : Routes)
    Status.Routes.push_back({Name, Counts.Admitted, Counts.Offered});
  for (const auto &[Name, Budget] : Budgets)
    Status.Retries.push_back(
        {Name, Budget.OwnCounts.Retries, Budget.OwnCounts.Requests});
  for (const auto &[Name, Count] : Nested)
    Status.Calls.push_back({Name, Count, 0});
  for (const auto &[Print, Entry] : Crashes.EntriesByFingerprint) {
    const auto Own = Entry.CrashesByNode.find(Options.Ip);
    if (Own != Entry.CrashesByNode.end())
      Status.Crashes.push_back({Print, Own->second});
  }
}

void FleetState::plan(const Directory &Hosts, const StatusFrame &Own,
                      Duration Interval, Instant Now) {
  takeStatus(Options.Ip, Own, Now);
  for (auto &[Name, Budget] : Budgets)
    Budget.RetriesSinceTick = 0;
  expireCrashes(Crashes, Now);
  if (!Hosts.rules())
    return;
  const RouteTable &Rules = *Hosts.rules();
  const std::size_t Nodes = Hosts.nodeIps().size();
  for (const CustomerRule &Customer : Rules.Source.Customers) {
    QuotaBucket &Bucket = bucketOf(Customer.Customer.Text);
    hearIdlePeers(Bucket, Customer.Customer.Text, Now);
    planQuota(Bucket, {Customer.RatePerS, Customer.Burst}, Nodes, Interval,
              Now);
  }
  planAdmission(Rules, Interval, Now);
}

void FleetState::hearIdlePeers(QuotaBucket &Bucket, const std::string &Customer,
                               Instant Now) const {
  // A node that had no request of a customer does not list it.
  for (const auto &[Ip, Node] : Reports)
    if (Ip != Options.Ip && Now - Node.LatestAt <= ReportLife &&
        !Bucket.Peers.contains(Ip))
      applyQuotaReport(
          Bucket, Ip, Node.Latest.Start,
          {countOf(Node.Latest.Customers, Customer, &NamedCount::A),
           countOf(Node.Latest.Customers, Customer, &NamedCount::B)},
          Node.LatestAt);
}

void FleetState::planAdmission(const RouteTable &Rules, Duration Interval,
                               Instant Now) {
  std::map<std::string, ServiceTotals> Totals;
  std::map<std::string, KeyRates> Rates;
  for (const auto &[Ip, Node] : Reports) {
    // A service whose nodes are all silent is known, and has no slots.
    Totals.try_emplace(Node.Latest.Service);
    if (Now - Node.LatestAt > ReportLife)
      continue;
    addServer(Totals[Node.Latest.Service], Node.Latest, Node.Before);
    if (Node.LatestAt > Node.BeforeAt)
      addDemand(Rates, Node.Latest, Node.Before,
                seconds(Node.LatestAt - Node.BeforeAt));
  }
  std::map<std::string, ServiceUse> Uses;
  for (const auto &[Service, Total] : Totals)
    Uses.emplace(Service, useOf(Total));
  updatePlan(Plan, demandOf(Rules, Rates), Uses, Interval);
}

} // namespace pollenwick::agent
