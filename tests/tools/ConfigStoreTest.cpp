#include <catch2/catch.hpp>

#include <thread>

#include "../../tools/standin-config/ConfigStore.h"

using namespace pollenwick::tools;
using namespace std::chrono_literals;

TEST_CASE("The stand-in configuration service", "[standin]") {
  ConfigStore Store(5);
  const std::uint64_t First = Store.write("head", "one");

  SECTION("a watch is answered by the next write") {
    std::thread Writer([&] {
      std::this_thread::sleep_for(50ms);
      Store.write("head", "two");
    });
    const auto Found = Store.watch("head", First, 5s);
    Writer.join();
    REQUIRE(Found);
    CHECK(Found->Body == "two");
    CHECK(Found->Version > First);
  }
  SECTION("a stale service serves old values until it recovers") {
    Store.setStale(true);
    Store.write("head", "two");
    CHECK(Store.read("head")->Body == "one");
    CHECK_FALSE(Store.watch("head", First, 10ms));
    Store.setStale(false);
    CHECK(Store.read("head")->Body == "two");
  }
  SECTION("an outage ends a waiting watch") {
    std::thread Stopper([&] {
      std::this_thread::sleep_for(50ms);
      Store.setDown(true);
    });
    const auto Start = ConfigStore::Clock::now();
    CHECK_FALSE(Store.watch("head", First, 10s));
    CHECK(ConfigStore::Clock::now() - Start < 5s);
    Stopper.join();
    CHECK(Store.admit(CallKind::Read, "head") == Admittance::Down);
  }
  SECTION("reads above the limit of a second are refused, writes are not") {
    for (int Number = 0; Number < 5; ++Number)
      CHECK(Store.admit(CallKind::Watch, "head") == Admittance::Accepted);
    CHECK(Store.admit(CallKind::Read, "head") == Admittance::OverRate);
    CHECK(Store.admit(CallKind::Write, "head") == Admittance::Accepted);
    CHECK(Store.counts()["head"].RefusedOverRate == 1);
    CHECK(Store.counts()["head"].Watches == 5);
  }
}
