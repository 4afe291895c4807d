#include "agent/FleetState.h"

#include <algorithm>

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

RetryTerms FleetState::retryTerms() const {
  return {Options.RetryRatio, Options.RetrySlack, Options.RetryWindow};
}

void FleetState::countRequest(const RouteRule & /*Route*/,
                              const ServiceId &Service, Instant Now) {
  countFirst(Budgets[Service.Text], retryTerms(), Now);
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
    if (!pollenwick::takeRepeat(Trial, retryTerms(), Cost, Now))
      return false;
  }
  for (const auto &[Name, Cost] : Reach)
    pollenwick::takeRepeat(Budgets[Name], retryTerms(), Cost, Now);
  return true;
}

void FleetState::countOffered(const RouteRule &Route, bool Admitted) {
  OwnRoute &Counts = Routes[Route.Name];
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
    reportQuota(bucketOf(Item.Name), Ip, Status.Start, {Item.A, Item.B}, Now);
  for (const NamedCount &Item : Status.Retries)
    reportRepeats(Budgets[Item.Name], retryTerms(), Ip, Status.Start,
                  {Item.A, Item.B}, Now);
  for (const CrashReport &Item : Status.Crashes)
    reportCrash(Crashes, Item.Fingerprint, Ip, Item.Count, Now);
}

void FleetState::fillStatus(StatusFrame &Status) const {
  Status.Start = Start;
  for (const auto &[Name, Bucket] : Quotas)
    Status.Customers.push_back({Name, Bucket.Own.Admitted, Bucket.Own.Offered});
  for (const auto &[Name, Counts] : Routes)
    Status.Routes.push_back({Name, Counts.Admitted, Counts.Offered});
  for (const auto &[Name, Budget] : Budgets)
    Status.Retries.push_back({Name, Budget.Own.Repeats, Budget.Own.Firsts});
  for (const auto &[Name, Count] : Nested)
    Status.Calls.push_back({Name, Count, 0});
  for (const auto &[Print, Entry] : Crashes.Requests) {
    const auto Own = Entry.ByNode.find(Options.Ip);
    if (Own != Entry.ByNode.end())
      Status.Crashes.push_back({Print, Own->second});
  }
}

void FleetState::plan(const Directory &Hosts, const StatusFrame &Own,
                      Duration Interval, Instant Now) {
  takeStatus(Options.Ip, Own, Now);
  for (auto &[Name, Budget] : Budgets)
    Budget.SinceTick = 0;
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
      reportQuota(Bucket, Ip, Node.Latest.Start,
                  {countOf(Node.Latest.Customers, Customer, &NamedCount::A),
                   countOf(Node.Latest.Customers, Customer, &NamedCount::B)},
                  Node.LatestAt);
}

void FleetState::planAdmission(const RouteTable &Rules, Duration Interval,
                               Instant Now) {
  std::map<std::string, ServiceUse> Uses;
  std::map<std::string, double> Offered;
  std::map<std::string, double> There;
  std::map<std::string, double> Slots;
  std::map<std::string, double> Timed;
  std::map<std::string, double> Waiting;
  std::map<std::string, double> Runs;
  std::map<std::string, std::map<std::string, double>> Calls;
  std::map<std::string, double> CallsPerS;
  std::map<std::string, double> Demand;
  std::map<std::string, double> Admitted;
  for (const auto &[Ip, Node] : Reports) {
    if (Now - Node.LatestAt > ReportLife)
      continue;
    const StatusFrame &Latest = Node.Latest;
    const StatusFrame &Before = Node.Before;
    const double Elapsed = seconds(Node.LatestAt - Node.BeforeAt);
    Offered[Latest.Service] +=
        static_cast<double>(grown(Latest.OfferedMicros, Before.OfferedMicros));
    There[Latest.Service] +=
        static_cast<double>(grown(Latest.LimitMicros, Before.LimitMicros));
    Slots[Latest.Service] += Latest.Load.Limit;
    if (Latest.Load.Service.count() > 0) {
      Timed[Latest.Service] += Latest.Load.Limit;
      CallsPerS[Latest.Service] +=
          Latest.Load.Limit / seconds(Latest.Load.Service);
    }
    Waiting[Latest.Service] += Latest.Load.Waiting;
    Runs[Latest.Service] += static_cast<double>(Latest.Runs);
    for (const NamedCount &Call : Latest.Calls)
      Calls[Latest.Service][Call.Name] += static_cast<double>(Call.A);
    if (Elapsed <= 0)
      continue;
    for (const NamedCount &Route : Latest.Routes) {
      Admitted[Route.Name] +=
          static_cast<double>(grown(
              Route.A, countOf(Before.Routes, Route.Name, &NamedCount::A))) /
          Elapsed;
      Demand[Route.Name] +=
          static_cast<double>(grown(
              Route.B, countOf(Before.Routes, Route.Name, &NamedCount::B))) /
          Elapsed;
    }
  }
  for (const auto &[Service, Limit] : There) {
    ServiceUse &Use = Uses[Service];
    Use.OfferedUse = Limit > 0 ? Offered[Service] / Limit : 0;
    Use.Slots = Slots[Service];
    Use.CallSeconds =
        CallsPerS[Service] > 0 ? Timed[Service] / CallsPerS[Service] : 0;
    Use.WaitShare = Slots[Service] > 0 ? Waiting[Service] / Slots[Service] : 0;
    if (Runs[Service] > 0)
      for (const auto &[Callee, Count] : Calls[Service])
        Use.CallsPerRun[Callee] = Count / Runs[Service];
  }
  std::vector<RouteDemand> Planned;
  for (const RouteRule &Route : Rules.Source.Routes) {
    if (!Demand.contains(Route.Name))
      continue;
    double Weights = 0;
    for (const WeightedService &Part : Route.Services)
      Weights += Part.Weight;
    for (const WeightedService &Part : Route.Services) {
      const double Share = Weights > 0 ? Part.Weight / Weights : 0;
      Planned.push_back({Route.Name, Part.Service.Text, Route.Priority,
                         Demand[Route.Name] * Share,
                         Admitted[Route.Name] * Share});
    }
  }
  updatePlan(Plan, Planned, Uses, Interval);
}

} // namespace pollenwick::agent
