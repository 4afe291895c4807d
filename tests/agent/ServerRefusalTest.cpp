#include <catch2/catch.hpp>

#include <map>

#include <Poco/Exception.h>
#include <Poco/Thread.h>

#include "BackendFixture.h"
#include "ScriptedServer.h"
#include "agent/StringUtil.h"

using namespace pollenwick;
using namespace pollenwick::agent;
using std::chrono::seconds;

namespace {

using Socket = Poco::Net::StreamSocket;
using Server = ScriptedServer;

/// Answers all requests of one connection.
void answerAll(Socket &Peer) {
  for (std::string Id = Server::readRequest(Peer); !Id.empty();
       Id = Server::readRequest(Peer))
    Server::write(Peer, Server::makeResponse(Id, "ok"));
}

} // namespace

TEST_CASE("The node beside a cold server limits its calls", "[agent]") {
  // Guards against a cold server that crashes, because the nodes of the callers
  // do not know what the others send.
  Server FakeServer({answerAll, answerAll});
  BackendFixture Fixture(FakeServer.address());
  Fixture.Target.coldStart().setRule({seconds(3), 2});
  Fixture.Entry.Revision = 5;
  Fixture.Entry.ColdRemaining = seconds(3);
  Fixture.Entry.StartedAtUnixMs = 17;
  Fixture.Target.setServer(&Fixture.Entry, 100);
  const auto Call = [&](const std::string &Id) {
    CallRequest Request = Fixture.request(Id, 400);
    return Fixture.callAndWait(std::move(Request));
  };

  SECTION("it starts none in the first second of the process") {
    const CallResult Refused = Call("a");
    CHECK(Refused.Outcome == CallOutcome::NotRun);
    CHECK(Refused.Cause == "server-cold");
    CHECK(Refused.Load.Cold);
    CHECK(Refused.Load.ColdStartsLeft == 0);
  }
  SECTION("it refuses what exceeds the rate as not run") {
    Fixture.runFor(1100);
    CHECK(Fixture.Target.load().ColdStartsLeft == 2);
    CHECK(Call("a").Outcome == CallOutcome::Complete);
    CHECK(Call("b").Outcome == CallOutcome::Complete);
    CHECK(Call("c").Cause == "server-cold");
    CHECK(Fixture.callAndWait("d", 1500).Outcome == CallOutcome::Complete);
  }
  SECTION("a newer entry of the same server is applied") {
    Fixture.Entry.Revision = 6;
    Fixture.Entry.ColdRemaining = Duration{};
    Fixture.Target.setServer(&Fixture.Entry, 100);
    CHECK_FALSE(Fixture.Target.load().Cold);
    CHECK(Call("a").Outcome == CallOutcome::Complete);
    Fixture.Entry.Revision = 7;
    Fixture.Entry.ColdRemaining = seconds(3);
    Fixture.Target.setServer(&Fixture.Entry, 100);
    CHECK(Fixture.Target.load().Cold);
  }
  SECTION("the same entry does not make it cold again") {
    Fixture.Target.coldStart().onHealthReport(Duration{}, Fixture.Loop.now());
    Fixture.Target.setServer(&Fixture.Entry, 100);
    CHECK_FALSE(Fixture.Target.load().Cold);
  }
}

TEST_CASE("A server that is unreachable counts as cold", "[agent]") {
  // Guards against full load on a server that has restarted and whose new entry
  // has not arrived.
  BackendFixture Fixture("127.0.0.1:1");
  Fixture.Target.coldStart().setRule({seconds(3), 2});
  Fixture.Target.coldStart().onHealthReport(Duration{}, Fixture.Loop.now());
  CHECK(Fixture.callAndWait("a").Cause == "server-unreachable");
  CHECK(Fixture.Target.load().Cold);
}

