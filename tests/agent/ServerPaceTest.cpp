#include <catch2/catch.hpp>

#include <atomic>

#include "BackendFixture.h"
#include "ScriptedServer.h"
#include "agent/StringUtil.h"

using namespace pollenwick;
using namespace pollenwick::agent;

TEST_CASE("The load that a server reports reaches the other nodes", "[agent]") {
  // Guards against a header that is removed without being read, and against a
  // wrong one that is used.
  std::atomic<const char *> Reported = "1,0,4,100";
  ScriptedServer FakeServer({[&](Poco::Net::StreamSocket &Peer) {
    for (std::string Id = ScriptedServer::readRequest(Peer); !Id.empty();
         Id = ScriptedServer::readRequest(Peer))
      ScriptedServer::write(
          Peer, concat("HTTP/1.1 200 OK\r\nX-Id: ", Id,
                       "\r\nX-Stamp: s\r\nX-Load: ", Reported.load(),
                       "\r\nContent-Length: 0\r\n\r\n"));
  }});
  BackendFixture Fixture(FakeServer.address());
  const auto Call = [&] {
    CHECK(Fixture.callAndWait("c").Headers.find("X-Load") == std::string::npos);
    return Fixture.Target.load().ReportedSlowdown;
  };
  // The slowdown is known after three calls within 250 ms.
  int Calls = 1;
  while (Call() == 0 && Calls < 50)
    ++Calls;
  CHECK(Calls < 50);
  const auto &Ignored = Fixture.Target.pace().ignoredReports();
  CHECK(Ignored.Unreadable == 0);
  Reported = "1,0,4,";
  Call();
  CHECK(Ignored.Unreadable == 1);
}

TEST_CASE("Reports are used only if they can be true", "[agent]") {
  LogWriter Log("test");
  ServerPace Pace(Log);
  Instant Now(std::chrono::seconds(1));
  const auto Report = [&](const std::string &Text, int Times) {
    CallResult Result;
    Result.ReachedServer = true;
    Result.Outcome = CallOutcome::Complete;
    Result.Status = 200;
    Result.Report = parseServerReport(Text);
    for (int I = 0; I < Times; ++I)
      Pace.onCallEnded({}, Result, std::chrono::milliseconds(20), 2,
                       Now += std::chrono::milliseconds(10));
    return Pace.slowdownOfMean(Now);
  };
  CHECK(Report("2,0,4,100", 20) == Approx(1));
  CHECK(Report("2,0,4,200", 1) == Approx(1).margin(0.1));
  CHECK(Report("2,0,4,200", 2) > 1.5);
  // Neither report counts; the five used ones are still there.
  CHECK(Report("2,0,4,-100", 2) > 1.5);
  CHECK(Report("2,9,4,100", 2) > 1.5);
  CHECK(Pace.ignoredReports().Unreadable == 2);
  CHECK(Pace.ignoredReports().Contradictory == 2);
}

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
    Fixture.runFor(1200);
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
