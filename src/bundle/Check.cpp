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
#include "core/quota/Shares.h"

namespace pollenwick {
namespace {

// Bounds the report without letting one kind of problem hide another.
constexpr std::size_t MaxPerKind = 100;
constexpr std::size_t MaxIdBytes = 64;

bool nameIsPlain(std::string_view Name, bool SlashAllowed) {
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

class Checker {
public:
  explicit Checker(const Bundle &Bundle) : Source(Bundle), Graph(Bundle) {}

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
  void add(BundleProblemKind Kind, Parts &&...Texts) {
    const std::size_t Count = ++Counts[Kind];
    if (Count <= MaxPerKind)
      Problems.push_back({Kind, absl::StrCat(Texts...)});
    else if (Count == MaxPerKind + 1)
      Problems.push_back(
          {BundleProblemKind::ReportTruncated,
           absl::StrCat("more than ", MaxPerKind, " problems of the kind ",
                        std::string(problemKindName(Kind)),
                        "; correct the listed ones first")});
  }

  template <typename Spec>
  auto names(const char *Kind, const std::vector<Spec> &List, bool SlashAllowed,
             BundleProblemKind Twice) {
    std::unordered_set<decltype(Spec::Id)> Known;
    for (const Spec &Item : List) {
      if (!nameIsPlain(Item.Id.Text, SlashAllowed))
        add(BundleProblemKind::InvalidName, Kind, " ", quoted(Item.Id.Text),
            ": use 1 to 64 of a-z, 0-9, '-', '_' and '.'");
      if (!Known.insert(Item.Id).second)
        add(Twice, Kind, " ", quoted(Item.Id.Text),
            " is listed twice; remove or rename one of the entries");
    }
    return Known;
  }

  template <typename Set, typename Id>
  void expectKnown(const Set &Known, const Id &Name, const char *Kind,
                   const std::string &User) {
    if (!Known.contains(Name))
      add(BundleProblemKind::UnknownName, User, " names the unknown ", Kind,
          " ", quoted(Name.Text), "; add it or correct the name");
  }

  void checkRevision(std::optional<Revision> Current) {
    if (Source.Number.Value == 0)
      add(BundleProblemKind::InvalidValue,
          "revision 0 means \"no bundle\"; start at 1");
    if (Current && Source.Number <= *Current)
      add(BundleProblemKind::RevisionNotIncreasing, "revision ",
          Source.Number.Value, " does not follow the current revision ",
          Current->Value, "; use ", Current->Value + 1, " or higher");
  }

  void checkNames() {
    Services =
        names("service", Source.Services, false, BundleProblemKind::Duplicate);
    Hosts =
        names("host", Source.Hosts, false, BundleProblemKind::DuplicateHost);
    Customers =
        names("tenant", Source.Customers, false, BundleProblemKind::Duplicate);
    Classes =
        names("class", Source.Classes, false, BundleProblemKind::Duplicate);
    Routes = names("route", Source.Routes, true, BundleProblemKind::Duplicate);
    std::map<std::uint32_t, ClassId> Ranks;
    for (const ClassSpec &Class : Source.Classes)
      if (const auto [Other, Fresh] = Ranks.emplace(Class.Rank, Class.Id);
          !Fresh && Other->second != Class.Id)
        add(BundleProblemKind::Duplicate, "classes ",
            quoted(Other->second.Text), " and ", quoted(Class.Id.Text),
            " both have rank ", Class.Rank,
            "; give each class its own rank, 0 is shed last");
  }

  void checkHosts() {
    std::map<std::pair<std::string, std::uint16_t>, HostId> Taken;
    for (const HostSpec &Host : Source.Hosts) {
      const std::string User = "host " + quoted(Host.Id.Text);
      expectKnown(Services, Host.Service, "service", User);
      if (!nameIsPlain(Host.Zone.Text, false))
        add(BundleProblemKind::InvalidName, User, " is in zone ",
            quoted(Host.Zone.Text),
            ": use 1 to 64 of a-z, 0-9, '-', '_' and '.'");
      std::array<unsigned char, 16> Raw{};
      if (inet_pton(AF_INET, Host.Address.c_str(), Raw.data()) != 1 &&
          inet_pton(AF_INET6, Host.Address.c_str(), Raw.data()) != 1)
        add(BundleProblemKind::InvalidValue, User, " has the address ",
            quoted(Host.Address), "; give a numeric IP address");
      // The membership port is a UDP port, but shares the number space so that
      // one number never means two things in logs.
      for (const std::uint16_t Port :
           {Host.CallerPort, Host.PeerPort, Host.MembershipPort})
        if (const auto [Other, Fresh] =
                Taken.emplace(std::pair(Host.Address, Port), Host.Id);
            !Fresh)
          add(BundleProblemKind::DuplicateAddress, User, " uses ",
              quoted(Host.Address), " port ", Port, ", which host ",
              quoted(Other->second.Text),
              " uses as well; give each port of an address one use");
    }
    std::unordered_set<ServiceId> Served;
    for (const HostSpec &Host : Source.Hosts)
      Served.insert(Host.Service);
    for (const ServiceSpec &Service : Source.Services)
      if (!Served.contains(Service.Id))
        add(BundleProblemKind::InvalidValue, "service ",
            quoted(Service.Id.Text),
            " has no host; add one or remove the service");
  }

  void checkCustomers() {
    const auto Zones = static_cast<std::int64_t>(zonesOf(Source).size());
    if (Source.Customers.empty())
      add(BundleProblemKind::InvalidValue,
          "bundle has no tenant; add at least one");
    for (const CustomerSpec &Customer : Source.Customers) {
      if (Customer.RatePerSecond > MaxRatePerSecond)
        add(BundleProblemKind::InvalidValue, "tenant ",
            quoted(Customer.Id.Text), " has a rate of ",
            Customer.RatePerSecond.Value,
            " micro-tokens per second; use at most ", MaxRatePerSecond.Value);
      // A shard lends whole tokens, so that a share below one token would
      // never admit anything.
      if (Customer.Burst.Value < Zones * OneToken.Value)
        add(BundleProblemKind::QuotaNotDivisible, "tenant ",
            quoted(Customer.Id.Text), " has a burst of ", Customer.Burst.Value,
            " micro-tokens, less than ", "one token for each of ", Zones,
            " zones; give at least ", Zones);
      if (Customer.RatePerSecond.Value < std::max<std::int64_t>(Zones, 1))
        add(BundleProblemKind::QuotaNotDivisible, "tenant ",
            quoted(Customer.Id.Text), " has a rate of ",
            Customer.RatePerSecond.Value,
            " micro-tokens per second, which cannot be split over ", Zones,
            " zones; raise the rate");
      if (Customer.Weight < 1 || Customer.Weight > 1000)
        add(BundleProblemKind::InvalidValue, "tenant ",
            quoted(Customer.Id.Text), " has the weight ", Customer.Weight,
            "; use 1 to 1000");
    }
  }

  void checkKeys() {
    std::map<KeyDigest, CustomerId> Known;
    for (const KeySpec &Key : Source.Keys) {
      const std::string Text = digestText(Key.Key.Bytes);
      expectKnown(Customers, Key.Customer, "tenant", "key " + Text);
      if (const auto [Other, Fresh] = Known.emplace(Key.Key, Key.Customer);
          !Fresh)
        add(BundleProblemKind::DuplicateKey, "key digest ", Text,
            " is used for tenant ", quoted(Other->second.Text),
            " and for tenant ", quoted(Key.Customer.Text),
            "; make a new key with `pollenwick-bundle keygen`");
    }
  }

  void checkRoutes() {
    for (const RouteSpec &Route : Source.Routes) {
      const std::string User = "route " + quoted(Route.Id.Text);
      expectKnown(Services, Route.Service, "service", User);
      const std::string &Id = Route.Id.Text;
      const std::size_t Slash = Id.find('/');
      if (Slash == std::string::npos || Slash + 1 == Id.size() ||
          Id.find('/', Slash + 1) != std::string::npos ||
          Id.substr(0, Slash) != Route.Service.Text)
        add(BundleProblemKind::RouteNameMismatch, User,
            " is not named SERVICE/ROUTE with its service ",
            quoted(Route.Service.Text), "; rename the route");
      if (Route.Class.empty())
        add(BundleProblemKind::RouteWithoutClass, User,
            " has no class; name one of the classes");
      else
        expectKnown(Classes, Route.Class, "class", User);
      for (const CustomerId &Customer : Route.Customers)
        expectKnown(Customers, Customer, "tenant", User);
      std::unordered_set<RouteId> Callees;
      for (const EdgeSpec &Edge : Route.Calls) {
        expectKnown(Routes, Edge.Route, "route", User);
        if (!Callees.insert(Edge.Route).second)
          add(BundleProblemKind::Duplicate, User, " lists the call to ",
              quoted(Edge.Route.Text), " twice; add the counts up");
        if (Edge.Count < 1)
          add(BundleProblemKind::InvalidValue, User, " calls ",
              quoted(Edge.Route.Text),
              " 0 times; remove the edge or give a count");
      }
      if (Route.Open && Route.Internal)
        add(BundleProblemKind::ConflictingOptions, User,
            " is both open and internal; keep one of the two");
      if (Route.Open && !Route.Customers.empty())
        add(BundleProblemKind::ConflictingOptions, User,
            " is open and lists tenants; remove the list or `open`");
      if (Route.Deadline <= Duration::zero())
        add(BundleProblemKind::InvalidValue, User, " has a deadline of ",
            Route.Deadline.count(), " us; give at least 1 ms");
    }
  }

  void checkGraph() {
    if (const std::vector<std::size_t> Cycle = Graph.cycle(); !Cycle.empty()) {
      std::string Path;
      for (std::size_t I = 0; I < Cycle.size() && I < 40; ++I)
        absl::StrAppend(&Path, I ? " -> " : "", Graph.route(Cycle[I]).Id.Text);
      add(BundleProblemKind::Cycle, "call graph has the cycle ", Path,
          "; remove one of its calls");
      return;
    }
    const std::vector<std::uint32_t> Depths = Graph.depths();
    for (std::size_t I = 0; I < Graph.size(); ++I)
      if (Depths[I] > MaxCallDepth)
        add(BundleProblemKind::CallChainTooLong, "route ",
            quoted(Graph.route(I).Id.Text), " starts a chain of ", Depths[I],
            " calls, the limit is ", MaxCallDepth, "; shorten the chain");
    // Looking at direct calls is enough: the rule then holds along each path.
    for (std::size_t I = 0; I < Graph.size(); ++I)
      for (const std::size_t To : Graph.calls(I)) {
        const RouteSpec &Caller = Graph.route(I);
        const RouteSpec &Callee = Graph.route(To);
        if (Caller.Idempotent && !Callee.Idempotent)
          add(BundleProblemKind::IdempotentCallsNonIdempotent, "route ",
              quoted(Caller.Id.Text), " is idempotent but calls ",
              quoted(Callee.Id.Text),
              ", which is not; set \"idempotent\": false on the caller");
        if (Caller.Open && !Callee.Open && !Callee.Internal)
          add(BundleProblemKind::OpenCallsRestricted, "route ",
              quoted(Caller.Id.Text), " is open but calls ",
              quoted(Callee.Id.Text),
              ", which runs for tenants only; close the caller or mark the "
              "callee open or internal");
      }
  }

  void checkPolicy() {
    std::set<HostId> Witnesses;
    for (const HostId &Host : Source.Rules.Witnesses) {
      expectKnown(Hosts, Host, "host", "policy.witnesses");
      if (!Witnesses.insert(Host).second)
        add(BundleProblemKind::Witnesses, "witness ", quoted(Host.Text),
            " is listed twice; name ", WitnessCount, " different hosts");
    }
    const std::size_t Wanted = std::min(WitnessCount, Source.Hosts.size());
    if (Source.Rules.Witnesses.size() != Wanted)
      add(BundleProblemKind::Witnesses, "policy.witnesses names ",
          Source.Rules.Witnesses.size(), " hosts; name ", Wanted,
          ", spread over the zones");
    if (Source.Rules.QuotaLease >= Source.Rules.ViewLease)
      add(BundleProblemKind::InvalidValue, "policy.quota_lease_ms (",
          Source.Rules.QuotaLease.count() / 1000,
          ") is not below policy.view_lease_ms (",
          Source.Rules.ViewLease.count() / 1000, "); shorten the quota lease");
  }

  void checkSizes() {
    if (const auto Published = encodeBundle(Source); !Published.ok())
      add(BundleProblemKind::ChunkTooLarge, Published.status().message());
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

absl::StatusOr<Bundle> assembleValidBundle(const Pointer &Head,
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
  return Checker(Source).run(Current);
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
