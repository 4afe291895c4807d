#include <catch2/catch.hpp>

#include "node/ActiveBundle.h"

using namespace pollenwick;

TEST_CASE("A class has the same rank at every service", "[node]") {
  // Guards against shedding sub-calls by the class of their own route instead
  // of the class of their root request.
  Bundle Rules;
  Rules.Services = {{ServiceId("cobros"), 4, 4}, {ServiceId("galeria"), 4, 4}};
  Rules.Classes = {{ClassId("deposit"), 0}, {ClassId("photo"), 70}};
  RouteSpec Deposit;
  Deposit.Id = RouteId("cobros/deposit");
  Deposit.Service = ServiceId("cobros");
  Deposit.Class = ClassId("deposit");
  RouteSpec Photo;
  Photo.Id = RouteId("galeria/photo");
  Photo.Service = ServiceId("galeria");
  Photo.Class = ClassId("photo");
  Rules.Routes = {Deposit, Photo};
  const BundlePtr Active = buildActiveBundle(Rules, RevisionPointer{});
  CHECK(classRank(*Active, ClassId("deposit")) == 0);
  CHECK(classRank(*Active, ClassId("photo")) == 1);
  SECTION("an unknown class gets the rank that is shed first") {
    CHECK(classRank(*Active, ClassId("other")) == 1);
  }
}
