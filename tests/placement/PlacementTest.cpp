#include <catch2/catch.hpp>

#include "core/placement/Placement.h"

using namespace pollenwick;

namespace {

Candidate server(std::uint32_t Running, std::uint32_t Waiting, int ServiceMs) {
  Candidate Result;
  Result.Load.Running = Running;
  Result.Load.Waiting = Waiting;
  Result.Load.Limit = 20;
  Result.Load.Service = std::chrono::milliseconds(ServiceMs);
  Result.SameZone = true;
  return Result;
}

std::vector<int> counts(const std::vector<Candidate> &Servers, int Draws) {
  std::minstd_rand Random(3);
  std::vector<int> Result(Servers.size());
  for (int I = 0; I < Draws; ++I)
    ++Result[*choosePlacement(Servers, Random)];
  return Result;
}

} // namespace

TEST_CASE("Calls go where they are answered first", "[placement]") {
  SECTION("to the faster of two idle servers") {
    CHECK(counts({server(0, 0, 30), server(0, 0, 15)}, 100)[1] == 100);
  }
  SECTION("past a queue, even to a slower server") {
    CHECK(counts({server(20, 30, 15), server(5, 0, 30)}, 100)[1] == 100);
  }
  SECTION("calls sent since the last report count") {
    // Guards against all calls of an interval going to one server.
    Candidate Busy = server(0, 0, 15);
    Busy.SentSince = 40;
    CHECK(counts({Busy, server(0, 0, 20)}, 100)[1] == 100);
  }
  SECTION("nowhere without a server") {
    std::minstd_rand Random(3);
    CHECK_FALSE(choosePlacement({}, Random).has_value());
  }
}

TEST_CASE("A server that has reported no speed gets calls", "[placement]") {
  // Guards against a server that joins a fast service and is never tried: an
  // unknown speed once counted as 50 ms beside servers with 15 ms.
  Candidate New = server(0, 0, 0);
  CHECK(counts({server(10, 0, 15), server(10, 0, 15), New}, 100)[2] == 100);
  SECTION("a cold one once the others have a queue") {
    New.ColdRemaining = std::chrono::seconds(1);
    CHECK(counts({server(5, 0, 15), server(5, 0, 15), New}, 100)[2] == 0);
    CHECK(counts({server(20, 8, 15), server(20, 8, 15), New}, 100)[2] == 100);
  }
}

TEST_CASE("Large answers stay in the zone", "[placement]") {
  // Guards against bytes between zones where a near server is nearly as fast.
  Candidate Near = server(0, 0, 60);
  Candidate Far = server(0, 0, 50);
  Far.SameZone = false;
  Near.Kilobytes = Far.Kilobytes = 60;
  CHECK(counts({Near, Far}, 100)[0] == 100);
  SECTION("small ones go to the faster server") {
    Far.Load.Service = std::chrono::milliseconds(20);
    Near.Kilobytes = Far.Kilobytes = 0.5;
    CHECK(counts({Near, Far}, 100)[1] == 100);
  }
}
