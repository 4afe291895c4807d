#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "BackendFixture.h"
#include "ScriptedServer.h"
#include "agent/HealthClient.h"

using namespace pollenwick;
using namespace pollenwick::agent;
using std::chrono::milliseconds;

namespace {

using Socket = Poco::Net::StreamSocket;
using Server = ScriptedServer;

struct HealthFixture {
  PlatformAdapter Protocol = testProtocol();
  LogWriter Log{"test"};
  Metrics Counters;
  EventLoop Loop;
  std::vector<Duration> Reports;
  HealthClient Client;

  explicit HealthFixture(const std::string &Address)
      : Client(Loop, Protocol, Log, Counters, Address,
               [this](Duration Cold) { Reports.push_back(Cold); }) {
    Protocol.ServerIdHeader = "X-Server-Id";
    Protocol.ColdRemainingHeader = "X-Cold";
    Client.setTarget({"/health", "i-1"});
  }

  void runFor(int Ms) {
    Loop.callAt(Loop.now() + milliseconds(Ms), [&] { Loop.stop(); });
    Loop.run();
    Loop.clearStop();
  }
  bool counted(const std::string &Outcome) const {
    return Counters.render().find("\"" + Outcome + "\"") != std::string::npos;
  }
};

Server::Script answer(const std::string &Status, const std::string &Headers) {
  return [=](Socket &Peer) {
    Server::readRequest(Peer);
    Server::write(Peer, "HTTP/1.1 " + Status + "\r\n" + Headers +
                            "Content-Length: 0\r\n\r\n");
    Server::waitForClose(Peer, 500);
  };
}

} // namespace

TEST_CASE("A health answer tells how long the server stays cold", "[agent]") {
  SECTION("each second") {
    Server FakeServer({answer("200 OK", "X-Server-Id: i-1\r\nX-Cold: 1500\r\n"),
                       answer("503 x", "X-Server-Id: i-1\r\nX-Cold: 400\r\n")});
    HealthFixture Fixture(FakeServer.address());
    Fixture.runFor(400);
    CHECK(Fixture.Reports == std::vector<Duration>{milliseconds(1500)});
    Fixture.runFor(1000);
    CHECK(Fixture.Reports.size() == 2);
    CHECK(Fixture.counted("healthy"));
    CHECK(Fixture.counted("unhealthy"));
  }
  SECTION("a report without a clear meaning is ignored") {
    // Guards against a limit that another server, or a faulty one, lifts or
    // keeps for ever.
    struct Case {
      std::string Headers;
      std::string Outcome;
    };
    const Case Bad = GENERATE(values<Case>(
        {{"X-Server-Id: i-2\r\nX-Cold: 0\r\n", "other-id"},
         {"X-Cold: 0\r\n", "no-id"},
         {"X-Server-Id: i-1\r\nX-Cold: -1\r\n", "bad-cold-time"},
         {"X-Server-Id: i-1\r\nX-Cold: 3600001\r\n", "bad-cold-time"},
         {"X-Server-Id: i-1\r\nX-Cold: 99999999999999999999\r\n",
          "bad-cold-time"},
         {"X-Server-Id: i-1\r\nX-Cold: soon\r\n", "bad-cold-time"},
         {"X-Server-Id: i-1\r\n", "healthy"},
         {"no header\r\n", "unreadable"}}));
    CAPTURE(Bad.Headers);
    Server FakeServer({answer("200 OK", Bad.Headers)});
    HealthFixture Fixture(FakeServer.address());
    Fixture.runFor(300);
    CHECK(Fixture.Reports.empty());
    CHECK(Fixture.counted(Bad.Outcome));
  }
}

TEST_CASE("A health request does not last or repeat without end", "[agent]") {
  SECTION("a silent server is asked again after the timeout") {
    Server FakeServer({[](Socket &Peer) {
                         Server::readRequest(Peer);
                         Server::waitForClose(Peer, 4000);
                       },
                       answer("200 OK", "X-Server-Id: i-1\r\nX-Cold: 0\r\n")});
    HealthFixture Fixture(FakeServer.address());
    Fixture.runFor(1500);
    CHECK(FakeServer.connectionCount() == 1);
    Fixture.runFor(2000);
    CHECK(Fixture.counted("timeout"));
    CHECK(Fixture.Reports.size() == 1);
  }
  SECTION("interim answers without end are cut off") {
    Server FakeServer({[](Socket &Peer) {
      Server::readRequest(Peer);
      for (int I = 0; I < 1000; ++I)
        Server::write(Peer, "HTTP/1.1 102 Processing\r\n\r\n");
    }});
    HealthFixture Fixture(FakeServer.address());
    Fixture.runFor(300);
    CHECK(Fixture.counted("unreadable"));
  }
  SECTION("nothing is asked without a target") {
    // Guards against requests to the servers of an evacuated zone.
    Server FakeServer({answer("200 OK", "X-Server-Id: i-1\r\nX-Cold: 0\r\n"),
                       answer("200 OK", "X-Server-Id: i-1\r\nX-Cold: 0\r\n")});
    HealthFixture Fixture(FakeServer.address());
    Fixture.runFor(200);
    Fixture.Client.setTarget({});
    Fixture.runFor(1200);
    CHECK(FakeServer.connectionCount() == 1);
    Fixture.Client.setTarget({"/health", "i-1"});
    Fixture.runFor(200);
    CHECK(FakeServer.connectionCount() == 2);
  }
}
