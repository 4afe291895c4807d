#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>

#include "core/startlimits/StartLimits.h"

using namespace pollenwick;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant Start(seconds(100));

ColdStartLimiter coldLimiter(double StartsPerS) {
  ColdStartLimiter Limiter = coldStartLimiter(Start - seconds(60));
  Limiter.Rule = {seconds(3), StartsPerS};
  reportCold(Limiter, seconds(3), Start);
  return Limiter;
}

/// A call that is of use until `StartMs` after `Start`.
WaitingCall call(std::uint64_t Id, int StartMs) {
  return {Id, Start + milliseconds(StartMs), Start + seconds(10),
          Start + milliseconds(StartMs)};
}

/// Largest number of starts in any second.
std::size_t peakPerSecond(const std::vector<Instant> &Starts) {
  std::size_t Peak = 0;
  for (const Instant Begin : Starts)
    Peak = std::max(Peak, static_cast<std::size_t>(std::ranges::count_if(
                              Starts, [Begin](Instant At) {
                                return At >= Begin && At < Begin + seconds(1);
                              })));
  return Peak;
}

} // namespace

TEST_CASE("A cold server gets no more calls a second than it tolerates",
          "[coldstart]") {
  // Guards against a crash of a server that has just started: it tolerates
  // `cold_per_s` requests a second.
  SECTION("in every sliding second, whatever arrives") {
    const double PerS = GENERATE(0.5, 1.0, 3.0, 3.5, 14.0);
    ColdStartLimiter Limiter = coldLimiter(PerS);
    reportCold(Limiter, seconds(30), Start);
    DispatchQueue Queue;
    Queue.MaxRunning = 1000;
    std::vector<Instant> Starts;
    std::minstd_rand Random(20261206);
    std::uint64_t Id = 0;
    for (Instant Now = Start; Now < Start + seconds(20);
         Now += milliseconds(7)) {
      const auto Arrivals = std::uniform_int_distribution<int>(0, 2)(Random);
      for (int I = 0; I < Arrivals; ++I) {
        const WaitingCall Offered{++Id, Now, Now + seconds(5),
                                  Now + milliseconds(400)};
        if (offerCall(Queue, {Limiter}, Offered, Now) == QueueDecision::Run) {
          recordStart(Limiter, Now);
          Starts.push_back(Now);
        }
      }
      dropLateStarts(Queue, {Limiter}, Now);
      while (dequeueCall(Queue, {Limiter}, Now)) {
        recordStart(Limiter, Now);
        Starts.push_back(Now);
      }
    }
    CHECK(peakPerSecond(Starts) <= std::max(PerS, 1.0));
    // Nearly all of the permitted starts are used.
    const double Permitted = PerS < 1 ? PerS : std::floor(PerS);
    CHECK(static_cast<double>(Starts.size()) >= 19 * Permitted * 0.95);
  }
  SECTION("starts before it became cold count") {
    ColdStartLimiter Limiter = coldLimiter(3);
    reportCold(Limiter, Duration{}, Start);
    for (int I = 0; I < 50; ++I)
      recordStart(Limiter, Start + milliseconds(10 * I));
    CHECK(Limiter.LatestStarts.size() == 3);
    const Instant Now = Start + milliseconds(500);
    reportCold(Limiter, seconds(3), Now);
    CHECK(coldStartsLeft(Limiter, Now) == 0);
    CHECK(startTime(Limiter, 0, Now) == Start + milliseconds(1470));
  }
  SECTION("a call waits for its start, or is refused if that is too late") {
    ColdStartLimiter Limiter = coldLimiter(3);
    DispatchQueue Queue;
    Queue.MaxRunning = 10;
    for (std::uint64_t Id = 1; Id <= 3; ++Id) {
      REQUIRE(offerCall(Queue, {Limiter}, call(Id, 400), Start) ==
              QueueDecision::Run);
      recordStart(Limiter, Start);
    }
    CHECK(startsTooLate({Limiter}, Queue, call(4, 400), Start));
    CHECK(offerCall(Queue, {Limiter}, call(4, 400), Start) ==
          QueueDecision::Refuse);
    CHECK(offerCall(Queue, {Limiter}, call(5, 1000), Start) ==
          QueueDecision::Wait);
    CHECK_FALSE(dequeueCall(Queue, {Limiter}, Start + milliseconds(999)));
    CHECK(dequeueCall(Queue, {Limiter}, Start + seconds(1)));
  }
  SECTION("waiting calls that become late are removed from the queue") {
    ColdStartLimiter Limiter = coldLimiter(3);
    DispatchQueue Queue;
    Queue.MaxRunning = 10;
    for (std::uint64_t Id = 1; Id <= 8; ++Id)
      Queue.Waiting.insert(call(Id, 1500));
    // Three start now and three after a second.
    CHECK(dropLateStarts(Queue, {Limiter}, Start).size() == 2);
    CHECK(Queue.Waiting.size() == 6);
  }
}

TEST_CASE("A node knows when its server is cold", "[coldstart]") {
  SECTION("a node that has just started waits for a second") {
    // Guards against a restarted process that uses the bound a second time:
    // it does not know what its predecessor sent.
    ColdStartLimiter Limiter = coldStartLimiter(Start);
    Limiter.Rule = {seconds(3), 14};
    CHECK(startTime(Limiter, 0, Start) == Start + seconds(1));
    CHECK(coldStartsLeft(Limiter, Start + milliseconds(999)) == 0);
    CHECK(coldStartsLeft(Limiter, Start + seconds(1)) == 14);
    reportCold(Limiter, Duration{}, Start);
    CHECK(startTime(Limiter, 0, Start) == Start);
  }
  SECTION("the newest report takes precedence over an assumption") {
    ColdStartLimiter Limiter = coldLimiter(14);
    reportCold(Limiter, Duration{}, Start);
    CHECK_FALSE(isCold(Limiter, Start));
    assumeCold(Limiter, Start);
    CHECK(isCold(Limiter, Start + milliseconds(2999)));
    CHECK_FALSE(isCold(Limiter, Start + seconds(3)));
    reportCold(Limiter, milliseconds(200), Start + seconds(1));
    CHECK_FALSE(isCold(Limiter, Start + milliseconds(1200)));
  }
  SECTION("a service without a rate has no limit") {
    ColdStartLimiter Limiter = coldLimiter(0);
    for (int I = 0; I < 1000; ++I)
      recordStart(Limiter, Start);
    CHECK(startTime(Limiter, 5, Start) == Start);
    CHECK(Limiter.LatestStarts.empty());
  }
}
