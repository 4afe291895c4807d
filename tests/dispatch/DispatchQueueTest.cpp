#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "../Choices.h"
#include "core/dispatch/DispatchQueue.h"

using namespace pollenwick;

namespace {

const Instant Start(std::chrono::seconds(10));

WaitingCall call(std::uint64_t Id, int DueMs, int DeadlineMs,
                 int Precedence = NestedPrecedence + 1) {
  return {Id, Start + std::chrono::milliseconds(DueMs),
          Start + std::chrono::milliseconds(DeadlineMs),
          Start + std::chrono::milliseconds(DeadlineMs), Precedence};
}

DispatchQueue queue(std::uint32_t Limit, int ServiceMs) {
  DispatchQueue Queue;
  Queue.MaxRunning = Limit;
  Queue.MeanServiceTime = std::chrono::milliseconds(ServiceMs);
  return Queue;
}

} // namespace

TEST_CASE("The calls that an important one displaces are found in one pass",
          "[dispatch]") {
  // Guards against a result other than that of asking for each waiting call by
  // itself, which took 160 ms for 5,000 of them.
  const auto DisplacedOneByOne = [](DispatchQueue &Queue,
                                    const WaitingCall &Call) {
    std::vector<std::uint64_t> Ids;
    for (auto Other = Queue.Waiting.begin(); Other != Queue.Waiting.end();) {
      const bool Stays =
          Other->Precedence <= Call.Precedence || !goesBefore(Call, *Other) ||
          Start + expectedWait(Queue, *Other) < Other->LatestStart;
      if (!Stays)
        Ids.push_back(Other->Id);
      Other = Stays ? std::next(Other) : Queue.Waiting.erase(Other);
    }
    return Ids;
  };
  CHECK(rc::check([&] {
    DispatchQueue Queue = queue(3, 40);
    Queue.Running = 3;
    const int Waiting = *rc::gen::inRange(0, 40);
    for (int I = 0; I < Waiting; ++I) {
      WaitingCall Call =
          call(static_cast<std::uint64_t>(I + 1), *rc::gen::inRange(0, 300),
               *rc::gen::inRange(50, 900),
               *rc::gen::inRange(NestedPrecedence, NestedPrecedence + 4));
      Call.Work = std::chrono::milliseconds(*rc::gen::inRange(0, 90));
      Queue.Waiting.insert(Call);
    }
    const WaitingCall Important =
        call(99, *rc::gen::inRange(0, 300), 900,
             *rc::gen::inRange(NestedPrecedence, NestedPrecedence + 4));
    Queue.Waiting.insert(Important);
    DispatchQueue Other = Queue;
    std::vector<std::uint64_t> Ids;
    for (const WaitingCall &Call : displaceCalls(Queue, Important, Start))
      Ids.push_back(Call.Id);
    RC_ASSERT(Ids == DisplacedOneByOne(Other, Important));
    RC_ASSERT(Queue.Waiting.size() == Other.Waiting.size());
  }));
}

TEST_CASE("Calls run while slots are free and then wait in order of due time",
          "[dispatch]") {
  DispatchQueue Queue = queue(1, 10);
  CHECK(offerCall(Queue, call(1, 50, 1000), Start) == QueueDecision::Run);
  CHECK(offerCall(Queue, call(2, 90, 1000), Start) == QueueDecision::Wait);
  CHECK(offerCall(Queue, call(3, 20, 1000), Start) == QueueDecision::Wait);
  CHECK_FALSE(dequeueCall(Queue).has_value());
  releaseSlot(Queue, std::chrono::milliseconds(10));
  CHECK(dequeueCall(Queue)->Id == 3);

  SECTION("a call that is cancelled while it waits never runs") {
    CHECK(cancelWaitingCall(Queue, call(2, 90, 1000)));
    releaseSlot(Queue, std::chrono::milliseconds(10));
    CHECK_FALSE(dequeueCall(Queue).has_value());
  }
  SECTION(
      "a call whose deadline passes while it waits is returned as expired") {
    const auto Expired = dropExpired(Queue, Start + std::chrono::seconds(2));
    REQUIRE(Expired.size() == 1);
    CHECK(Expired[0].Id == 2);
  }
}

