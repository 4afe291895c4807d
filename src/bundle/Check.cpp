#include "bundle/Check.h"

#include <algorithm>
#include <arpa/inet.h>
#include <map>
#include <set>
#include <unordered_set>

#include "absl/strings/str_cat.h"
#include "bundle/Digests.h"
#include "bundle/Graph.h"
#include "bundle/Published.h"
#include "core/quota/Sharding.h"

namespace pollenwick {
namespace {

// The limit is per kind, so that many problems of one kind do not hide others.
constexpr std::size_t MaxProblemsPerKind = 100;
constexpr std::size_t MaxIdBytes = 64;

bool isValidName(std::string_view Name, bool SlashAllowed) {
  return !Name.empty() && Name.size() <= MaxIdBytes &&
         std::all_of(Name.begin(), Name.end(), [&](char C) {
           return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') ||
                  C == '-' || C == '_' || C == '.' ||
                  (SlashAllowed && C == '/');
         });
}

std::string quoted(std::string_view Name) {
  std::string Result = "\"";
  for (const char C : Name.substr(0, MaxIdBytes + 1))
    Result.push_back(C >= ' ' && C < 127 ? C : '?');
  return Result + (Name.size() > MaxIdBytes + 1 ? "...\"" : "\"");
}

class BundleChecker {
public:
  explicit BundleChecker(const Bundle &Bundle)
      : Source(Bundle), Graph(Bundle) {}

  std::vector<BundleProblem> run(std::optional<Revision> Current) {
    checkRevision(Current);
    checkNames();
    checkHosts();
    checkCustomers();
    checkKeys();
    checkRoutes();
    checkGraph();
    checkPolicy();
    checkSizes();
    return std::move(Problems);
  }

private:
  template <typename... Parts>
  void addProblem(BundleProblemKind Kind, Parts &&...Texts) {
    const std::size_t Count = ++Counts[Kind];
    if (Count <= MaxProblemsPerKind)
      Problems.push_back({Kind, absl::StrCat(Texts...)});
    else if (Count == MaxProblemsPerKind + 1)
      Problems.push_back({BundleProblemKind::ReportTruncated,
                          absl::StrCat("more than ", MaxProblemsPerKind,
                                       " problems of the kind ",
                                       std::string(problemKindName(Kind)),
                                       "; correct the listed ones first")});
  }

  template <typename Spec>
  auto collectIds(const char *Kind, const std::vector<Spec> &List,
                  bool SlashAllowed, BundleProblemKind DuplicateKind) {
    std::unordered_set<decltype(Spec::Id)> Known;
    for (const Spec &Item : List) {
      if (!isValidName(Item.Id.Text, SlashAllowed))
        addProblem(BundleProblemKind::InvalidName, Kind, " ",
                   quoted(Item.Id.Text),
                   ": use 1 to 64 of a-z, 0-9, '-', '_' and '.'");
      if (!Known.insert(Item.Id).second)
        addProblem(DuplicateKind, Kind, " ", quoted(Item.Id.Text),
                   " is listed twice; remove or rename one of the entries");
    }
    return Known;
  }

  template <typename Set, typename Id>
  void checkReference(const Set &Known, const Id &Name, const char *Kind,
                      const std::string &Referrer) {
    if (!Known.contains(Name))
      addProblem(BundleProblemKind::UnknownName, Referrer,
                 " names the unknown ", Kind, " ", quoted(Name.Text),
                 "; add it or correct the name");
  }

  void checkRevision(std::optional<Revision> Current) {
    if (Source.Number.Value == 0)
      addProblem(BundleProblemKind::InvalidValue,
                 "revision 0 means \"no bundle\"; start at 1");
    if (Current && Source.Number <= *Current)
      addProblem(BundleProblemKind::RevisionNotIncreasing, "revision ",
                 Source.Number.Value, " does not follow the current revision ",
                 Current->Value, "; use ", Current->Value + 1, " or higher");
  }

