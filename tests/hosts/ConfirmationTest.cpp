#include <catch2/catch.hpp>

#include <vector>

#include "core/hosts/Confirmation.h"

using namespace pollenwick;

namespace {

Instant atSecond(int Second) { return Instant(std::chrono::seconds(Second)); }

} // namespace

TEST_CASE("A node knows who confirmed its records last, and when", "[hosts]") {
  // Guards against a node that takes old records for current ones, because
  // nothing tells it that they may have changed.
  const std::vector<ReaderReport> Readers{{"10.0.0.1", 7, atSecond(20)},
                                          {"10.0.0.2", 7, atSecond(30)},
                                          {"10.0.0.3", 9, atSecond(40)}};

  SECTION("without a read, nothing is confirmed") {
    CHECK_FALSE(latestConfirmation(7, std::nullopt, {}));
  }
  SECTION("the latest of the readers counts") {
    const auto Latest = latestConfirmation(7, std::nullopt, Readers);
    REQUIRE(Latest);
    CHECK(Latest->At == atSecond(30));
    CHECK(Latest->Reader == "10.0.0.2");

    SECTION("but not one that has a newer record") {
      CHECK_FALSE(latestConfirmation(6, std::nullopt, Readers));
    }
    SECTION("and the node's own read if it is later") {
      const auto Own = latestConfirmation(7, atSecond(35), Readers);
      REQUIRE(Own);
      CHECK(Own->At == atSecond(35));
      CHECK(Own->Reader.empty());
    }
  }
}
