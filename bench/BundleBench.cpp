#include <benchmark/benchmark.h>

#include <malloc.h>

#include <memory>
#include <string>

#include "bundle/Check.h"
#include "bundle/Digests.h"
#include "bundle/Published.h"
#include "bundle/Signing.h"

using namespace pollenwick;

namespace {

struct Size {
  std::size_t Hosts;
  std::size_t Services;
  std::size_t Routes;
  std::size_t Customers;
  std::size_t Keys;
};

constexpr Size Sizes[] = {
    {14, 4, 8, 8, 8}, {300, 20, 100, 8, 100}, {3000, 79, 400, 8, 1000}};

Bundle makeBundle(const Size &Wanted) {
  Bundle Result;
  Result.Number = Revision(1);
  const auto Name = [](const char *Kind, std::size_t I) {
    return std::string(Kind) + "-" + std::to_string(I);
  };
  for (std::size_t I = 0; I < Wanted.Services; ++I)
    Result.Services.push_back({ServiceId(Name("service", I)), 50, 500});
  for (std::size_t I = 0; I < Wanted.Hosts; ++I) {
    HostSpec Host;
    Host.Id = HostId(Name("service-host", I));
    Host.Service = ServiceId(Name("service", I % Wanted.Services));
    Host.Zone = ZoneId(Name("region-zone", I % 9));
    Host.Address =
        "10.0." + std::to_string(I / 250) + "." + std::to_string(I % 250);
    Host.CallerPort = 7001;
    Host.PeerPort = 7002;
    Host.MembershipPort = 7003;
    Result.Hosts.push_back(Host);
    if (I < WitnessCount)
      Result.Rules.Witnesses.push_back(Host.Id);
  }
  for (std::size_t I = 0; I < Wanted.Customers; ++I)
    Result.Customers.push_back({CustomerId(Name("tenant", I)),
                                MicroTokens{1'000'000'000},
                                MicroTokens{300'000'000}});
  for (std::size_t I = 0; I < Wanted.Keys; ++I)
    Result.Keys.push_back({keyDigest(Name("key", I)),
                           CustomerId(Name("tenant", I % Wanted.Customers))});
  Result.Classes = {{ClassId("payment"), 0}, {ClassId("lookup"), 1}};
  for (std::size_t I = 0; I < Wanted.Routes; ++I) {
    RouteSpec Route;
    Route.Service = ServiceId(Name("service", I % Wanted.Services));
    Route.Id = RouteId(Route.Service.Text + Name("/route", I));
    Route.Class = ClassId("lookup");
    // Chains of up to 29 calls.
    if (I % MaxCallDepth != 0)
      Route.Calls = {{Result.Routes.back().Id, 1}};
    Result.Routes.push_back(Route);
  }
  return Result;
}

std::size_t bytesInUse() {
  const struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

std::size_t bytesOf(const Size &Wanted) {
  const Bundle Kept = makeBundle(Wanted);
  const std::size_t Before = bytesInUse();
  // A copy has no spare capacity.
  const auto Copy = std::make_unique<Bundle>(Kept);
  return bytesInUse() - Before;
}

void assembleBundleAt(benchmark::State &State) {
  const PublishedBundle Published =
      encodeBundle(makeBundle(Sizes[State.range(0)])).value();
  std::size_t Bytes = 0;
  for (const auto &[Sum, Text] : Published.Chunks)
    Bytes += Text.size();
  const std::size_t Before = bytesInUse();
  const Bundle Kept = assembleBundle(Published.Head, Published.Chunks).value();
  State.counters["resident_bytes"] = static_cast<double>(bytesInUse() - Before);
  State.counters["chunk_bytes"] = static_cast<double>(Bytes);
  State.counters["pointer_bytes"] =
      static_cast<double>(encodePointer(Published.Head).size());
  for (auto Round : State)
    benchmark::DoNotOptimize(assembleBundle(Published.Head, Published.Chunks));
}
BENCHMARK(assembleBundleAt)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);

void checkBundleAt(benchmark::State &State) {
  const Bundle Source = makeBundle(Sizes[State.range(0)]);
  State.counters["problems"] = static_cast<double>(checkBundle(Source).size());
  for (auto Round : State)
    benchmark::DoNotOptimize(checkBundle(Source));
}
BENCHMARK(checkBundleAt)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);

void verifyPointerAt(benchmark::State &State) {
  PublishedBundle Published =
      encodeBundle(makeBundle(Sizes[State.range(0)])).value();
  const KeyPair Operator = generateKeyPair().value();
  if (!signPointer(Published.Head, Operator.Private).ok())
    State.SkipWithError("signing failed");
  const std::string Document = encodePointer(Published.Head);
  for (auto Round : State)
    benchmark::DoNotOptimize(verifyPointer(Document, {Operator.Public}));
}
BENCHMARK(verifyPointerAt)->DenseRange(0, 2)->Unit(benchmark::kMicrosecond);

// Memory of one further host, route, customer and key in a large bundle.
void memoryPerEntry(benchmark::State &State) {
  const Size Base = Sizes[2];
  Size More = Base;
  constexpr std::size_t Added = 1000;
  (State.range(0) == 0   ? More.Hosts
   : State.range(0) == 1 ? More.Routes
   : State.range(0) == 2 ? More.Customers
                         : More.Keys) += Added;
  const std::size_t Small = bytesOf(Base);
  const std::size_t Large = bytesOf(More);
  for (auto Round : State)
    benchmark::DoNotOptimize(Large);
  State.SetLabel(State.range(0) == 0   ? "host"
                 : State.range(0) == 1 ? "route"
                 : State.range(0) == 2 ? "tenant"
                                       : "key");
  State.counters["bytes_each"] =
      (static_cast<double>(Large) - static_cast<double>(Small)) / Added;
}
BENCHMARK(memoryPerEntry)->DenseRange(0, 3)->Iterations(1);

} // namespace
