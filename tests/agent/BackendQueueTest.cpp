#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <map>
#include <thread>

#include "BackendFixture.h"
#include "ScriptedServer.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

using Socket = Poco::Net::StreamSocket;
using Server = ScriptedServer;

} // namespace

TEST_CASE("A waiting call is displaced truthfully and never runs", "[agent]") {
  // Guards against a displaced call that runs after its caller was told that it
  // has not, or that stays without an answer.
  std::promise<void> Release;
  std::vector<std::string> Received;
  Server FakeServer({[&](Socket &Peer) {
    for (int I = 0; I < 3; ++I) {
      const std::string Id = Server::readRequest(Peer);
      Received.push_back(Id);
      if (I == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
      if (I == 1)
        Release.get_future().wait();
      Server::write(Peer, Server::makeResponse(Id, "done"));
    }
  }});
  BackendFixture Fixture(FakeServer.address());
  Fixture.Entry.Slots = 1;
  Fixture.Target.setServer(&Fixture.Entry, 100);
  // The first call sets the mean time that a call holds a slot.
  REQUIRE(Fixture.callAndWait("first", 5000).Outcome == CallOutcome::Complete);
  std::map<std::string, CallResult> Results;
  const auto Submit = [&](const std::string &Id, int Rank) {
    CallRequest Request = Fixture.request(Id, 9000);
    Request.Rank = Rank;
    // It may wait for 650 ms, which is one call of 400 ms.
    Request.LatencyTarget = std::chrono::milliseconds(1300);
    Fixture.Target.submit(std::move(Request), [&, Id](CallResult &&Answer) {
      Results[Id] = std::move(Answer);
    });
  };
  Submit("running", 0);
  Submit("low", 3);
  Fixture.runFor(20);
  REQUIRE(Results.empty());
  Submit("high", 0);
  Fixture.runFor(20);
  REQUIRE(Results.size() == 1);
  CHECK(Results.at("low").Outcome == CallOutcome::NotRun);
  CHECK(Results.at("low").Cause == "displaced");
  CHECK_FALSE(Results.at("low").ReachedServer);
  CHECK(Fixture.Target.counts().CallsDisplaced == 1);
  Release.set_value();
  Fixture.runFor(200);
  CHECK(Results.at("running").Outcome == CallOutcome::Complete);
  CHECK(Results.at("high").Outcome == CallOutcome::Complete);
  CHECK(Fixture.Target.pendingCount() == 0);
  CHECK(Received == std::vector<std::string>{"first", "running", "high"});
  CHECK(Fixture.Target.routeWork().Routes.begin()->second.Calls == 3);
}
