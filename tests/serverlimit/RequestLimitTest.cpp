#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

#include "core/startlimits/StartLimits.h"

using namespace pollenwick;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant Start(seconds(100));

Instant at(int Ms) { return Start + milliseconds(Ms); }

ServerNotice named(double PerS) { return {PerS, false, false}; }

/// A server without a cold start whose limit is `PerS`, named at `Start`.
struct LimitedServer {
  ColdStartLimiter Warm;
  RequestLimit Limit;
  DispatchQueue Queue;

  explicit LimitedServer(double PerS) {
    Queue.MaxRunning = 1000;
    applyNotice(Limit, named(PerS), Start, Start);
  }
  StartLimits limits() const { return {Warm, Limit}; }
};

/// A new request that is of use until `LatestStart`.
WaitingCall request(std::uint64_t Id, Instant Now, Instant LatestStart) {
  return {Id, Now, Now + seconds(5), LatestStart, NestedPrecedence + 1};
}

/// Largest number of times in any 4 s, the window of the users' rule.
std::size_t peakIn4s(const std::vector<Instant> &Times) {
  std::size_t Peak = 0;
  for (auto Begin = Times.begin(); Begin != Times.end(); ++Begin)
    Peak = std::max(
        Peak,
        static_cast<std::size_t>(
            std::lower_bound(Begin, Times.end(), *Begin + seconds(4)) - Begin));
  return Peak;
}

} // namespace

TEST_CASE("A server gets no more requests than it takes", "[serverlimit]") {
  // Guards against a server in need that gets 1.5 times its limit and 5 more
  // in some 4 s, and against one that gets clearly less than it takes.
  const double PerS = GENERATE(0.5, 0.9, 2.9, 4.2, 11.1, 60.0, 700.0);
  const auto Seed = GENERATE(1U, 2U, 3U);
  LimitedServer Server(PerS);
  std::minstd_rand Random(Seed);
  std::vector<Instant> Starts;
  std::uint64_t Id = 0;
  const auto Begin = [&](Instant Now) {
    recordRequest(Server.Limit, Now);
    Starts.push_back(Now);
    Server.Queue.Running = 0; // The slots are not what is tested.
  };
  constexpr int Seconds = 30;
  Instant Now = Start;
  // Arrivals come in bunches, with pauses that a burst may make up for.
  while (Now < Start + seconds(Seconds)) {
    const int Bunch = std::uniform_int_distribution<int>(0, 8)(Random);
    for (int I = 0; I < Bunch; ++I) {
      const WaitingCall Call = request(++Id, Now, Now + milliseconds(700));
      if (offerCall(Server.Queue, Server.limits(), Call, Now) ==
          QueueDecision::Run)
        Begin(Now);
    }
    dropLateStarts(Server.Queue, Server.limits(), Now);
    while (dequeueCall(Server.Queue, Server.limits(), Now))
      Begin(Now);
    Now += milliseconds(std::uniform_int_distribution<int>(1, 9)(Random));
  }
  CHECK(static_cast<double>(peakIn4s(Starts)) <= 1.5 * PerS * 4 + 5);
  CHECK(static_cast<double>(Starts.size()) >= 0.9 * PerS * Seconds - 1);
}

TEST_CASE("A limit is in force for as long as the server names it",
          "[serverlimit]") {
  RequestLimit Limit;
  REQUIRE(applyNotice(Limit, named(4), at(0), at(200)));
  CHECK(Limit.RequestsPerS == 4);
  SECTION("another one replaces it") {
    CHECK(applyNotice(Limit, named(7), at(10), at(210)));
    CHECK(Limit.RequestsPerS == 7);
    CHECK_FALSE(applyNotice(Limit, named(7), at(20), at(220)));
  }
  SECTION("an answer without one to a later call ends it") {
    CHECK(applyNotice(Limit, {}, at(200), at(400)));
    CHECK(Limit.RequestsPerS == 0);
  }
  SECTION("an answer without one that was overtaken does not end it") {
    // Guards against a limit that is lifted for a moment, in which all waiting
    // calls start at once.
    CHECK_FALSE(applyNotice(Limit, {}, at(199), at(201)));
    CHECK(Limit.RequestsPerS == 4);
  }
  SECTION("an unreadable one does not end it") {
    CHECK_FALSE(applyNotice(Limit, {{}, true, false}, at(300), at(400)));
    CHECK(Limit.RequestsPerS == 4);
  }
  SECTION("one of zero leaves the answers that will end it") {
    CHECK(applyNotice(Limit, named(0), at(300), at(400)));
    CHECK(Limit.RequestsPerS == 0.5);
    CHECK(applyNotice(Limit, {}, at(2400), at(2500)));
  }
}

