#include <catch2/catch.hpp>

#include "core/keys/Keys.h"

using namespace pollenwick;

TEST_CASE("A request runs only for the customer of its key", "[keys]") {
  Bundle Rules;
  Rules.Customers.push_back({CustomerId("a"), {}, {}, 1});
  Rules.Customers.push_back({CustomerId("b"), {}, {}, 1});
  const KeyDigest KeyA{{1}};
  const KeyDigest KeyB{{2}};
  const KeyDigest Stray{{3}};
  Rules.Keys = {{KeyA, CustomerId("a")}, {KeyB, CustomerId("b")}};
  Rules.Keys.push_back({Stray, CustomerId("nobody")});
  RouteSpec Route;
  Route.Id = RouteId("cobros/deposit");
  Route.Customers = {CustomerId("a")};
  const auto IndexOf = [](const Bundle &Source) {
    return indexKeys(std::make_shared<const Bundle>(Source));
  };
  const KeyIndex Index = IndexOf(Rules);
  const auto Reason = [&](const std::optional<KeyDigest> &Key) {
    const auto Result = authorizeRequest(Index, Route, Key);
    const auto *Refused = std::get_if<Refusal>(&Result);
    return Refused != nullptr ? Refused->Reason : RefusalReason::None;
  };

  SECTION("keys of other customers and unknown keys are refused") {
    CHECK(Reason(KeyA) == RefusalReason::None);
    CHECK(Reason(KeyB) == RefusalReason::RouteNotAllowed);
    CHECK(Reason(Stray) == RefusalReason::UnknownKey);
    CHECK(Reason(std::nullopt) == RefusalReason::UnknownKey);
  }
  SECTION("an open route needs no key, an internal route refuses every key") {
    Route.Open = true;
    CHECK(Reason(std::nullopt) == RefusalReason::None);
    CHECK(Reason(Stray) == RefusalReason::None);
    Route.Internal = true;
    CHECK(Reason(KeyA) == RefusalReason::RouteNotAllowed);
  }
  SECTION("a key that is revoked or reassigned before dispatch is refused") {
    const AuthorizedCaller Granted{CustomerId("a")};
    CHECK(!reauthorizeRequest(Index, Route, KeyA, Granted));
    Rules.Keys[0].Customer = CustomerId("b");
    Route.Customers.clear();
    CHECK(reauthorizeRequest(IndexOf(Rules), Route, KeyA, Granted));
    Rules.Keys.clear();
    CHECK(reauthorizeRequest(IndexOf(Rules), Route, KeyA, Granted));
  }
}
