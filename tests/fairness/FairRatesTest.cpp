#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <limits>
#include <numeric>

#include "core/fairness/FairRates.h"

using namespace pollenwick;

namespace {

double sum(const std::vector<double> &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0);
}

std::vector<CustomerClaim> drawClaims() {
  return *rc::gen::nonEmpty(
      rc::gen::container<std::vector<CustomerClaim>>(rc::gen::apply(
          [](int Offered, int Weight, int Limit) {
            return CustomerClaim{Offered / 10.0, Weight / 10.0, Limit / 10.0};
          },
          rc::gen::inRange(0, 5000), rc::gen::inRange(1, 1000),
          rc::gen::inRange(0, 1000))));
}

double withinLimit(const CustomerClaim &Claim) {
  return Claim.LimitPerSecond > 0
             ? std::min(Claim.OfferedPerSecond, Claim.LimitPerSecond)
             : Claim.OfferedPerSecond;
}

} // namespace

TEST_CASE("The customer that causes an excess bears it", "[fairness]") {
  SECTION("a hot customer among many") {
    // Guards against refusals in equal proportion: each of the seven others
    // would lose three fifths of its requests to the burst of the first.
    std::vector<CustomerClaim> Claims(8, {20, 50, 0});
    Claims[0].OfferedPerSecond = 400;
    const std::vector<double> Rates = fairRates(Claims, 216);
    CHECK(Rates[0] == Approx(76));
    CHECK(std::all_of(Rates.begin() + 1, Rates.end(),
                      [](double Rate) { return Rate == Approx(20); }));
  }
  SECTION("customers above their share divide the remainder by weight") {
    const std::vector<double> Rates =
        fairRates({{500, 100, 0}, {500, 300, 0}, {10, 100, 0}}, 210);
    CHECK(Rates[0] == Approx(50));
    CHECK(Rates[1] == Approx(150));
    CHECK(Rates[2] == Approx(10));
  }
  SECTION("weights are equal where no customer has a rate") {
    const std::vector<double> Rates =
        fairRates({{90, 0, 0}, {60, 0, 0}, {5, 0, 0}}, 65);
    CHECK(Rates[0] == Approx(30));
    CHECK(Rates[1] == Approx(30));
    CHECK(Rates[2] == Approx(5));
  }
  SECTION("an unusable weight counts as the mean of the others") {
    // Guards against a division by zero, and against a customer without a rate
    // that gets nothing, or everything.
    const double Unusable =
        GENERATE(0.0, -5.0, std::numeric_limits<double>::quiet_NaN(),
                 std::numeric_limits<double>::infinity());
    const std::vector<double> Rates =
        fairRates({{100, 20, 0}, {100, Unusable, 0}, {100, 60, 0}}, 120);
    CHECK(Rates[0] == Approx(20));
    CHECK(Rates[1] == Approx(40));
    CHECK(Rates[2] == Approx(60));
  }
  SECTION("requests beyond a quota get only what the others leave") {
    // Guards against capacity reserved for requests that the quota refuses.
    const std::vector<CustomerClaim> Claims{{1000, 100, 100}, {180, 100, 200}};
    const std::vector<double> Scarce = fairRates(Claims, 240);
    CHECK(Scarce[0] == Approx(100));
    CHECK(Scarce[1] == Approx(140));
    const std::vector<double> Ample = fairRates(Claims, 400);
    CHECK(Ample[0] == Approx(220));
    CHECK(Ample[1] == Approx(180));
  }
  SECTION("nothing is offered, or nothing can be admitted") {
    CHECK(fairRates({}, 100).empty());
    CHECK(sum(fairRates({{0, 1, 0}, {0, 0, 0}}, 100)) == 0);
    CHECK(sum(fairRates({{10, 1, 0}}, 0)) == 0);
    CHECK(sum(fairRates({{10, 1, 0}}, -1)) == 0);
  }
}

TEST_CASE("Fair rates keep their promises for any demand", "[fairness]") {
  // Guards against an order of service, or a rounding, that refuses a customer
  // below its share while another above its share is admitted.
  rc::prop("no customer is refused below the level of another", [] {
    const std::vector<CustomerClaim> Claims = drawClaims();
    const double Capacity = *rc::gen::inRange(0, 40000) / 10.0;
    const std::vector<double> Rates = fairRates(Claims, Capacity);
    double Offered = 0;
    for (const CustomerClaim &Claim : Claims)
      Offered += Claim.OfferedPerSecond;
    RC_ASSERT(sum(Rates) == Approx(std::min(Offered, Capacity)).margin(1e-6));
    for (std::size_t I = 0; I < Claims.size(); ++I) {
      RC_ASSERT(Rates[I] >= 0);
      RC_ASSERT(Rates[I] <= Claims[I].OfferedPerSecond + 1e-6);
      if (Rates[I] > withinLimit(Claims[I]) - 1e-6)
        continue;
      for (std::size_t J = 0; J < Claims.size(); ++J)
        RC_ASSERT(Rates[J] / Claims[J].Weight <=
                  Rates[I] / Claims[I].Weight + 1e-6);
    }
  });
}