  void checkNames() {
    Services = collectIds("service", Source.Services, false,
                          BundleProblemKind::Duplicate);
    Hosts = collectIds("host", Source.Hosts, false,
                       BundleProblemKind::DuplicateHost);
    Customers = collectIds("tenant", Source.Customers, false,
                           BundleProblemKind::Duplicate);
    Classes = collectIds("class", Source.Classes, false,
                         BundleProblemKind::Duplicate);
    Routes =
        collectIds("route", Source.Routes, true, BundleProblemKind::Duplicate);
    std::map<std::uint32_t, ClassId> Ranks;
    for (const ClassSpec &Class : Source.Classes)
      if (const auto [Other, Inserted] = Ranks.emplace(Class.Rank, Class.Id);
          !Inserted && Other->second != Class.Id)
        addProblem(BundleProblemKind::Duplicate, "classes ",
                   quoted(Other->second.Text), " and ", quoted(Class.Id.Text),
                   " both have rank ", Class.Rank,
                   "; give each class its own rank, 0 is shed last");
  }

  void checkHosts() {
    std::map<std::pair<std::string, std::uint16_t>, HostId> HostByPort;
    for (const HostSpec &Host : Source.Hosts) {
      const std::string Referrer = "host " + quoted(Host.Id.Text);
      checkReference(Services, Host.Service, "service", Referrer);
      if (!isValidName(Host.Zone.Text, false))
        addProblem(BundleProblemKind::InvalidName, Referrer, " is in zone ",
                   quoted(Host.Zone.Text),
                   ": use 1 to 64 of a-z, 0-9, '-', '_' and '.'");
      std::array<unsigned char, 16> Raw{};
      if (inet_pton(AF_INET, Host.Address.c_str(), Raw.data()) != 1 &&
          inet_pton(AF_INET6, Host.Address.c_str(), Raw.data()) != 1)
        addProblem(BundleProblemKind::InvalidValue, Referrer,
                   " has the address ", quoted(Host.Address),
                   "; give a numeric IP address");
      // The membership port is a UDP port, but must also differ from the TCP
      // ports of the address, so that a port number in a log is unambiguous.
      for (const std::uint16_t Port :
           {Host.CallerPort, Host.PeerPort, Host.MembershipPort})
        if (const auto [Other, Inserted] =
                HostByPort.emplace(std::pair(Host.Address, Port), Host.Id);
            !Inserted)
          addProblem(BundleProblemKind::DuplicateAddress, Referrer, " uses ",
                     quoted(Host.Address), " port ", Port, ", which host ",
                     quoted(Other->second.Text),
                     " uses as well; give each port of an address one use");
    }
    std::unordered_set<ServiceId> Served;
    for (const HostSpec &Host : Source.Hosts)
      Served.insert(Host.Service);
    for (const ServiceSpec &Service : Source.Services)
      if (!Served.contains(Service.Id))
        addProblem(BundleProblemKind::InvalidValue, "service ",
                   quoted(Service.Id.Text),
                   " has no host; add one or remove the service");
  }

  void checkCustomers() {
    const auto Zones = static_cast<std::int64_t>(zonesOf(Source).size());
    if (Source.Customers.empty())
      addProblem(BundleProblemKind::InvalidValue,
                 "bundle has no tenant; add at least one");
    for (const CustomerSpec &Customer : Source.Customers) {
      if (Customer.RatePerSecond > MaxRatePerSecond)
        addProblem(BundleProblemKind::InvalidValue, "tenant ",
                   quoted(Customer.Id.Text), " has a rate of ",
                   Customer.RatePerSecond.Value,
                   " micro-tokens per second; use at most ",
                   MaxRatePerSecond.Value);
      // A shard lends whole tokens only. A zone whose share of the burst is
      // less than one token could never admit a call.
      if (Customer.Burst.Value < Zones * OneToken.Value)
        addProblem(BundleProblemKind::QuotaNotDivisible, "tenant ",
                   quoted(Customer.Id.Text), " has a burst of ",
                   Customer.Burst.Value, " micro-tokens, less than ",
                   "one token for each of ", Zones, " zones; give at least ",
                   Zones);
      if (Customer.RatePerSecond.Value < std::max<std::int64_t>(Zones, 1))
        addProblem(BundleProblemKind::QuotaNotDivisible, "tenant ",
                   quoted(Customer.Id.Text), " has a rate of ",
                   Customer.RatePerSecond.Value,
                   " micro-tokens per second, which cannot be split over ",
                   Zones, " zones; raise the rate");
      if (Customer.Weight < 1 || Customer.Weight > 1000)
        addProblem(BundleProblemKind::InvalidValue, "tenant ",
                   quoted(Customer.Id.Text), " has the weight ",
                   Customer.Weight, "; use 1 to 1000");
    }
  }