TEST_CASE("Calls wait for their turn at a limited server or leave it at once",
          "[serverlimit]") {
  LimitedServer Server(2);
  const auto Offer = [&](std::uint64_t Id, int LatestStartMs) {
    return offerCall(Server.Queue, Server.limits(),
                     request(Id, Start, at(LatestStartMs)), Start);
  };
  SECTION("one that would start in time waits") {
    CHECK(Offer(1, 600) == QueueDecision::Wait);
    CHECK(Offer(2, 1100) == QueueDecision::Wait);
    CHECK_FALSE(dequeueCall(Server.Queue, Server.limits(), at(499)));
    CHECK(dequeueCall(Server.Queue, Server.limits(), at(500))->Id == 1);
  }
  SECTION("one that would start too late is refused, with its cause") {
    CHECK(Offer(1, 400) == QueueDecision::Refuse);
    CHECK(startsTooLate(Server.limits(), Server.Queue,
                        request(1, Start, at(400)), Start));
    CHECK(lateStartCause(Server.limits(), Start) ==
          std::string_view(ServerLimitCause));
  }
  SECTION("those that waited when the limit was named leave it") {
    LimitedServer Late(2);
    for (std::uint64_t Id = 1; Id <= 4; ++Id)
      Late.Queue.Waiting.insert(request(Id, at(int(Id)), at(1100)));
    const auto Left = dropLateStarts(Late.Queue, Late.limits(), Start);
    REQUIRE(Left.size() == 2);
    CHECK(Left[0].Id == 3);
    CHECK(Late.Queue.Waiting.size() == 2);
  }
  SECTION("a lower limit holds at once") {
    applyNotice(Server.Limit, named(0.5), Start, Start);
    CHECK(Offer(1, 600) == QueueDecision::Wait);
    CHECK(Offer(2, 1900) == QueueDecision::Refuse);
  }
  SECTION("the cold start of the server holds as well") {
    Server.Warm.Rule = {seconds(3), 1};
    reportCold(Server.Warm, seconds(3), Start);
    Server.Warm.NoStartsBefore = at(2000);
    CHECK(Offer(1, 1900) == QueueDecision::Refuse);
    CHECK(lateStartCause(Server.limits(), Start) ==
          std::string_view(ServerColdCause));
  }
}

TEST_CASE("A restarted node takes a limit over from its peers",
          "[serverlimit]") {
  // Guards against a limit that is lost when the node beside the server
  // restarts, while the nodes that had heard of it go on to send.
  RequestLimit Limit;
  CHECK_FALSE(applyPeerReport(Limit, 0, at(0)));
  REQUIRE(applyPeerReport(Limit, 4, at(0)));
  CHECK(Limit.RequestsPerS == 4);
  CHECK(requestsLeft(Limit, at(0)) == 0);
  CHECK(requestsLeft(Limit, at(250)) == 1);
  SECTION("the first answer of the server decides") {
    CHECK(applyNotice(Limit, named(9), at(10), at(300)));
    CHECK(Limit.RequestsPerS == 9);
    CHECK_FALSE(applyPeerReport(Limit, 4, at(400)));
  }
  SECTION("a peer that heard of an earlier limit does not bring it back") {
    CHECK(applyNotice(Limit, {}, at(10), at(300)));
    CHECK_FALSE(applyPeerReport(Limit, 4, at(400)));
    CHECK(Limit.RequestsPerS == 0);
    CHECK(requestTime(Limit, 100, at(400)) == at(400));
  }
  SECTION("a rate out of range is bounded") {
    RequestLimit Other;
    applyPeerReport(Other, 1e300, at(0));
    CHECK(Other.RequestsPerS == MaxNamedRequestsPerS);
  }
}
