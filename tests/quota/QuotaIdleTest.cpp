#include <catch2/catch.hpp>

#include "core/quota/Holder.h"
#include "core/quota/LeaseTable.h"

using namespace pollenwick;

TEST_CASE("The quota reports idle only while no periodic work is due",
          "[quota]") {
  // Guards against a quota thread that sleeps while a lease has to be settled,
  // a shard has to accrue, or reserved capacity has to be released.
  const CustomerId Customer("casa-azul");

  SECTION(
      "an ingress is idle without leases, pending borrows and recent spends") {
    const Instant Now{std::chrono::seconds(10)};
    LeaseTable Table;
    CustomerLeases &LeaseSet = Table.Customers[Customer];
    CHECK(isIdle(Table, Now));
    SECTION("a pending borrow request makes it busy") {
      LeaseSet.PendingBorrows.emplace_back();
    }
    SECTION("a held lease makes it busy") { LeaseSet.Leases.emplace_back(); }
    SECTION("a customer in steady use, whose tokens are prefetched, makes it "
            "busy") {
      LeaseSet.LastSpentAt = Now - std::chrono::milliseconds(20);
    }
    CHECK_FALSE(isIdle(Table, Now));
  }

  SECTION(
      "a holder is idle while its shards are full and have nothing pending") {
    HolderState Holder;
    CHECK(isIdle(Holder));
    Shard &OwnShard = Holder.Shards[Customer];
    OwnShard.Active = true;
    OwnShard.Share.Burst = OwnShard.Balance = MicroTokens{5'000'000};
    CHECK(isIdle(Holder));
    SECTION("an inactive shard makes it busy") { OwnShard.Active = false; }
    SECTION("a retired shard makes it busy") { OwnShard.Retired = true; }
    SECTION("a pending share makes it busy") {
      OwnShard.PendingShare = OwnShard.Share;
    }
    SECTION("a lent lease makes it busy") { OwnShard.Leases[LeaseId{}]; }
    SECTION("a pending pull makes it busy") { OwnShard.PendingPulls[1]; }
    SECTION("tokens lent by the previous holder make it busy") {
      OwnShard.Inherited = MicroTokens{1};
    }
    SECTION("a shard that is not full makes it busy") {
      OwnShard.Balance = MicroTokens{4'999'999};
    }
    CHECK_FALSE(isIdle(Holder));
  }
}
