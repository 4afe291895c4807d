#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>

#include "ServerModel.h"
#include "core/dispatch/DispatchQueue.h"

using namespace pollenwick;

namespace {

constexpr int Seeds = 10;

/// Sums of the outcomes of all seeds, with the found limit and the fixed one.
struct Comparison {
  ModelOutcome Found;
  ModelOutcome Fixed;
};

void add(ModelOutcome &Sum, const ModelOutcome &One) {
  Sum.InTarget += One.InTarget;
  Sum.Late += One.Late;
  Sum.Refused += One.Refused;
  Sum.Lost += One.Lost;
  Sum.Crashes += One.Crashes;
  Sum.MeanLimit += One.MeanLimit / Seeds;
  Sum.LeastLimit = std::min(Sum.LeastLimit, One.LeastLimit);
  Sum.FinalLimit = std::min(Sum.FinalLimit, One.FinalLimit);
}

Comparison compare(const ModelSetup &Setup) {
  Comparison Result;
  for (ModelOutcome *Sum : {&Result.Found, &Result.Fixed})
    Sum->LeastLimit = Sum->FinalLimit = Setup.Slots;
  for (std::uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
    add(Result.Found, simulateServer(Setup, false, Seed));
    add(Result.Fixed, simulateServer(Setup, true, Seed));
  }
  const auto Print = [](const ModelOutcome &One) {
    std::ostringstream Out;
    Out << "in target " << One.InTarget << ", late " << One.Late << ", refused "
        << One.Refused << ", lost " << One.Lost << ", crashes " << One.Crashes
        << ", mean limit " << One.MeanLimit << ", least " << One.LeastLimit
        << ", final " << One.FinalLimit;
    return Out.str();
  };
  UNSCOPED_INFO("found: " << Print(Result.Found));
  UNSCOPED_INFO("fixed: " << Print(Result.Fixed));
  return Result;
}

} // namespace

TEST_CASE("A warm server keeps all its slots", "[pace]") {
  // Guards against throttling of healthy servers, which costs callers more than
  // the limit gains elsewhere. Usual times learned from the first 20 calls
  // lowered it under full load: these are the shortest of those that began.
  ModelSetup Warm;
  Warm.CallsPerSecond = GENERATE(100, 500, 900);
  Warm.RampUp = std::chrono::seconds(GENERATE(0, 2));
  SECTION("at steady speed") {}
  SECTION("its host slows down and speeds up within a call") {
    Warm.MaxHostSlowdown = 3;
  }
  const Comparison Result = compare(Warm);
  CHECK(Result.Found.LeastLimit == concurrencyLimit(Warm.Slots));
  CHECK(Result.Found.InTarget == Result.Fixed.InTarget);
}

TEST_CASE("A warm server soon has all its slots after a start", "[pace]") {
  // Guards against a slow start that lasts long for a server that is not cold.
  ModelSetup Started;
  Started.StartsWarm = true;
  Started.CallsPerSecond = GENERATE(100, 500, 900);
  Started.Length = std::chrono::seconds(5);
  const Comparison Result = compare(Started);
  // A slow start costs less than half a second of the work.
  CHECK(Result.Found.InTarget > 0.9 * Result.Fixed.InTarget);
  CHECK(Result.Found.FinalLimit == Result.Fixed.FinalLimit);
}

TEST_CASE("A slow host costs a warm server few of its slots", "[pace]") {
  // Guards against a limit that falls with the speed of the host although more
  // calls at once finish more work.
  ModelSetup Warm;
  Warm.CallsPerSecond = 900;
  Warm.MaxHostSlowdown = 3;
  Warm.HostPeriod = std::chrono::seconds(4);
  Warm.ReportsSlowdown = GENERATE(false, true);
  const Comparison Result = compare(Warm);
  CHECK(Result.Found.MeanLimit > 0.96 * Result.Fixed.MeanLimit);
  CHECK(Result.Found.InTarget > 0.97 * Result.Fixed.InTarget);
}

TEST_CASE("A cold server gets as many calls as it can serve", "[pace]") {
  // Guards against a server that gets the load of a warm one right after its
  // start, crashes, and is cold again.
  ModelSetup Cold;
  Cold.StartsCold = true;
  Cold.CallsPerSecond = GENERATE(100, 300, 500);
  const Comparison Result = compare(Cold);
  CHECK(Result.Found.Crashes * 20 < Result.Fixed.Crashes);
  CHECK(Result.Found.InTarget > 4 * Result.Fixed.InTarget);
  CHECK(Result.Found.FinalLimit == concurrencyLimit(Cold.Slots));
}

TEST_CASE("A server that slows down near full load gets fewer calls",
          "[pace]") {
  // Guards against a fixed limit above the point of the highest throughput.
  ModelSetup Knee;
  Knee.RampUp = std::chrono::seconds(2);
  Knee.WarmKnee = GENERATE(0.6, 0.8);
  Knee.CallsPerSecond = GENERATE(500, 900);
  const Comparison Result = compare(Knee);
  CHECK(Result.Found.InTarget > 1.4 * Result.Fixed.InTarget);
}

TEST_CASE("Wrong reports and rejections without load do little harm",
          "[pace]") {
  // Guards against a limit that follows a faulty server's reports down.
  ModelSetup Wrong;
  Wrong.CallsPerSecond = 900;
  SECTION("a slowdown that is far too high") { Wrong.WrongSlowdown = 50; }
  SECTION("a slowdown that is far too low") { Wrong.WrongSlowdown = 0.1; }
  SECTION("a server that always reports that it is full") {
    Wrong.AlwaysReportsFull = true;
  }
  SECTION("a server that rejects calls whatever its load is") {
    Wrong.RejectedShare = 0.3;
  }
  const Comparison Result = compare(Wrong);
  CHECK(Result.Found.InTarget > 0.98 * Result.Fixed.InTarget);
  CHECK(Result.Found.MeanLimit > 0.96 * Result.Fixed.MeanLimit);
}

TEST_CASE("The limit begins at its maximum and returns there", "[pace]") {
  PaceLimit Pace;
  setMaxLimit(Pace, 30);
  CHECK(currentPace(Pace) == 30);
  Instant Now(std::chrono::seconds(1));
  beginSlowStart(Pace, Now);
  CHECK(currentPace(Pace) == 7);
  SECTION("without calls, so that an idle server is tried") {
    for (int I = 0; I < 10 * 20; ++I)
      updateIdlePace(Pace, 0, Now += std::chrono::milliseconds(50));
    CHECK(currentPace(Pace) == 30);
  }
  SECTION("a server with one slot is not limited further") {
    setMaxLimit(Pace, 1);
    beginSlowStart(Pace, Now);
    CHECK(currentPace(Pace) == 1);
  }
}
