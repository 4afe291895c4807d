// Cost of one call through admission and routing, and memory by fleet size.
#include <benchmark/benchmark.h>

#include <malloc.h>

#include <numeric>

#include "core/admission/Callee.h"
#include "core/admission/Ingress.h"
#include "core/routing/Routing.h"

using namespace pollenwick;

namespace {

/// Routes per service, each calling one route of the next three services.
constexpr int RoutesPerService = 4;

Bundle makeBundle(int Hosts, int Services, int Customers) {
  Bundle Rules;
  Rules.Classes = {{ClassId("a"), 0}, {ClassId("b"), 1}, {ClassId("c"), 2}};
  auto Name = [&](int Service) { return "s" + std::to_string(Service); };
  for (int Service = 0; Service < Services; ++Service) {
    Rules.Services.push_back({ServiceId(Name(Service)), 50, 400});
    for (int Index = 0; Index < RoutesPerService; ++Index) {
      RouteSpec Route;
      Route.Id = RouteId(Name(Service) + "/r" + std::to_string(Index));
      Route.Service = ServiceId(Name(Service));
      Route.Class = ClassId(std::string(1, static_cast<char>('a' + Index % 3)));
      for (int Next = Service + 1; Next < std::min(Service + 4, Services);
           ++Next)
        Route.Calls.push_back(
            {RouteId(Name(Next) + "/r" + std::to_string(Index)), 1});
      Rules.Routes.push_back(Route);
    }
  }
  for (int Host = 0; Host < Hosts; ++Host) {
    HostSpec Spec;
    Spec.Id = HostId("h" + std::to_string(Host));
    Spec.Service = ServiceId(Name(Host % Services));
    Spec.Zone = ZoneId("z" + std::to_string(Host / Services % 9));
    Rules.Hosts.push_back(Spec);
  }
  for (int Customer = 0; Customer < Customers; ++Customer) {
    CustomerSpec Spec;
    Spec.Id = CustomerId("t" + std::to_string(Customer));
    Rules.Customers.push_back(Spec);
  }
  return Rules;
}

/// One call: admitted, routed, offered, finished, accounted and reported back.
/// The route reaches every service below it.
void fullStep(benchmark::State &Run) {
  const Bundle Rules = makeBundle(static_cast<int>(Run.range(0)),
                                  static_cast<int>(Run.range(1)), 8);
  const BundleIndex Reach = buildBundleIndex(Rules);
  IngressState Ingress = makeIngress(Reach);
  HostTable Table = makeHostTable(Rules, Reach, nullptr, Instant{});
  CalleeState Callee = makeCallee(Reach, 0, Instant{});
  std::mt19937_64 Random(1);
  std::vector<ThresholdReport> Reports;
  Instant Now{};
  std::uint64_t Id = 0;
  for (auto _ : Run) {
    Now += Duration{20};
    OfferedCall Call;
    Call.Id = CallId(++Id);
    Call.Customer = static_cast<CustomerIndex>(Id % 8);
    Call.Hash = Random();
    Call.Deadline = Now + std::chrono::seconds(2);
    Call.ArrivedAt = Now;
    const AdmitResult Verdict =
        admit(Ingress, Reach, {0, Call.Customer, Call.Hash}, Now);
    benchmark::DoNotOptimize(Verdict);
    const HostChoice Choice = chooseHost(Table, {0, 0, {}}, Random, Now);
    if (offerCall(Callee, Reach, Call, Now).Decision == OfferDecision::Run) {
      FinishedCall Done;
      Done.ServiceTime = Duration{1000};
      Done.OwnTime = Duration{900};
      releaseSlot(Callee, Done, Now);
    }
    benchmark::DoNotOptimize(dequeueCall(Callee, Now));
    const CalleeReport Report = calleeReport(Callee, Call.Customer, Now);
    Reports.assign(1, Report.Threshold);
    relayReports(Ingress, Reach, 0, Call.Customer, Now, Reports);
    learnLevels(Ingress, Reach, Call.Customer, Reports, Now);
    onHostReply(Table, *Choice.Host, {HostReplyKind::Answered, Report.InFlight},
                Now);
  }
}
BENCHMARK(fullStep)->Args({14, 4})->Args({300, 20})->Args({3000, 79});

/// A full queue: each call is offered against the worst waiting one.
void offerOverloaded(benchmark::State &Run) {
  const BundleIndex Reach = buildBundleIndex(makeBundle(14, 4, 8));
  CalleeState Callee = makeCallee(Reach, 0, Instant{});
  std::mt19937_64 Random(1);
  Instant Now{};
  std::uint64_t Id = 0;
  for (auto _ : Run) {
    Now += Duration{5};
    OfferedCall Call;
    Call.Id = CallId(++Id);
    Call.Rank = static_cast<std::uint32_t>(Random() % 3);
    Call.RootAdmittedAt = Now - Duration{static_cast<int>(Random() % 9999)};
    Call.Deadline = Now + std::chrono::seconds(2);
    Call.ArrivedAt = Now;
    Call.Nested = true;
    benchmark::DoNotOptimize(offerCall(Callee, Reach, Call, Now));
  }
}
BENCHMARK(offerOverloaded);

std::size_t heapInUse() { return mallinfo2().uordblks; }

/// Heap of one node's tables. Counters are bytes in all.
void memory(benchmark::State &Run) {
  const Bundle Rules =
      makeBundle(static_cast<int>(Run.range(0)), static_cast<int>(Run.range(1)),
                 static_cast<int>(Run.range(2)));
  for (auto _ : Run) {
    const std::size_t Before = heapInUse();
    const BundleIndex Reach = buildBundleIndex(Rules);
    const std::size_t AfterReach = heapInUse();
    const IngressState Ingress = makeIngress(Reach);
    const std::size_t AfterIngress = heapInUse();
    const HostTable Table = makeHostTable(Rules, Reach, nullptr, Instant{});
    const std::size_t AfterTable = heapInUse();
    const CalleeState Callee = makeCallee(Reach, 0, Instant{});
    const std::size_t AfterCallee = heapInUse();
    benchmark::DoNotOptimize(Callee.SlotsInUse);
    Run.counters["reach"] = static_cast<double>(AfterReach - Before);
    Run.counters["ingress"] = static_cast<double>(AfterIngress - AfterReach);
    Run.counters["hosts"] = static_cast<double>(AfterTable - AfterIngress);
    Run.counters["callee"] = static_cast<double>(AfterCallee - AfterTable);
  }
}
BENCHMARK(memory)
    ->Args({750, 79, 8})
    ->Args({1500, 79, 8})
    ->Args({3000, 79, 8})
    ->Args({3000, 79, 80})
    ->Args({3000, 79, 800})
    ->Iterations(1);

} // namespace
