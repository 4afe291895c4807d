#include <catch2/catch.hpp>

#include <future>
#include <map>
#include <optional>

#include "../support/SocketTimers.h"
#include "BackendFixture.h"
#include "ScriptedServer.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

using Socket = Poco::Net::StreamSocket;
using Server = ScriptedServer;

} // namespace

TEST_CASE("A caller gets the complete answer to its own call", "[agent]") {
  SECTION("two calls use the same persistent connection") {
    Server FakeServer({[](Socket &Peer) {
      for (int I = 0; I < 2; ++I) {
        const std::string Id = Server::readRequest(Peer);
        Server::write(Peer, Server::makeResponse(Id, "body of " + Id));
      }
    }});
    BackendFixture Fixture(FakeServer.address());
    CHECK(Fixture.callAndWait("a").Body == "body of a");
    CHECK(Fixture.callAndWait("b").Body == "body of b");
    CHECK(FakeServer.connectionCount() == 1);
  }
  SECTION("an extra answer to an earlier call is ignored") {
    // Guards against answers that are delivered to the wrong request. Without
    // the check of the echoed request id, 41 and 189 answers were misdelivered
    // in pass-throughs.
    Server FakeServer({[](Socket &Peer) {
      const std::string Id = Server::readRequest(Peer);
      Server::write(Peer, Server::makeResponse("earlier", "not yours"));
      Server::write(Peer, Server::makeResponse(Id, "yours"));
    }});
    BackendFixture Fixture(FakeServer.address());
    const CallResult Answer = Fixture.callAndWait("a");
    CHECK(Answer.Outcome == CallOutcome::Complete);
    CHECK(Answer.Body == "yours");
  }
  SECTION("unexpected bytes after an answer close the connection") {
    Server FakeServer(
        {[](Socket &Peer) {
           const std::string Id = Server::readRequest(Peer);
           Server::write(Peer, Server::makeResponse(Id, "first") +
                                   Server::makeResponse(Id, "extra"));
           Server::waitForClose(Peer, 1000);
         },
         [](Socket &Peer) {
           const std::string Id = Server::readRequest(Peer);
           Server::write(Peer, Server::makeResponse(Id, "second"));
         }});
    BackendFixture Fixture(FakeServer.address());
    CHECK(Fixture.callAndWait("a").Body == "first");
    CHECK(Fixture.callAndWait("b").Body == "second");
    CHECK(FakeServer.connectionCount() == 2);
  }
}

TEST_CASE("An incomplete or invalid answer is not forwarded as complete",
          "[agent]") {
  SECTION("an answer is truncated in its body") {
    Server FakeServer({[](Socket &Peer) {
      const std::string Id = Server::readRequest(Peer);
      std::string Text = Server::makeResponse(Id, "0123456789");
      Text.resize(Text.size() - 4);
      Server::write(Peer, Text);
    }});
    BackendFixture Fixture(FakeServer.address());
    const CallResult Answer = Fixture.callAndWait("a");
    CHECK(Answer.Outcome == CallOutcome::Unknown);
    CHECK(Answer.Cause == "server-connection-lost");
  }
  SECTION("the server sends bytes that are not HTTP") {
    Server FakeServer({[](Socket &Peer) {
      Server::readRequest(Peer);
      Server::write(Peer, "\x01\x02 garbage\r\n\r\n");
    }});
    BackendFixture Fixture(FakeServer.address());
    CHECK(Fixture.callAndWait("a").Outcome == CallOutcome::Unknown);
  }
  SECTION("a successful answer lacks the server stamp header") {
    Server FakeServer({[](Socket &Peer) {
      const std::string Id = Server::readRequest(Peer);
      Server::write(Peer, "HTTP/1.1 200 OK\r\nX-Id: " + Id +
                              "\r\nContent-Length: 0\r\n\r\n");
    }});
    BackendFixture Fixture(FakeServer.address());
    CHECK(Fixture.callAndWait("a").Outcome == CallOutcome::Unknown);
  }
  SECTION("an answer without a length is complete when its connection closes") {
    Server FakeServer({[](Socket &Peer) {
      const std::string Id = Server::readRequest(Peer);
      Server::write(Peer, "HTTP/1.1 200 OK\r\nX-Id: " + Id +
                              "\r\nX-Stamp: s\r\n\r\nunframed");
    }});
    BackendFixture Fixture(FakeServer.address());
    const CallResult Answer = Fixture.callAndWait("a");
    CHECK(Answer.Outcome == CallOutcome::Complete);
    CHECK(Answer.Body == "unframed");
  }
}

