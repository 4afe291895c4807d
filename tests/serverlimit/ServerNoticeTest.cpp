#include <catch2/catch.hpp>

#include "core/serverlimit/ServerNotice.h"

using namespace pollenwick;

TEST_CASE("The notice in an answer is read", "[serverlimit]") {
  SECTION("a limit is a decimal number") {
    CHECK(parseServerNotice("2.9", "").RequestsPerS == 2.9);
    CHECK(parseServerNotice("11", "").RequestsPerS == 11);
    CHECK(parseServerNotice("0", "").RequestsPerS == 0);
    CHECK(parseServerNotice("0.25", "").RequestsPerS == 0.25);
  }
  SECTION("any other text is counted and names none") {
    // Guards against a limit that is lifted, or without a bound, because a
    // server sends nonsense.
    const auto *Text =
        GENERATE("-1", "-0", "nan", "inf", "1e9", "0x10", "5 ", "5,0",
                 "99999999999", "1.2.3", "+3", "a lot", ".");
    const ServerNotice Notice = parseServerNotice(Text, "");
    CHECK_FALSE(Notice.RequestsPerS.has_value());
    CHECK(Notice.LimitUnreadable);
  }
  SECTION("no limit is not an unreadable one") {
    const ServerNotice Notice = parseServerNotice("", "");
    CHECK_FALSE(Notice.RequestsPerS.has_value());
    CHECK_FALSE(Notice.LimitUnreadable);
  }
  SECTION("a server that ends says so with a 1") {
    CHECK(parseServerNotice("", "1").Leaving);
    CHECK_FALSE(parseServerNotice("", "").Leaving);
    CHECK_FALSE(parseServerNotice("", "0").Leaving);
  }
}
