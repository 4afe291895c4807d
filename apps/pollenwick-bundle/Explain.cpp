#include <gflags/gflags.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <set>

#include "Commands.h"
#include "Files.h"
#include "absl/strings/str_cat.h"
#include "bundle/Check.h"
#include "bundle/Graph.h"
#include "core/quota/Sharding.h"

DECLARE_string(tenant);
DECLARE_string(route);
DECLARE_string(klass);

namespace pollenwick {
namespace {

// A wide call graph would print a tree of exponential size.
constexpr std::size_t MaxTreeLines = 200;

template <typename Spec, typename Id>
const Spec *findById(const std::vector<Spec> &List, const Id &Wanted) {
  const auto Found =
      std::find_if(List.begin(), List.end(),
                   [&](const Spec &Item) { return Item.Id == Wanted; });
  return Found == List.end() ? nullptr : &*Found;
}

std::string tokensText(MicroTokens Tokens) {
  std::string Text = absl::StrCat(Tokens.Value / OneToken.Value);
  if (const std::int64_t Rest = Tokens.Value % OneToken.Value; Rest != 0) {
    std::string Digits = absl::StrCat(1'000'000 + Rest);
    Digits.erase(0, 1);
    Digits.erase(Digits.find_last_not_of('0') + 1);
    Text += "." + Digits;
  }
  return Text;
}

void printTree(const CallGraph &Graph, std::size_t At, std::uint32_t Count,
               std::size_t Depth, std::size_t &Lines) {
  if (++Lines > MaxTreeLines)
    return;
  const RouteSpec &Route = Graph.route(At);
  std::cout << std::string(2 + Depth * 2, ' ') << Route.Id.Text << " x" << Count
            << (Route.Idempotent ? "" : ", at most once")
            << (Route.Internal ? ", internal" : "") << '\n';
  for (const std::size_t To : Graph.callees(At)) {
    const auto Edge = std::find_if(
        Route.Calls.begin(), Route.Calls.end(),
        [&](const EdgeSpec &Item) { return Item.Route == Graph.route(To).Id; });
    printTree(Graph, To, Edge->Count, Depth + 1, Lines);
  }
}

void explainAdmission(const Bundle &Source, const RouteSpec &Route,
                      const ClassSpec &Class) {
  const auto ShedBefore = std::count_if(
      Source.Classes.begin(), Source.Classes.end(),
      [&](const ClassSpec &Other) { return Other.Rank > Class.Rank; });
  std::cout << "class      " << Class.Id.Text << ", rank " << Class.Rank
            << " (0 is shed last); " << ShedBefore << " of "
            << Source.Classes.size() << " classes are shed before it\n";
  std::cout << "access     ";
  if (Route.Internal)
    std::cout << "internal: only as a sub-call, a caller gets 403\n";
  else if (Route.Open)
    std::cout << "open: no key is needed and no quota is used\n";
  else
    std::cout << "key needed: 401 without a known key\n";
  std::cout << "ticket     "
            << (Route.Idempotent ? "not needed\n"
                : Route.Internal ? "not needed for a sub-call; its edge is "
                                   "used at most the declared number of times\n"
                                 : "needed: 428 with a ticket without one; "
                                   "runs at most once\n");
  std::cout << "deadline   " << Route.Deadline.count() / 1000
            << " ms unless the caller gives a shorter one\n";
}

void explainQuota(const Bundle &Source, const RouteSpec &Route,
                  const CustomerSpec &Customer) {
  const bool Allowed = Route.Open || Route.Customers.empty() ||
                       std::find(Route.Customers.begin(), Route.Customers.end(),
                                 Customer.Id) != Route.Customers.end();
  std::cout << "tenant     " << Customer.Id.Text << ", weight "
            << Customer.Weight
            << (Allowed ? "" : "; not allowed on this route: 403") << '\n';
  if (Route.Open || Route.Internal)
    return;
  std::cout << "quota      " << tokensText(Customer.RatePerSecond)
            << " per second, burst " << tokensText(Customer.Burst)
            << " over the whole fleet; 429 beyond\n";
  const std::vector<ZoneId> Zones = zonesOf(Source);
  for (std::size_t I = 0; I < Zones.size(); ++I) {
    const ShardShare Share = shareOf(Customer, I, Zones.size());
    std::cout << "  zone " << Zones[I].Text << ": "
              << tokensText(Share.RatePerSecond) << " per second, burst "
              << tokensText(Share.Burst) << '\n';
  }
}

void explainCalls(const Bundle &Source, const CallGraph &Graph,
                  std::size_t At) {
  std::cout << "calls      (xN: sub-calls per call of the route above)\n";
  std::size_t Lines = 0;
  printTree(Graph, At, 1, 0, Lines);
  if (Lines > MaxTreeLines)
    std::cout << "  ... " << Lines - MaxTreeLines << " more lines\n";
  std::set<ServiceId> Services{Graph.route(At).Service};
  for (const std::size_t To : Graph.reachableRoutes(At))
    Services.insert(Graph.route(To).Service);
  std::cout << "sheds for ";
  for (const ServiceId &Service : Services)
    std::cout << ' ' << Service.Text;
  const std::uint64_t Declared = Graph.declaredCalls(At);
  const std::uint64_t Allowance = Source.Rules.RetryAllowance;
  // A retry repeats at most the whole tree, so that the tree runs at most
  // once more for each unit of the allowance.
  std::cout << " (the strictest threshold counts)\nretries    at most "
            << Allowance << " in the whole call tree; " << Declared
            << " calls without retries, at most " << Declared * (Allowance + 1)
            << " with them\n";
}

} // namespace

ExitCode runExplain(const Arguments &Args) {
  if (Args.size() != 1 || FLAGS_route.empty())
    return fail(ExitUsage, "explain needs a bundle and --route SERVICE/ROUTE");
  absl::StatusOr<Bundle> Source = loadBundle(Args[0]);
  if (!Source.ok())
    return fail(ExitInput, std::string(Source.status().message()));
  if (const std::vector<BundleProblem> Problems = checkBundle(*Source);
      !Problems.empty())
    return fail(ExitProblems, Problems[0].Message + "; run check for all");
  const CallGraph Graph(*Source);
  const auto At = Graph.find(RouteId(FLAGS_route));
  if (!At)
    return fail(ExitInput, "unknown route \"" + FLAGS_route +
                               "\"; give one of the bundle's routes");
  const RouteSpec &Route = Graph.route(*At);
  const ClassId Wanted =
      FLAGS_klass.empty() ? Route.Class : ClassId(FLAGS_klass);
  const auto *Class = findById(Source->Classes, Wanted);
  if (Class == nullptr)
    return fail(ExitInput, "unknown class \"" + Wanted.Text +
                               "\"; give one of the bundle's classes");
  const auto *Customer = findById(Source->Customers, CustomerId(FLAGS_tenant));
  if (Customer == nullptr && !FLAGS_tenant.empty())
    return fail(ExitInput, "unknown tenant \"" + FLAGS_tenant +
                               "\"; give one of the bundle's tenants");
  std::cout << "route      " << Route.Id.Text << ", served by "
            << std::count_if(Source->Hosts.begin(), Source->Hosts.end(),
                             [&](const HostSpec &Host) {
                               return Host.Service == Route.Service;
                             })
            << " hosts of " << Route.Service.Text << '\n';
  explainAdmission(*Source, Route, *Class);
  if (Customer != nullptr)
    explainQuota(*Source, Route, *Customer);
  explainCalls(*Source, Graph, *At);
  return ExitOk;
}

} // namespace pollenwick