TEST_CASE("The server of an evacuated zone gets no calls", "[agent]") {
  Server FakeServer({[](Socket &Peer) {
    const std::string Id = Server::readRequest(Peer);
    // The other call waits meanwhile.
    Poco::Thread::sleep(300);
    Server::write(Peer, Server::makeResponse(Id, "ok"));
    Server::waitForClose(Peer, 1000);
  }});
  BackendFixture Fixture(FakeServer.address());
  Fixture.Entry.Slots = 1;
  Fixture.Target.setServer(&Fixture.Entry, 100);
  std::optional<CallResult> Running;
  std::optional<CallResult> Waiting;
  const auto Submit = [&](const std::string &Id,
                          std::optional<CallResult> &To) {
    Fixture.Target.submit(Fixture.request(Id),
                          [&To](CallResult &&Got) { To = std::move(Got); });
  };
  Submit("a", Running);
  Fixture.runFor(50);
  Submit("b", Waiting);
  Fixture.Target.refuseCalls("zone-evacuated");
  CHECK(Fixture.Target.load().MaxRunning == 0);
  // Only what has not been sent leaves; the running call keeps its slot.
  CHECK(Fixture.Target.load().Waiting == 0);
  CHECK(Fixture.Target.load().Running == 1);
  CHECK(Fixture.Target.pendingCount() == 1);
  SECTION("its waiting calls are placed elsewhere and running ones finish") {
    Fixture.runFor(100);
    REQUIRE(Waiting);
    CHECK(Waiting->Outcome == CallOutcome::NotRun);
    CHECK(Waiting->Cause == "zone-evacuated");
    CHECK_FALSE(Running);
    Fixture.runFor(400);
    REQUIRE(Running);
    CHECK(Running->Outcome == CallOutcome::Complete);
  }
  SECTION("new calls are refused until the zone is taken back, which is cold") {
    Fixture.Target.coldStart().setRule({seconds(3), 2});
    Fixture.Target.coldStart().onHealthReport(Duration{}, Fixture.Loop.now());
    CHECK(Fixture.callAndWait("c").Cause == "zone-evacuated");
    CHECK_FALSE(Fixture.Target.load().Cold);
    Fixture.Target.refuseCalls("");
    CHECK(Fixture.Target.load().Cold);
    CHECK(Fixture.Target.load().MaxRunning == 1);
  }
}

TEST_CASE("Calls that wait for a server leave it when it takes no more",
          "[agent]") {
  // Guards against calls that stay in the queue of a server that ends, reach it
  // after the time in which it may get calls, and are cut off when it exits.
  std::vector<std::string> Received;
  std::string Notice;
  Server FakeServer({[&](Socket &Peer) {
    for (std::string Id = Server::readRequest(Peer); !Id.empty();
         Id = Server::readRequest(Peer)) {
      Received.push_back(Id);
      Poco::Thread::sleep(300);
      Server::write(Peer, concat("HTTP/1.1 200 OK\r\nX-Id: ", Id,
                                 "\r\nX-Stamp: s\r\n", Notice,
                                 "Content-Length: 2\r\n\r\nok"));
    }
  }});
  BackendFixture Fixture(FakeServer.address());
  Fixture.Entry.Slots = 1;
  Fixture.Target.setServer(&Fixture.Entry, 100);
  std::map<std::string, CallResult> Results;
  const auto Submit = [&](const std::string &Id) {
    Fixture.Target.submit(Fixture.request(Id, 4000),
                          [&, Id](CallResult &&Got) { Results[Id] = Got; });
  };
  Submit("running");
  Fixture.runFor(50);
  Submit("waiting-1");
  Submit("waiting-2");
  Fixture.runFor(20);
  REQUIRE(Results.empty());
  std::string Cause;
  int UntilKnownMs = 20;
  SECTION("it drains") {
    Cause = "server-draining";
    Fixture.Entry.State = ServerState::Draining;
    Fixture.Target.setServer(&Fixture.Entry, 100);
  }
  SECTION("its entry is gone") {
    Cause = "server-gone";
    Fixture.Target.setServer(nullptr, 100);
  }
  SECTION("another server has its address") {
    Cause = "server-replaced";
    Fixture.Entry.Id = HostId("i-2");
    Fixture.Target.setServer(&Fixture.Entry, 100);
  }
  SECTION("it says in an answer that it ends") {
    Cause = "server-draining";
    Notice = "X-Leaving: 1\r\n";
    UntilKnownMs = 300;
  }
  Fixture.runFor(UntilKnownMs);
  for (const std::string Id : {"waiting-1", "waiting-2"}) {
    REQUIRE(Results.contains(Id));
    CHECK(Results.at(Id).Outcome == CallOutcome::NotRun);
    CHECK(Results.at(Id).Cause == Cause);
    CHECK_FALSE(Results.at(Id).ReachedServer);
  }
  CHECK(Fixture.Target.load().Waiting == 0);
  Fixture.runFor(400);
  CHECK(Results.at("running").Outcome == CallOutcome::Complete);
  CHECK(Received == std::vector<std::string>{"running"});
  CHECK(Fixture.Target.pendingCount() == 0);
}