  void checkKeys() {
    std::map<KeyDigest, CustomerId> Known;
    for (const KeySpec &Key : Source.Keys) {
      const std::string Text = digestToHex(Key.Key.Bytes);
      checkReference(Customers, Key.Customer, "tenant", "key " + Text);
      if (const auto [Other, Inserted] = Known.emplace(Key.Key, Key.Customer);
          !Inserted)
        addProblem(BundleProblemKind::DuplicateKey, "key digest ", Text,
                   " is used for tenant ", quoted(Other->second.Text),
                   " and for tenant ", quoted(Key.Customer.Text),
                   "; make a new key with `pollenwick-bundle keygen`");
    }
  }

  void checkRoutes() {
    for (const RouteSpec &Route : Source.Routes) {
      const std::string Referrer = "route " + quoted(Route.Id.Text);
      checkReference(Services, Route.Service, "service", Referrer);
      const std::string &Id = Route.Id.Text;
      const std::size_t Slash = Id.find('/');
      if (Slash == std::string::npos || Slash + 1 == Id.size() ||
          Id.find('/', Slash + 1) != std::string::npos ||
          Id.substr(0, Slash) != Route.Service.Text)
        addProblem(BundleProblemKind::RouteNameMismatch, Referrer,
                   " is not named SERVICE/ROUTE with its service ",
                   quoted(Route.Service.Text), "; rename the route");
      if (Route.Class.empty())
        addProblem(BundleProblemKind::RouteWithoutClass, Referrer,
                   " has no class; name one of the classes");
      else
        checkReference(Classes, Route.Class, "class", Referrer);
      for (const CustomerId &Customer : Route.Customers)
        checkReference(Customers, Customer, "tenant", Referrer);
      std::unordered_set<RouteId> Callees;
      for (const EdgeSpec &Edge : Route.Calls) {
        checkReference(Routes, Edge.Route, "route", Referrer);
        if (!Callees.insert(Edge.Route).second)
          addProblem(BundleProblemKind::Duplicate, Referrer,
                     " lists the call to ", quoted(Edge.Route.Text),
                     " twice; add the counts up");
        if (Edge.Count < 1)
          addProblem(BundleProblemKind::InvalidValue, Referrer, " calls ",
                     quoted(Edge.Route.Text),
                     " 0 times; remove the edge or give a count");
      }
      if (Route.Open && Route.Internal)
        addProblem(BundleProblemKind::ConflictingOptions, Referrer,
                   " is both open and internal; keep one of the two");
      if (Route.Open && !Route.Customers.empty())
        addProblem(BundleProblemKind::ConflictingOptions, Referrer,
                   " is open and lists tenants; remove the list or `open`");
      if (Route.Deadline <= Duration::zero())
        addProblem(BundleProblemKind::InvalidValue, Referrer,
                   " has a deadline of ", Route.Deadline.count(),
                   " us; give at least 1 ms");
    }
  }

  void checkGraph() {
    if (const std::vector<std::size_t> Cycle = Graph.findCycle();
        !Cycle.empty()) {
      std::string Path;
      for (std::size_t I = 0; I < Cycle.size() && I < 40; ++I)
        absl::StrAppend(&Path, I ? " -> " : "", Graph.route(Cycle[I]).Id.Text);
      addProblem(BundleProblemKind::Cycle, "call graph has the cycle ", Path,
                 "; remove one of its calls");
      return;
    }
    const std::vector<std::uint32_t> Depths = Graph.callChainLengths();
    for (std::size_t I = 0; I < Graph.size(); ++I)
      if (Depths[I] > MaxCallDepth)
        addProblem(BundleProblemKind::CallChainTooLong, "route ",
                   quoted(Graph.route(I).Id.Text), " starts a chain of ",
                   Depths[I], " calls, the limit is ", MaxCallDepth,
                   "; shorten the chain");
    // Checking direct calls suffices: if the rule holds for each call, it holds
    // along every path.
    for (std::size_t I = 0; I < Graph.size(); ++I)
      for (const std::size_t To : Graph.callees(I)) {
        const RouteSpec &Caller = Graph.route(I);
        const RouteSpec &Callee = Graph.route(To);
        if (Caller.Idempotent && !Callee.Idempotent)
          addProblem(BundleProblemKind::IdempotentCallsNonIdempotent, "route ",
                     quoted(Caller.Id.Text), " is idempotent but calls ",
                     quoted(Callee.Id.Text),
                     ", which is not; set \"idempotent\": false on the caller");
        if (Caller.Open && !Callee.Open && !Callee.Internal)
          addProblem(
              BundleProblemKind::OpenCallsRestricted, "route ",
              quoted(Caller.Id.Text), " is open but calls ",
              quoted(Callee.Id.Text),
              ", which runs for tenants only; close the caller or mark the "
              "callee open or internal");
      }
  }

