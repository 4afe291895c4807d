#include <catch2/catch.hpp>

#include "core/placement/FailureRate.h"
#include "core/placement/Placement.h"

using namespace pollenwick;

namespace {

PlacementCandidate server(std::uint32_t Running, std::uint32_t Waiting,
                          int ServiceMs) {
  PlacementCandidate Result;
  Result.Load.Running = Running;
  Result.Load.Waiting = Waiting;
  Result.Load.MaxRunning = 20;
  Result.Load.MeanServiceTime = std::chrono::milliseconds(ServiceMs);
  Result.SameZone = true;
  return Result;
}

std::vector<int> counts(const std::vector<PlacementCandidate> &Servers,
                        int Draws) {
  std::minstd_rand Random(3);
  std::vector<int> Result(Servers.size());
  for (int I = 0; I < Draws; ++I)
    ++Result[*chooseServer(Servers, Random)];
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
    PlacementCandidate Busy = server(0, 0, 15);
    Busy.SentSince = 40;
    CHECK(counts({Busy, server(0, 0, 20)}, 100)[1] == 100);
  }
  SECTION("nowhere without a server") {
    std::minstd_rand Random(3);
    CHECK_FALSE(chooseServer({}, Random).has_value());
  }
}

TEST_CASE("A server that has reported no speed gets calls", "[placement]") {
  // Guards against a server that joins a fast service and is never tried: an
  // unknown speed once counted as 50 ms beside servers with 15 ms.
  PlacementCandidate New = server(0, 0, 0);
  CHECK(counts({server(10, 0, 15), server(10, 0, 15), New}, 100)[2] == 100);
  SECTION("a cold one once the others have a queue") {
    New.ColdRemaining = std::chrono::seconds(1);
    CHECK(counts({server(5, 0, 15), server(5, 0, 15), New}, 100)[2] == 0);
    CHECK(counts({server(20, 8, 15), server(20, 8, 15), New}, 100)[2] == 100);
  }
}

TEST_CASE("Large answers stay in the zone", "[placement]") {
  // Guards against bytes between zones where a near server is nearly as fast.
  PlacementCandidate Near = server(0, 0, 60);
  PlacementCandidate Far = server(0, 0, 50);
  Far.SameZone = false;
  Near.Kilobytes = Far.Kilobytes = 60;
  CHECK(counts({Near, Far}, 100)[0] == 100);
  SECTION("small ones go to the faster server") {
    Far.Load.MeanServiceTime = std::chrono::milliseconds(20);
    Near.Kilobytes = Far.Kilobytes = 0.5;
    CHECK(counts({Near, Far}, 100)[1] == 100);
  }
}

TEST_CASE("A server whose node leaves is a last resort", "[placement]") {
  PlacementCandidate Leaving = server(0, 0, 15);
  Leaving.Load.Leaving = true;
  const PlacementCandidate Busy = server(20, 30, 200);
  // Guards against calls for a node that is about to end.
  CHECK(counts({Leaving, Busy}, 50)[0] == 0);
  // Guards against requests that fail although their server is there: nodes may
  // all be restarted in turn (bangkal-mesh, node-variants).
  CHECK(counts({Leaving, Leaving}, 50)[0] > 0);
}

TEST_CASE("A server that fails calls gets fewer of them", "[placement]") {
  PlacementCandidate Faulty = server(0, 0, 50);
  Faulty.Load.FailureRate = 0.4;
  SECTION("calls go to a sound one, even if that is busy") {
    // Guards against servers that lose a part of the answers and keep their
    // share of the calls: a request with five calls there hardly ever ends
    // well.
    CHECK(counts({Faulty, server(18, 0, 50)}, 100)[1] == 100);
  }
  SECTION("not past a long queue") {
    CHECK(counts({Faulty, server(20, 200, 50)}, 100)[0] == 100);
  }
  SECTION("what all servers share is no server's fault") {
    // Guards against a service that is avoided because of failures below it.
    PlacementCandidate Other = server(0, 0, 60);
    Other.Load.FailureRate = 0.4;
    CHECK(counts({Faulty, Other}, 100)[0] > 90);
    // Nor a difference that chance makes: calls would swing between servers.
    Other.Load.FailureRate = 0.32;
    CHECK(counts({Faulty, Other}, 100)[0] > 90);
  }
}

TEST_CASE("A share of failures fades", "[placement]") {
  // Guards against a server that is avoided for good, and against one that is
  // avoided after a single failure.
  FailureRate Share;
  Instant Now(std::chrono::seconds(1));
  recordCallResult(Share, true, Now);
  CHECK(failureRate(Share, Now) <= 0.2);
  for (int I = 0; I < 200; ++I) {
    Now += std::chrono::milliseconds(10);
    recordCallResult(Share, I % 5 < 2, Now);
  }
  CHECK(failureRate(Share, Now) == Approx(0.4).margin(0.04));
  CHECK(failureRate(Share, Now + std::chrono::seconds(10)) < 0.03);
}

TEST_CASE("A share of failures fades as fast under a high rate",
          "[placement]") {
  // Guards against a server that is avoided for many seconds after its faults
  // have ended, because it failed many calls a second before (bangkal-mesh
  // scale-1).
  FailureRate Share;
  Instant Now(std::chrono::seconds(1));
  for (int I = 0; I < 2000; ++I) {
    Now += std::chrono::milliseconds(2);
    recordCallResult(Share, true, Now);
  }
  CHECK(failureRate(Share, Now) > 0.95);
  CHECK(failureRate(Share, Now + std::chrono::seconds(3)) < 0.2);
}
