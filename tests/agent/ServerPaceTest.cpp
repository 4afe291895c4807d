#include <catch2/catch.hpp>

#include "BackendFixture.h"
#include "ScriptedServer.h"

using namespace pollenwick;
using namespace pollenwick::agent;

TEST_CASE("Only a start or a cold entry lowers the limit of a server",
          "[agent]") {
  ScriptedServer FakeServer({});
  BackendFixture Fixture(FakeServer.address());
  ServerEntry &Entry = Fixture.Entry;
  Entry.Slots = 64;
  Entry.StartedAtUnixMs = 1000;
  // The server of the fixture has an entry already.
  Backend Fresh(Fixture.Loop, Fixture.Protocol, Fixture.Log,
                FakeServer.address(), [](const auto &) {});
  Fresh.setServer(&Entry, 100);
  const std::uint32_t Max = concurrencyLimit(Entry.Slots);
  SECTION("a node that starts beside a warm server does not throttle it") {
    CHECK(Fresh.load().MaxRunning == Max);
  }
  SECTION("an entry that was missing for a while is no start") {
    // Guards against a fleet that throttles all servers after an outage of the
    // store.
    Fresh.setServer(nullptr, 100);
    Fresh.setServer(&Entry, 100);
    CHECK(Fresh.load().MaxRunning == Max);
  }
  SECTION("a start is followed by a slow start, without calls for a while") {
    Entry.StartedAtUnixMs = 2000;
    Fresh.setServer(&Entry, 100);
    CHECK(Fresh.load().MaxRunning == Max / 4);
    // Other changes of the entries do not begin it again.
    Fixture.runFor(2200);
    const std::uint32_t Grown = Fresh.load().MaxRunning;
    CHECK(Grown > Max / 4);
    Fresh.setServer(&Entry, 100);
    CHECK(Fresh.load().MaxRunning == Grown);
  }
  SECTION("a server that is cold again begins with a low limit") {
    Entry.ColdRemaining = std::chrono::seconds(3);
    Fresh.setServer(&Entry, 100);
    CHECK(Fresh.load().MaxRunning == Max / 4);
  }
}
