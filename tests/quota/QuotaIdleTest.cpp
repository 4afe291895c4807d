#include <catch2/catch.hpp>

#include "core/quota/Holder.h"
#include "core/quota/LeaseTable.h"

using namespace pollenwick;

TEST_CASE("Quota needs no ticks only while nothing is due", "[quota]") {
  // Guards against a duty that sleeps long while a lease has to be settled, a
  // shard has to be filled, or room that was set aside has to be freed.
  const CustomerId Customer("casa-azul");

  SECTION("an ingress is idle without leases and questions") {
    const Instant Now{std::chrono::seconds(10)};
    LeaseTable Table;
    CustomerLeases &LeaseSet = Table.Customers[Customer];
    CHECK(isIdle(Table, Now));
    SECTION("a question without an answer") {
      LeaseSet.PendingBorrows.emplace_back();
    }
    SECTION("a lease") { LeaseSet.Leases.emplace_back(); }
    SECTION("a customer in use, for which tokens are fetched ahead") {
      LeaseSet.LastSpentAt = Now - std::chrono::milliseconds(20);
    }
    CHECK_FALSE(isIdle(Table, Now));
  }

  SECTION("a holder is idle while its shards are full and at rest") {
    HolderState Holder;
    CHECK(isIdle(Holder));
    Shard &OwnShard = Holder.Shards[Customer];
    OwnShard.Active = true;
    OwnShard.Share.Burst = OwnShard.Balance = MicroTokens{5'000'000};
    CHECK(isIdle(Holder));
    SECTION("a shard that waits") { OwnShard.Active = false; }
    SECTION("a shard that ends") { OwnShard.Retired = true; }
    SECTION("a raise to come") { OwnShard.PendingShare = OwnShard.Share; }
    SECTION("a lent token") { OwnShard.Leases[LeaseId{}]; }
    SECTION("a token on its way") { OwnShard.PendingPulls[1]; }
    SECTION("tokens lent by the holder before") {
      OwnShard.Inherited = MicroTokens{1};
    }
    SECTION("a shard that fills") { OwnShard.Balance = MicroTokens{4'999'999}; }
    CHECK_FALSE(isIdle(Holder));
  }
}