TEST_CASE("A queue is bounded while no service time is known", "[dispatch]") {
  // Guards against a burst after a quiet time that waits as a whole, and of
  // which most calls end at their deadlines.
  DispatchQueue Queue = queue(8, 0);
  std::uint64_t Id = 0;
  std::size_t Refused = 0;
  while (++Id <= 1000)
    if (offerCall(Queue, call(Id, 0, 750), Start) == QueueDecision::Refuse)
      ++Refused;
  // 750 ms at 8 calls in 50 ms.
  CHECK(Queue.Waiting.size() <= 120);
  CHECK(Queue.Waiting.size() >= 100);
  CHECK(Refused + Queue.Waiting.size() + Queue.Running == 1000);
}

TEST_CASE("A call that would start too late is refused at once", "[dispatch]") {
  // Guards against calls that wait until their deadline and are then refused.
  DispatchQueue Queue = queue(2, 100);
  for (std::uint64_t Id = 1; Id <= 6; ++Id)
    offerCall(Queue, call(Id, 0, 5000), Start);
  CHECK(expectedWait(Queue, call(7, 0, 200)) == std::chrono::milliseconds(250));
  CHECK(offerCall(Queue, call(7, 0, 200), Start) == QueueDecision::Refuse);
  CHECK(offerCall(Queue, call(8, 0, 400), Start) == QueueDecision::Wait);
}

TEST_CASE("New calls may wait half their latency target, nested calls until "
          "their deadline",
          "[dispatch]") {
  CallRequirements Requirements;
  Requirements.ArrivedAt = Start;
  Requirements.Deadline = Start + std::chrono::seconds(5);
  Requirements.LatencyTarget = std::chrono::milliseconds(600);
  CHECK(latestStart(Requirements) == Start + std::chrono::milliseconds(300));
  const Instant NewDue = dueTime(Requirements);
  Requirements.Nested = true;
  CHECK(latestStart(Requirements) == Requirements.Deadline);
  CHECK(dueTime(Requirements) < NewDue);
  CHECK(precedence(Requirements) == NestedPrecedence);
  Requirements.Nested = false;
  Requirements.Rank = 2;
  const int Second = precedence(Requirements);
  Requirements.Rank = 0;
  CHECK(precedence(Requirements) < Second);
  CHECK(precedence(Requirements) > NestedPrecedence);
}

TEST_CASE("Waiting calls run by the cost of losing them", "[dispatch]") {
  // Guards against a valuable request that waits behind less important ones,
  // and against nested calls that time out behind new requests.
  DispatchQueue Queue = queue(1, 100);
  offerCall(Queue, call(1, 0, 9000), Start);
  offerCall(Queue, call(2, 100, 9000, 3), Start);
  offerCall(Queue, call(3, 400, 9000, 1), Start);
  offerCall(Queue, call(4, 300, 9000, NestedPrecedence), Start);
  offerCall(Queue, call(5, 500, 9000, NestedPrecedence), Start);
  std::vector<std::uint64_t> Order;
  for (int I = 0; I < 4; ++I) {
    releaseSlot(Queue, std::chrono::milliseconds(100));
    Order.push_back(dequeueCall(Queue)->Id);
  }
  // The new request that is due between the nested calls is not held up by the
  // second one.
  CHECK(Order == std::vector<std::uint64_t>{4, 3, 2, 5});
}

TEST_CASE("The expected wait follows from the work of the calls ahead",
          "[dispatch]") {
  // Guards against a long call that counts as much as a short one, and against
  // an important request that is refused for the sake of calls behind it.
  DispatchQueue Queue = queue(2, 100);
  offerCall(Queue, call(1, 0, 9000), Start);
  offerCall(Queue, call(2, 0, 9000), Start);
  WaitingCall Long = call(3, 100, 9000, 3);
  Long.Work = std::chrono::milliseconds(900);
  offerCall(Queue, Long, Start);
  CHECK(expectedWait(Queue, call(4, 0, 9000, 1)) ==
        std::chrono::milliseconds(50));
  CHECK(expectedWait(Queue, call(4, 200, 9000, 3)) ==
        std::chrono::milliseconds(500));
}

