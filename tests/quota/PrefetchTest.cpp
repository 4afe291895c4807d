#include <catch2/catch.hpp>

#include "tests/support/Fleet.h"

using namespace pollenwick;
using namespace pollenwick::test;
using std::chrono::milliseconds;

namespace {

/// Time for the holders to end their initial wait and to fill their shards.
constexpr std::chrono::seconds WarmUp(8);

/// Returns the prefetch requests of an ingress that has no tokens and whose
/// last two spends are `Gap` apart.
std::vector<BorrowRequest> prefetchAfterSpends(Fleet &F, Duration Gap) {
  CustomerLeases &LeaseSet = F.Nodes[0].Ingress.Customers.at(F.Customer);
  LeaseSet.LastSpentAt = F.now();
  LeaseSet.PreviousSpentAt = F.now() - Gap;
  LeaseSet.SpendsInTick = 1;
  return prefetch(F.Nodes[0].Ingress, F.now());
}

} // namespace

TEST_CASE("An ingress prefetches tokens for customers in steady use") {
  Fleet F(FleetOptions{});
  F.run(Instant{} + WarmUp);
  // Guards against a round trip to the holder for each request of a caller.
  SECTION("with at most one pending borrow request per customer") {
    const auto First = prefetchAfterSpends(F, milliseconds(20));
    REQUIRE(First.size() == 1);
    REQUIRE(First[0].Needed == MicroTokens{});
    REQUIRE(First[0].Wanted == MicroTokens{2 * OneToken.Value});
    REQUIRE(prefetchAfterSpends(F, milliseconds(20)).empty());
  }
  // Guards against tokens that are borrowed and then returned unused.
  SECTION("but not for a customer with rare requests") {
    REQUIRE(prefetchAfterSpends(F, milliseconds(150)).empty());
  }
}

// Guards against prefetches that take tokens for which requests are waiting at
// other ingresses.
TEST_CASE(
    "A holder lends for a prefetch only from the upper half of its shard") {
  Fleet F(FleetOptions{});
  F.run(Instant{} + WarmUp);
  const ShardHolder Holder = holdersOf(F.Chain[0].Rules, F.Customer)[0];
  FleetNode &N = F.Nodes[F.indexOf(Holder.Host)];
  Shard &OwnShard = N.Holder.Shards.at(F.Customer);
  OwnShard.AccruedAt = F.now();
  const MicroTokens Half{OwnShard.Share.Burst.Value / 2};
  BorrowRequest Request;
  Request.Shard = {F.Customer, Holder.Zone};
  Request.Borrower = {F.Nodes[0].Id, StartId(1)};
  Request.Wanted = MicroTokens{4 * OneToken.Value};
  auto LentTokens = [&] {
    return lend(N.Holder, Request, F.lease(N), F.now()).Reply.Tokens;
  };
  SECTION("lends nothing if less than a token is above the half") {
    OwnShard.Balance = Half + OneToken - MicroTokens{1};
    REQUIRE(LentTokens() == MicroTokens{});
  }
  SECTION("lends one token if exactly one is above the half") {
    OwnShard.Balance = Half + OneToken;
    REQUIRE(LentTokens() == OneToken);
    REQUIRE(OwnShard.Balance == Half);
  }
}
