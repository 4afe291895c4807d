#include <catch2/catch.hpp>

#include "core/serverlimit/RequestLimit.h"

using namespace pollenwick;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant Start(seconds(100));

Instant at(int Ms) { return Start + milliseconds(Ms); }

ServerNotice named(double PerS) { return {PerS, false, false}; }

} // namespace

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

TEST_CASE("A limit is in force for as long as the server names it",
          "[serverlimit]") {
  RequestLimit Limit;
  REQUIRE(applyNotice(Limit, named(4), at(0), at(200)));
  CHECK(Limit.RequestsPerS == 4);
  SECTION("another one replaces it") {
    CHECK(applyNotice(Limit, named(7), at(10), at(210)));
    CHECK(Limit.RequestsPerS == 7);
    CHECK_FALSE(applyNotice(Limit, named(7), at(20), at(220)));
  }
  SECTION("an answer without one to a later call ends it") {
    CHECK(applyNotice(Limit, {}, at(200), at(400)));
    CHECK(Limit.RequestsPerS == 0);
  }
  SECTION("an answer without one that was overtaken does not end it") {
    // Guards against a limit that is lifted for a moment, in which all waiting
    // calls start at once.
    CHECK_FALSE(applyNotice(Limit, {}, at(199), at(201)));
    CHECK(Limit.RequestsPerS == 4);
  }
  SECTION("an unreadable one does not end it") {
    CHECK_FALSE(applyNotice(Limit, {{}, true, false}, at(300), at(400)));
    CHECK(Limit.RequestsPerS == 4);
  }
  SECTION("one of zero leaves the answers that will end it") {
    CHECK(applyNotice(Limit, named(0), at(300), at(400)));
    CHECK(Limit.RequestsPerS == 0.5);
    CHECK(applyNotice(Limit, {}, at(2400), at(2500)));
  }
}