TEST_CASE("A more important call displaces requests that start too late for it",
          "[dispatch]") {
  DispatchQueue Queue = queue(1, 100);
  offerCall(Queue, call(1, 0, 9000), Start);
  offerCall(Queue, call(2, 200, 300, 3), Start);
  offerCall(Queue, call(3, 250, 300, 3), Start);
  REQUIRE(Queue.Waiting.size() == 2);

  SECTION("a new request of a higher rank does") {
    const WaitingCall Important = call(4, 500, 9000, 1);
    REQUIRE(offerCall(Queue, Important, Start) == QueueDecision::Wait);
    // The other low one still starts in time.
    const auto Displaced = displaceCalls(Queue, Important, Start);
    REQUIRE(Displaced.size() == 1);
    CHECK(Displaced[0].Id == 3);
    CHECK(Queue.Waiting.size() == 2);
    CHECK(displaceCalls(Queue, Important, Start).empty());
  }
  SECTION("a nested call that is due before does") {
    const WaitingCall Nested = call(4, 100, 9000, NestedPrecedence);
    REQUIRE(offerCall(Queue, Nested, Start) == QueueDecision::Wait);
    CHECK(displaceCalls(Queue, Nested, Start).size() == 1);
  }
  SECTION("a nested call that is due after it does not") {
    // Guards against new requests that starve beside a flow of nested calls.
    const WaitingCall Nested = call(4, 300, 9000, NestedPrecedence);
    REQUIRE(offerCall(Queue, Nested, Start) == QueueDecision::Wait);
    CHECK(displaceCalls(Queue, Nested, Start).empty());
  }
  SECTION("a request of the same rank does not") {
    const WaitingCall Equal = call(4, 100, 9000, 3);
    REQUIRE(offerCall(Queue, Equal, Start) == QueueDecision::Wait);
    CHECK(displaceCalls(Queue, Equal, Start).empty());
  }
  SECTION("a nested call is never displaced") {
    const WaitingCall Nested = call(4, 600, 9000, NestedPrecedence);
    offerCall(Queue, Nested, Start);
    for (std::uint64_t Id = 5; Id < 50; ++Id) {
      const WaitingCall New = call(Id, 100, 90000, 1);
      offerCall(Queue, New, Start);
      for (const WaitingCall &Displaced : displaceCalls(Queue, New, Start))
        CHECK(Displaced.Precedence > NestedPrecedence);
    }
    CHECK(cancelWaitingCall(Queue, Nested));
  }
}

TEST_CASE("The number of running calls never exceeds the limit", "[dispatch]") {
  // Guards against counts that become wrong when calls finish or expire in any
  // order.
  CHECK(rc::check([] {
    Choices Draw = drawChoices(400);
    DispatchQueue Queue = queue(1 + Draw.pick(5), 20);
    Instant Now = Start;
    std::uint64_t Id = 0;
    std::uint32_t Running = 0;
    while (!Draw.done()) {
      Now += std::chrono::milliseconds(Draw.pick(20));
      if (Draw.chance(60)) {
        const int Due = static_cast<int>(Draw.pick(300));
        const WaitingCall New{++Id, Now + std::chrono::milliseconds(Due),
                              Now + std::chrono::milliseconds(Due + 100),
                              Now + std::chrono::milliseconds(Due + 100)};
        Running += offerCall(Queue, New, Now) == QueueDecision::Run ? 1 : 0;
      } else if (Running > 0) {
        releaseSlot(Queue, std::chrono::milliseconds(20));
        --Running;
      }
      dropExpired(Queue, Now);
      while (dequeueCall(Queue))
        ++Running;
      RC_ASSERT(Running == Queue.Running);
      RC_ASSERT(Running <= Queue.MaxRunning);
      RC_ASSERT(Queue.Waiting.empty() || Running == Queue.MaxRunning);
    }
  }));
}

TEST_CASE("The concurrency limit leaves some slots free but is at least one",
          "[dispatch]") {
  CHECK(concurrencyLimit(1) == 1);
  CHECK(concurrencyLimit(25) == 23);
  CHECK(concurrencyLimit(225) < 225);
}

TEST_CASE("Failed calls count in the mean service time", "[dispatch]") {
  // Guards against a mean that includes only long failures. It stayed too high
  // for seconds after servers had rejected calls, and calls were refused
  // without need (seen in bangkal-mesh, scale-1). Placement considers failures
  // by their rate instead.
  DispatchQueue Queue;
  Queue.Running = 200;
  for (int I = 0; I < 100; ++I) {
    releaseSlot(Queue, std::chrono::milliseconds(80));
    releaseSlot(Queue, std::chrono::milliseconds(20));
  }
  CHECK(Queue.Running == 0);
  CHECK(Queue.MeanServiceTime > std::chrono::milliseconds(45));
  CHECK(Queue.MeanServiceTime < std::chrono::milliseconds(55));
}
