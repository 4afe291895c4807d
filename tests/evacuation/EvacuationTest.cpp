#include <catch2/catch.hpp>

#include <string>

#include "core/evacuation/Evacuation.h"

using namespace pollenwick;

TEST_CASE("Servers of an evacuated zone get no calls", "[evacuation]") {
  Evacuations State;
  const ZoneId A("a");
  const ZoneId B("b");
  const auto Cause = [&](const ZoneId &Node, const ZoneId &Server,
                         bool Known = true) {
    return std::string(serverRefusalCause(State, Node, Server, Known));
  };
  CHECK(setEvacuated(State, A, true));
  CHECK_FALSE(setEvacuated(State, A, true));

  SECTION("until the request is removed") {
    CHECK_FALSE(mayGetCalls(State, A));
    CHECK(mayGetCalls(State, B));
    CHECK(setEvacuated(State, A, false));
    CHECK_FALSE(setEvacuated(State, A, false));
    CHECK(mayGetCalls(State, A));
  }
  SECTION("whether the node or the entry of the server names the zone") {
    // Guards against calls to a server whose entry and node disagree.
    CHECK(Cause(A, B) == ZoneEvacuatedCause);
    CHECK(Cause(B, A) == ZoneEvacuatedCause);
    CHECK(Cause(B, B).empty());
  }
  SECTION("all zones at once are evacuated as well") {
    setEvacuated(State, B, true);
    CHECK(Cause(B, B) == ZoneEvacuatedCause);
  }
  SECTION("a node that has just started refuses calls until it knows") {
    // Guards against a restarted node that runs calls of peers before it has
    // read that its zone is evacuated.
    CHECK(Cause(B, B, false) == NoConfigurationCause);
    CHECK(Cause(A, A, false) == ZoneEvacuatedCause);
  }
}
