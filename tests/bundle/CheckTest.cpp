#include <catch2/catch.hpp>

#include <algorithm>

#include "SampleBundle.h"
#include "bundle/Check.h"
#include "bundle/Graph.h"
#include "core/quota/Sharding.h"

using namespace pollenwick;

namespace {

bool reportsProblem(const Bundle &Source, BundleProblemKind Kind,
                    const std::string &Value,
                    std::optional<Revision> Current = std::nullopt) {
  const std::vector<BundleProblem> Problems = checkBundle(Source, Current);
  return std::any_of(
      Problems.begin(), Problems.end(), [&](const BundleProblem &P) {
        return P.Kind == Kind && P.Message.find(Value) != std::string::npos;
      });
}

// Returns the sample bundle with a chain of `Length` additional routes, in
// which each route calls the next one: shop/r0 -> shop/r1 -> ...
Bundle bundleWithCallChain(std::size_t Length) {
  Bundle Source = sampleBundle();
  for (std::size_t I = 0; I < Length; ++I) {
    RouteSpec Route = Source.Routes[0];
    Route.Id = RouteId("shop/r" + std::to_string(I));
    if (I + 1 < Length)
      Route.Calls = {{RouteId("shop/r" + std::to_string(I + 1)), 1}};
    Source.Routes.push_back(Route);
  }
  return Source;
}

} // namespace

