#include <catch2/catch.hpp>

#include "core/quota/Holder.h"
#include "core/quota/Ingress.h"

using namespace pollenwick;

TEST_CASE("Quota needs no ticks only while nothing is due", "[quota]") {
  // Guards against a duty that sleeps long while a lease has to be settled, a
  // shard has to be filled, or room that was set aside has to be freed.
  const CustomerId Customer("casa-azul");

  SECTION("an ingress is idle without leases and questions") {
    const Instant Now{std::chrono::seconds(10)};
    LeaseTable Table;
    CustomerLeases &Held = Table.Customers[Customer];
    CHECK(isIdle(Table, Now));
    SECTION("a question without an answer") {
      Held.PendingBorrows.emplace_back();
    }
    SECTION("a lease") { Held.Leases.emplace_back(); }
    SECTION("a customer in use, for which tokens are fetched ahead") {
      Held.LastSpentAt = Now - std::chrono::milliseconds(20);
    }
    CHECK_FALSE(isIdle(Table, Now));
  }

  SECTION("a holder is idle while its shards are full and at rest") {
    HolderState Holder;
    CHECK(isIdle(Holder));
    Shard &Kept = Holder.Shards[Customer];
    Kept.Active = true;
    Kept.Share.Burst = Kept.Balance = MicroTokens{5'000'000};
    CHECK(isIdle(Holder));
    SECTION("a shard that waits") { Kept.Active = false; }
    SECTION("a shard that ends") { Kept.Retired = true; }
    SECTION("a raise to come") { Kept.PendingShare = Kept.Share; }
    SECTION("a lent token") { Kept.Leases[LeaseId{}]; }
    SECTION("a token on its way") { Kept.PendingPulls[1]; }
    SECTION("tokens lent by the holder before") {
      Kept.Inherited = MicroTokens{1};
    }
    SECTION("a shard that fills") { Kept.Balance = MicroTokens{4'999'999}; }
    CHECK_FALSE(isIdle(Holder));
  }
}