TEST_CASE("A planned stop ends waiting and running calls truthfully",
          "[agent]") {
  // Guards against a call that begins after its caller was told that it has not
  // run, and against a running one that is reported as not run.
  std::promise<void> Release;
  Server FakeServer({[&](Socket &Peer) {
    const std::string Id = Server::readRequest(Peer);
    Release.get_future().wait();
    Server::write(Peer, Server::makeResponse(Id, "late"));
  }});
  BackendFixture Fixture(FakeServer.address());
  Fixture.Entry.Slots = 1;
  Fixture.Target.setServer(&Fixture.Entry, 100);
  std::map<std::string, CallResult> Results;
  const auto Submit = [&](const std::string &Id) {
    return Fixture.Target.submit(
        Fixture.request(Id, 5000),
        [&, Id](CallResult &&Answer) { Results[Id] = std::move(Answer); });
  };
  const Backend::CallNumber Running = Submit("running");
  const Backend::CallNumber Waiting = Submit("waiting");
  Submit("waiting, too");
  Fixture.runFor(20);
  REQUIRE(Results.empty());

  SECTION("a recalled call does not run, a running one goes on") {
    Fixture.Target.recall(Running);
    Fixture.Target.recall(Waiting);
    Fixture.runFor(20);
    REQUIRE(Results.size() == 1);
    CHECK(Results.at("waiting").Outcome == CallOutcome::NotRun);
    CHECK_FALSE(Results.at("waiting").ReachedServer);
  }
  SECTION("at the end of the stop") {
    Fixture.Target.recallAll();
    Fixture.Target.giveUpRunning();
    Fixture.runFor(20);
    REQUIRE(Results.size() == 3);
    CHECK(Results.at("waiting").Outcome == CallOutcome::NotRun);
    CHECK(Results.at("waiting, too").Outcome == CallOutcome::NotRun);
    CHECK(Results.at("running").Outcome == CallOutcome::Unknown);
    CHECK(Results.at("running").ReachedServer);
  }
  Release.set_value();
  Fixture.runFor(50);
  CHECK(FakeServer.connectionCount() == 1);
}