TEST_CASE("The bundle check reports the problems of a bundle", "[check]") {
  Bundle Source = sampleBundle();

  SECTION("a valid bundle has no problems") {
    // Guards against a check that rejects a valid bundle.
    const std::vector<BundleProblem> Problems =
        checkBundle(Source, Revision(6));
    INFO((Problems.empty() ? "" : Problems[0].Message));
    CHECK(Problems.empty());
  }

  SECTION(
      "values that would crash a node are found before and after publishing") {
    // Guards against a rate that overflows the arithmetic of the quota shards
    // and against a bundle without customers. Both made a node fail an
    // assertion.
    Source.Customers[0].RatePerSecond = MicroTokens{2'000'000'000'000};
    CHECK(reportsProblem(Source, BundleProblemKind::InvalidValue,
                         "2000000000000"));
    const PublishedBundle Published = encodeBundle(Source).value();
    CHECK(assembleBundle(Published.Head, Published.Chunks).ok());
    CHECK_FALSE(assembleValidBundle(Published.Head, Published.Chunks).ok());
    Source.Customers.clear();
    CHECK(reportsProblem(Source, BundleProblemKind::InvalidValue, "no tenant"));
  }

  SECTION("all problems of a bundle are reported together") {
    // Guards against a check that stops after the first problem.
    Source.Routes[0].Class = ClassId();
    Source.Hosts[1].Service = ServiceId("baank");
    Source.Keys.push_back(Source.Keys[0]);
    CHECK(reportsProblem(Source, BundleProblemKind::RouteWithoutClass,
                         "shop/lookup"));
    CHECK(reportsProblem(Source, BundleProblemKind::UnknownName, "baank"));
    CHECK(reportsProblem(Source, BundleProblemKind::DuplicateKey,
                         digestToHex(Source.Keys[0].Key.Bytes)));
  }

  SECTION("a reference to an undefined name is found in every section") {
    // Guards against a reference that a node cannot resolve.
    Source.Routes[0].Service = ServiceId("shopp");
    Source.Routes[0].Class = ClassId("lookups");
    Source.Routes[0].Customers = {CustomerId("frist")};
    Source.Routes[1].Calls = {{RouteId("shop/look"), 1}};
    Source.Keys[0].Customer = CustomerId("third");
    Source.Rules.Witnesses[0] = HostId("shop-99");
    for (const char *Value :
         {"shopp", "lookups", "frist", "shop/look", "third", "shop-99"})
      CHECK(reportsProblem(Source, BundleProblemKind::UnknownName, Value));
  }

  SECTION(
      "invalid names and routes without the name of their service are found") {
    // Guards against names that result in invalid paths, logs or chunk names.
    Source.Customers[0].Id = CustomerId("First Tenant");
    Source.Hosts[0].Zone = ZoneId("zone/0");
    CHECK(
        reportsProblem(Source, BundleProblemKind::InvalidName, "First Tenant"));
    CHECK(reportsProblem(Source, BundleProblemKind::InvalidName, "zone/0"));
    Source.Routes[0].Id = RouteId("bank/lookup");
    CHECK(reportsProblem(Source, BundleProblemKind::RouteNameMismatch,
                         "bank/lookup"));
    Source.Routes[0].Id = RouteId("shop/a/b");
    CHECK(reportsProblem(Source, BundleProblemKind::RouteNameMismatch,
                         "shop/a/b"));
  }

  SECTION("duplicate entries are found") {
    // Guards against duplicates of which only the last one would take effect.
    Source.Hosts.push_back(Source.Hosts[2]);
    Source.Hosts[1].PeerPort = Source.Hosts[0].CallerPort;
    Source.Classes[1].Rank = 0;
    Source.Customers.push_back(Source.Customers[0]);
    Source.Routes[1].Calls.push_back(Source.Routes[1].Calls[0]);
    Source.Rules.Witnesses[1] = Source.Rules.Witnesses[0];
    CHECK(reportsProblem(Source, BundleProblemKind::DuplicateHost, "shop-2"));
    CHECK(reportsProblem(Source, BundleProblemKind::DuplicateAddress,
                         "port 20001"));
    CHECK(reportsProblem(Source, BundleProblemKind::Duplicate, "rank 0"));
    CHECK(reportsProblem(Source, BundleProblemKind::Duplicate, "first"));
    CHECK(reportsProblem(Source, BundleProblemKind::Duplicate, "shop/lookup"));
    CHECK(reportsProblem(Source, BundleProblemKind::Witnesses, "shop-0"));
  }

  SECTION("a rate or burst too small to divide among all zones is found") {
    // Guards against a shard whose share is too small to ever lend a whole
    // token.
    Source.Customers[0].Burst = MicroTokens{2'999'999};
    Source.Customers[1].RatePerSecond = MicroTokens{2};
    CHECK(reportsProblem(Source, BundleProblemKind::QuotaNotDivisible,
                         "2999999"));
    CHECK(reportsProblem(Source, BundleProblemKind::QuotaNotDivisible,
                         "rate of 2 "));
    Source.Customers[0].Burst = MicroTokens{3'000'000};
    Source.Customers[1].RatePerSecond = MicroTokens{3};
    CHECK_FALSE(
        reportsProblem(Source, BundleProblemKind::QuotaNotDivisible, ""));
  }

  SECTION("cycles and overlong chains in the call graph are found") {
    // Guards against calls that recurse forever or cannot meet their deadline.
    CHECK(checkBundle(bundleWithCallChain(MaxCallDepth)).empty());
    CHECK(reportsProblem(bundleWithCallChain(MaxCallDepth + 1),
                         BundleProblemKind::CallChainTooLong, "shop/r0"));
    Bundle Loop = bundleWithCallChain(4);
    Loop.Routes[4].Calls.push_back({RouteId("shop/r0"), 1});
    CHECK(reportsProblem(Loop, BundleProblemKind::Cycle, "shop/r"));
    Source.Routes[0].Calls = {{Source.Routes[0].Id, 1}};
    CHECK(reportsProblem(Source, BundleProblemKind::Cycle,
                         "shop/lookup -> shop/lookup"));
  }

  SECTION("an idempotent route that calls a non-idempotent one is found") {
    // Guards against a retry of the calling route that repeats the effect of
    // the called one, for example a deposit.
    Source.Routes[0].Calls = {{RouteId("bank/order"), 1}};
    Source.Routes[1].Calls.clear();
    CHECK(reportsProblem(
        Source, BundleProblemKind::IdempotentCallsNonIdempotent, "bank/order"));
  }

  SECTION("an open route that calls a restricted route is found") {
    // Guards against a restricted route that runs without a customer's key.
    Source.Routes[1].Open = true;
    CHECK(reportsProblem(Source, BundleProblemKind::OpenCallsRestricted,
                         "shop/lookup"));
    Source.Routes[0].Open = true;
    CHECK(reportsProblem(Source, BundleProblemKind::ConflictingOptions,
                         "lists tenants"));
    Source.Routes[0].Internal = true;
    CHECK(reportsProblem(Source, BundleProblemKind::ConflictingOptions,
                         "open and internal"));
  }

  SECTION("a revision that does not increase is found") {
    // Guards against a rollback to an older revision.
    CHECK(reportsProblem(Source, BundleProblemKind::RevisionNotIncreasing,
                         "revision 7", Revision(7)));
    Source.Number = Revision(0);
    CHECK(
        reportsProblem(Source, BundleProblemKind::InvalidValue, "revision 0"));
  }

  SECTION("values that a node cannot use are found") {
    Source.Hosts[0].Address = "shop.example";
    Source.Rules.QuotaLease = Source.Rules.ViewLease;
    Source.Rules.Witnesses.pop_back();
    Source.Services.push_back({ServiceId("empty"), 1, 1});
    CHECK(reportsProblem(Source, BundleProblemKind::InvalidValue,
                         "shop.example"));
    CHECK(reportsProblem(Source, BundleProblemKind::InvalidValue,
                         "quota_lease_ms"));
    CHECK(reportsProblem(Source, BundleProblemKind::Witnesses, "4 hosts"));
    CHECK(reportsProblem(Source, BundleProblemKind::InvalidValue, "empty"));
  }

  SECTION("a chunk of more than 1 MB is found") {
    // Guards against a chunk that the configuration service rejects.
    for (int I = 0; I < 8000; ++I) {
      HostSpec Host = Source.Hosts[0];
      Host.Id = HostId("shop-filler-" + std::to_string(I));
      Source.Hosts.push_back(Host);
    }
    CHECK(reportsProblem(Source, BundleProblemKind::ChunkTooLarge,
                         "hosts/zone-0"));
    // The report of the 24,000 port conflicts is truncated, which bounds its
    // memory, but problems of other kinds are still reported.
    CHECK(reportsProblem(Source, BundleProblemKind::ReportTruncated,
                         "address-twice"));
    CHECK(checkBundle(Source).size() < 200);
  }
}