  void checkPolicy() {
    std::set<HostId> Witnesses;
    for (const HostId &Host : Source.Rules.Witnesses) {
      checkReference(Hosts, Host, "host", "policy.witnesses");
      if (!Witnesses.insert(Host).second)
        addProblem(BundleProblemKind::Witnesses, "witness ", quoted(Host.Text),
                   " is listed twice; name ", WitnessCount, " different hosts");
    }
    const std::size_t RequiredWitnesses =
        std::min(WitnessCount, Source.Hosts.size());
    if (Source.Rules.Witnesses.size() != RequiredWitnesses)
      addProblem(BundleProblemKind::Witnesses, "policy.witnesses names ",
                 Source.Rules.Witnesses.size(), " hosts; name ",
                 RequiredWitnesses, ", spread over the zones");
    if (Source.Rules.QuotaLease >= Source.Rules.ViewLease)
      addProblem(BundleProblemKind::InvalidValue, "policy.quota_lease_ms (",
                 Source.Rules.QuotaLease.count() / 1000,
                 ") is not below policy.view_lease_ms (",
                 Source.Rules.ViewLease.count() / 1000,
                 "); shorten the quota lease");
  }

  void checkSizes() {
    if (const auto Published = encodeBundle(Source); !Published.ok())
      addProblem(BundleProblemKind::ChunkTooLarge,
                 Published.status().message());
  }

  const Bundle &Source;
  CallGraph Graph;
  std::vector<BundleProblem> Problems;
  std::map<BundleProblemKind, std::size_t> Counts;
  std::unordered_set<ServiceId> Services;
  std::unordered_set<HostId> Hosts;
  std::unordered_set<CustomerId> Customers;
  std::unordered_set<ClassId> Classes;
  std::unordered_set<RouteId> Routes;
};

} // namespace

absl::StatusOr<Bundle> assembleValidBundle(const RevisionPointer &Head,
                                           const ChunkMap &Chunks) {
  absl::StatusOr<Bundle> Out = assembleBundle(Head, Chunks);
  if (!Out.ok())
    return Out;
  const std::vector<BundleProblem> Problems = checkBundle(*Out);
  if (Problems.empty())
    return Out;
  return absl::FailedPreconditionError(
      absl::StrCat("bundle has ", Problems.size(),
                   " problems, the first: ", Problems.front().Message));
}

std::vector<BundleProblem> checkBundle(const Bundle &Source,
                                       std::optional<Revision> Current) {
  return BundleChecker(Source).run(Current);
}

std::string_view problemKindName(BundleProblemKind Kind) {
  switch (Kind) {
  case BundleProblemKind::InvalidName:
    return "bad-name";
  case BundleProblemKind::Duplicate:
    return "duplicate";
  case BundleProblemKind::UnknownName:
    return "unknown-name";
  case BundleProblemKind::RouteWithoutClass:
    return "route-without-class";
  case BundleProblemKind::RouteNameMismatch:
    return "route-outside-service";
  case BundleProblemKind::QuotaNotDivisible:
    return "not-splittable";
  case BundleProblemKind::Cycle:
    return "cycle";
  case BundleProblemKind::CallChainTooLong:
    return "too-deep";
  case BundleProblemKind::IdempotentCallsNonIdempotent:
    return "idempotent-reaches-non-idempotent";
  case BundleProblemKind::OpenCallsRestricted:
    return "open-reaches-closed";
  case BundleProblemKind::ConflictingOptions:
    return "contradiction";
  case BundleProblemKind::DuplicateKey:
    return "key-used-twice";
  case BundleProblemKind::DuplicateHost:
    return "host-twice";
  case BundleProblemKind::DuplicateAddress:
    return "address-twice";
  case BundleProblemKind::Witnesses:
    return "witnesses";
  case BundleProblemKind::ChunkTooLarge:
    return "chunk-too-large";
  case BundleProblemKind::RevisionNotIncreasing:
    return "revision-not-increasing";
  case BundleProblemKind::InvalidValue:
    return "bad-value";
  case BundleProblemKind::ReportTruncated:
    return "truncated";
  }
  return "unknown";
}

} // namespace pollenwick