TEST_CASE("A call is reported as not run only if it did not run", "[agent]") {
  SECTION("no server listens, so nothing is sent") {
    std::string Address;
    {
      Server ClosedServer({});
      Address = ClosedServer.address();
    }
    BackendFixture Fixture(Address);
    const CallResult Answer = Fixture.callAndWait("a");
    CHECK(Answer.Outcome == CallOutcome::NotRun);
    CHECK_FALSE(Answer.ReachedServer);
  }
  SECTION("the server reports that it did not run the call") {
    Server FakeServer({[](Socket &Peer) {
      const std::string Id = Server::readRequest(Peer);
      Server::write(Peer, "HTTP/1.1 503 Busy\r\nX-Id: " + Id +
                              "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    }});
    BackendFixture Fixture(FakeServer.address());
    const CallResult Answer = Fixture.callAndWait("a");
    CHECK(Answer.Outcome == CallOutcome::NotRun);
    CHECK(Answer.ReachedServer);
  }
  SECTION(
      "a server that closes the connection after the request may have run it") {
    Server FakeServer({[](Socket &Peer) { Server::readRequest(Peer); }});
    BackendFixture Fixture(FakeServer.address());
    CHECK(Fixture.callAndWait("a").Outcome == CallOutcome::Unknown);
  }
  SECTION("a draining server gets no further calls") {
    Server FakeServer({});
    BackendFixture Fixture(FakeServer.address());
    Fixture.Entry.State = ServerState::Draining;
    Fixture.Target.setServer(&Fixture.Entry, 100);
    const CallResult Answer = Fixture.callAndWait("a");
    CHECK(Answer.Outcome == CallOutcome::NotRun);
    CHECK(Answer.Cause == "server-draining");
    CHECK(FakeServer.connectionCount() == 0);
  }
  SECTION("a server whose entry was removed gets no further calls") {
    // Guards against calls that reach a departed server through nodes that have
    // not heard of its departure.
    Server FakeServer({[](Socket &Peer) {
      const std::string Id = Server::readRequest(Peer);
      Server::write(Peer, Server::makeResponse(Id, "back"));
    }});
    BackendFixture Fixture(FakeServer.address());
    Fixture.Target.setServer(nullptr, 100);
    const CallResult Answer = Fixture.callAndWait("a");
    CHECK(Answer.Outcome == CallOutcome::NotRun);
    CHECK(Answer.Cause == "server-gone");
    CHECK(FakeServer.connectionCount() == 0);
    // It may register again under its id.
    Fixture.Target.setServer(&Fixture.Entry, 100);
    CHECK(Fixture.callAndWait("b").Body == "back");
  }
}

TEST_CASE("A draining node runs only calls that end before its drain deadline",
          "[agent]") {
  // Guards against a healthy server that gets no calls while its node drains,
  // and against calls that are aborted when the process exits.
  Server FakeServer({[](Socket &Peer) {
    Server::write(Peer,
                  Server::makeResponse(Server::readRequest(Peer), "done"));
  }});
  BackendFixture Fixture(FakeServer.address());
  Fixture.Target.drainUntil(Fixture.Loop.now() +
                            std::chrono::milliseconds(1500));
  CHECK(Fixture.callAndWait("long", 3000).Cause == "node-leaving");
  CHECK(Fixture.callAndWait("short", 1000).Outcome == CallOutcome::Complete);
  CHECK(Fixture.Target.load().MaxRunning > 0);
  Fixture.Target.drainUntil(Fixture.Loop.now());
  CHECK(Fixture.Target.load().MaxRunning == 0);
  CHECK(Fixture.callAndWait("late", 1000).Outcome == CallOutcome::NotRun);
}

TEST_CASE("Cancelling a retryable call closes its connection to the server",
          "[agent]") {
  // Guards against a server that keeps working for a caller that has
  // disconnected.
  std::promise<bool> Closed;
  Server FakeServer({[&](Socket &Peer) {
    Server::readRequest(Peer);
    Closed.set_value(Server::waitForClose(Peer, 500));
  }});
  BackendFixture Fixture(FakeServer.address());
  const auto Number = Fixture.Target.submit(
      Fixture.request("a"), [](CallResult &&) { FAIL("answered"); });
  Fixture.runFor(100);
  Fixture.Target.cancel(Number);
  Fixture.runFor(50);
  CHECK(Closed.get_future().get());
}

TEST_CASE(
    "A server crash reports the fingerprints of the calls that were running",
    "[agent]") {
  // Guards against a request that crashes one server after another. The fleet
  // quarantines requests by the reported fingerprints.
  std::optional<Server> FakeServer(
      std::in_place, std::vector<Server::Script>{
                         [](Socket &Peer) { Server::readRequest(Peer); }});
  BackendFixture Fixture(FakeServer->address());
  CHECK(Fixture.callAndWait("a").Outcome == CallOutcome::Unknown);
  // A lost connection alone does not indicate a crash, because the server may
  // have closed it.
  CHECK(Fixture.CrashFingerprints.empty());
  FakeServer.reset();
  CHECK(Fixture.callAndWait("b").Outcome == CallOutcome::NotRun);
  CHECK(Fixture.CrashFingerprints == std::vector<std::uint64_t>{7});
}

TEST_CASE("A crash is counted without further calls", "[agent]") {
  // Guards against a request that crashes one server after another on a service
  // that gets few other calls.
  std::optional<Server> FakeServer(
      std::in_place, std::vector<Server::Script>{
                         [](Socket &Peer) { Server::readRequest(Peer); }});
  BackendFixture Fixture(FakeServer->address());
  CHECK(Fixture.callAndWait("a").Outcome == CallOutcome::Unknown);
  SECTION("its port refuses connections") {
    FakeServer.reset();
    Fixture.runFor(600);
    CHECK(Fixture.CrashFingerprints == std::vector<std::uint64_t>{7});
    CHECK_FALSE(Fixture.Target.reachable());
  }
  SECTION("a new run of it is known before that") {
    Fixture.Entry.StartedAtUnixMs = 2;
    Fixture.Target.setServer(&Fixture.Entry, 100);
    CHECK(Fixture.CrashFingerprints == std::vector<std::uint64_t>{7});
    FakeServer.reset();
    Fixture.runFor(600);
    CHECK(Fixture.CrashFingerprints.size() == 1);
  }
  SECTION("not while it accepts connections") {
    Fixture.runFor(600);
    CHECK(Fixture.CrashFingerprints.empty());
  }
}

TEST_CASE("The end of a server that was to end is no crash", "[agent]") {
  // Guards against a quarantine of requests that run when servers are replaced.
  std::optional<Server> FakeServer(
      std::in_place, std::vector<Server::Script>{[](Socket &Peer) {
        Server::readRequest(Peer);
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
      }});
  BackendFixture Fixture(FakeServer->address());
  std::optional<CallResult> Result;
  Fixture.Target.submit(Fixture.request("a"),
                        [&](CallResult &&Got) { Result = std::move(Got); });
  Fixture.runFor(50);
  Fixture.Entry.State = ServerState::Draining;
  Fixture.Target.setServer(&Fixture.Entry, 100);
  Fixture.runFor(250);
  REQUIRE(Result);
  CHECK(Result->Outcome == CallOutcome::Unknown);
  FakeServer.reset();
  Fixture.runFor(600);
  CHECK(Fixture.CrashFingerprints.empty());
}

TEST_CASE("Keepalive probes watch an idle connection to the server",
          "[agent]") {
  // Guards against a call that is sent on a dead idle connection and stays
  // unanswered until its deadline.
  std::promise<std::uint16_t> Port;
  std::promise<void> Checked;
  Server FakeServer({[&](Socket &Peer) {
    const std::string Id = Server::readRequest(Peer);
    Server::write(Peer, Server::makeResponse(Id, "whole"));
    Port.set_value(Peer.peerAddress().port());
    Checked.get_future().wait();
  }});
  BackendFixture Fixture(FakeServer.address());
  CHECK(Fixture.callAndWait("id-1").Outcome == CallOutcome::Complete);
  CHECK(becomesProbed(Port.get_future().get()));
  Checked.set_value();
}

TEST_CASE(
    "A call to a server that does not answer ends shortly after its deadline",
    "[agent]") {
  Server FakeServer({[](Socket &Peer) {
    Server::readRequest(Peer);
    Server::waitForClose(Peer, 1500);
  }});
  BackendFixture Fixture(FakeServer.address());
  const CallResult Answer = Fixture.callAndWait("a", 200);
  CHECK(Answer.Outcome == CallOutcome::Unknown);
  CHECK(Answer.Cause == "server-silent");
}