TEST_CASE("The node beside a server keeps what the server said", "[agent]") {
  const std::string Limited = "X-Limit: 2\r\n";
  std::string Notice = Limited;
  int Status = 200;
  Server FakeServer({[&](Socket &Peer) {
    for (std::string Id = Server::readRequest(Peer); !Id.empty();
         Id = Server::readRequest(Peer))
      Server::write(Peer, concat("HTTP/1.1 ", Status, " X\r\nX-Id: ", Id,
                                 "\r\nX-Stamp: s\r\n", Notice,
                                 "Content-Length: 0\r\n\r\n"));
  }});
  BackendFixture Fixture(FakeServer.address());
  Fixture.Entry.StartedAtUnixMs = 17;
  Fixture.Target.setServer(&Fixture.Entry, 100);
  REQUIRE(Fixture.callAndWait("a").Load.RequestsPerS == 2);
  SECTION("calls wait for their turn, or are refused as not run") {
    Fixture.callAndWait("b");
    CallRequest Hasty = Fixture.request("c", 2000);
    Hasty.LatencyTarget = std::chrono::milliseconds(200);
    const CallResult Refused = Fixture.callAndWait(std::move(Hasty));
    CHECK(Refused.Outcome == CallOutcome::NotRun);
    CHECK(Refused.Cause == "server-limited");
    CHECK_FALSE(Refused.ReachedServer);
  }
  SECTION("its report says that the server said so, and which run") {
    const ServerLoad Load = Fixture.Target.load();
    CHECK(Load.LimitHeard);
    CHECK(Load.ServerStartedAtUnixMs == 17);
    CHECK_FALSE(Load.ServerLeaving);
  }
  SECTION("while its entry is away") {
    Fixture.Target.setServer(nullptr, 100);
    Fixture.Target.setServer(&Fixture.Entry, 100);
    CHECK(Fixture.Target.load().RequestsPerS == 2);
  }
  SECTION("not beyond its run") {
    Fixture.Entry.StartedAtUnixMs = 18;
    Fixture.Target.setServer(&Fixture.Entry, 100);
    CHECK(Fixture.Target.load().RequestsPerS == 0);
    CHECK_FALSE(Fixture.Target.load().LimitHeard);
    CHECK(Fixture.callAndWait("b").Load.RequestsPerS == 2);
  }
  SECTION("another server that answers at its address says nothing of it") {
    Status = 421;
    Notice = "X-Leaving: 1\r\n";
    CHECK(Fixture.callAndWait("b").Cause == "server-refused-421");
    CHECK(Fixture.Target.load().RequestsPerS == 2);
    CHECK_FALSE(Fixture.Target.load().ServerLeaving);
  }
}

TEST_CASE("A call that was not sent yet does not reach the server any more",
          "[agent]") {
  // Guards against a connection attempt that succeeds seconds after the zone
  // was evacuated, the caller left or the stop began, and then sends its call.
  // The server's listen queue is full, so that further connections wait.
  Poco::Net::ServerSocket Full(Poco::Net::SocketAddress("127.0.0.1", 0), 1);
  std::vector<Poco::Net::StreamSocket> Others(4);
  for (Poco::Net::StreamSocket &Other : Others)
    Other.connectNB(Full.address());
  Poco::Thread::sleep(50);
  BackendFixture Fixture(Full.address().toString());
  std::optional<CallResult> Result;
  CallRequest Request = Fixture.request("a", 4000);
  Request.Retryable = GENERATE(true, false);
  const auto Number = Fixture.Target.submit(
      std::move(Request), [&](CallResult &&Got) { Result = std::move(Got); });
  Fixture.runFor(50);
  REQUIRE_FALSE(Result);
  REQUIRE(Fixture.Target.load().Running == 1);
  SECTION("the zone is evacuated") {
    Fixture.Target.refuseCalls("zone-evacuated");
    REQUIRE(Result);
    CHECK(Result->Outcome == CallOutcome::NotRun);
    CHECK(Result->Cause == "zone-evacuated");
  }
  SECTION("the server drains") {
    Fixture.Entry.State = ServerState::Draining;
    Fixture.Target.setServer(&Fixture.Entry, 100);
    REQUIRE(Result);
    CHECK(Result->Outcome == CallOutcome::NotRun);
  }
  SECTION("the process stops") {
    Fixture.Target.recallAll();
    REQUIRE(Result);
    CHECK(Result->Outcome == CallOutcome::NotRun);
    CHECK(Result->Cause == NodeStoppingCause);
  }
  SECTION("the caller leaves") {
    Fixture.Target.cancel(Number);
    CHECK_FALSE(Result);
  }
  CHECK(Fixture.Target.pendingCount() == 0);
  CHECK(Fixture.Target.load().Running == 0);
  // Once the server takes connections again, none of them brings the call.
  Full.setBlocking(false);
  for (int I = 0; I < 5; ++I) {
    Fixture.runFor(50);
    Poco::Net::StreamSocket Peer;
    if (!Full.poll(Poco::Timespan(0, 1000), Poco::Net::Socket::SELECT_READ))
      break;
    Peer = Full.acceptConnection();
    Peer.setReceiveTimeout(Poco::Timespan(0, 20'000));
    char Byte = 0;
    CHECK_THROWS_AS(Peer.receiveBytes(&Byte, 1), Poco::TimeoutException);
  }
}