TEST_CASE("The quota shares of all zones add up exactly to the quota",
          "[check]") {
  // Guards against rounding that increases or reduces the total quota (G6).
  for (const std::int64_t Total : {0L, 1L, 2L, 1'000'000L, 99'999'999L})
    for (const std::size_t Count : {1U, 2U, 3U, 9U}) {
      CustomerSpec Customer;
      Customer.RatePerSecond = Customer.Burst = MicroTokens{Total};
      ShardShare Sum;
      for (std::size_t I = 0; I < Count; ++I) {
        const ShardShare Share = shareOf(Customer, I, Count);
        Sum.RatePerSecond += Share.RatePerSecond;
        Sum.Burst += Share.Burst;
      }
      CHECK(Sum.RatePerSecond.Value == Total);
      CHECK(Sum.Burst.Value == Total);
    }
}

TEST_CASE("The declared calls of a route are counted along every path",
          "[check]") {
  // Guards against a retry bound that ignores the number of calls per edge and
  // against exponential run time on a graph with many paths.
  CHECK(CallGraph(sampleBundle()).declaredCalls(1) == 3);
  Bundle Wide = bundleWithCallChain(29);
  for (RouteSpec &Route : Wide.Routes)
    for (EdgeSpec &Edge : Route.Calls)
      Edge.Count = 1000;
  const CallGraph Graph(Wide);
  CHECK(Graph.declaredCalls(*Graph.find(RouteId("shop/r0"))) ==
        1'000'000'000'000);
}
