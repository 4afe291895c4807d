#include <catch2/catch.hpp>

#include "../Choices.h"
#include "core/attempts/Attempts.h"

using namespace pollenwick;

namespace {

const Instant Start(std::chrono::seconds(1));
constexpr AttemptResult Refused{CallOutcome::NotRun, false, false, false};
constexpr AttemptResult RefusedByServer{CallOutcome::NotRun, true, false,
                                        false};
constexpr AttemptResult Lost{CallOutcome::Unknown, true, false, false};
constexpr AttemptResult Failed{CallOutcome::Complete, true, true, false};
constexpr AttemptResult Answered{CallOutcome::Complete, true, false, false};

/// Returns the step that follows a first attempt with result `Last`.
NextStep stepAfter(const AttemptResult &Last, bool Repeatable,
                   std::uint32_t MaxArrivals = 2) {
  AttemptHistory History;
  History.Placements = 1;
  recordAttempt(History, Last);
  return nextStep(History,
                  {Repeatable, MaxArrivals, Start + std::chrono::seconds(1)},
                  Last, Start);
}

AttemptResult drawResult(Choices &Draw) {
  AttemptResult Result;
  Result.Outcome = static_cast<CallOutcome>(Draw.pick(3));
  Result.ReachedServer =
      Result.Outcome != CallOutcome::NotRun || Draw.chance(50);
  Result.ServerFailed =
      Result.Outcome == CallOutcome::Complete && Draw.chance(50);
  Result.NotEnoughTime =
      Result.Outcome == CallOutcome::NotRun && Draw.chance(10);
  return Result;
}

} // namespace

TEST_CASE("The result of an attempt determines the next step", "[attempts]") {
  SECTION("a call that reached no server is sent to another server") {
    CHECK(stepAfter(Refused, true) == NextStep::PlaceAgain);
    CHECK(stepAfter(Refused, false) == NextStep::PlaceAgain);
  }
  SECTION("a refusal by a server counts as an arrival") {
    CHECK(stepAfter(RefusedByServer, false) == NextStep::Retry);
    CHECK(stepAfter(RefusedByServer, false, 1) == NextStep::Fail);
  }
  SECTION("a call that may have run is repeated only if it is repeatable") {
    // Guards against deposits that are made twice.
    CHECK(stepAfter(Lost, true) == NextStep::Retry);
    CHECK(stepAfter(Lost, false) == NextStep::Fail);
    CHECK(stepAfter(Failed, true) == NextStep::Retry);
    CHECK(stepAfter(Failed, false) == NextStep::ReturnAnswer);
  }
  SECTION("a complete answer is returned, even a failure if no retry is left") {
    CHECK(stepAfter(Answered, true) == NextStep::ReturnAnswer);
    CHECK(stepAfter(Failed, true, 1) == NextStep::ReturnAnswer);
    CHECK(stepWithoutBudget(Failed) == NextStep::ReturnAnswer);
    CHECK(stepWithoutBudget(Lost) == NextStep::Fail);
  }
  SECTION("a call is not sent again if the remaining time is too short") {
    AttemptResult Late = Refused;
    Late.NotEnoughTime = true;
    CHECK(stepAfter(Late, true) == NextStep::Fail);
  }
}

TEST_CASE("A request may be sent elsewhere while a node is silent",
          "[attempts]") {
  // Guards against a deposit that is started again because the node of its
  // server did not report for a while.
  AttemptHistory History;
  History.Placements = 1;
  const Instant Deadline = Start + std::chrono::seconds(1);
  CHECK(mayAttemptBeside(History, {true, 2, Deadline}, Start));
  CHECK_FALSE(mayAttemptBeside(History, {false, 2, Deadline}, Start));
  SECTION("the silent server counts as one that received the request") {
    CHECK_FALSE(mayAttemptBeside(History, {true, 1, Deadline}, Start));
  }
  SECTION("not after the deadline") {
    CHECK_FALSE(mayAttemptBeside(History, {true, 2, Deadline}, Deadline));
  }
}

TEST_CASE("A request that is not repeatable runs at most once", "[attempts]") {
  // Guards against a second run, against reporting "not run" for a request that
  // ran, and against more arrivals at servers than the route allows.
  CHECK(rc::check([] {
    Choices Draw = drawChoices(60);
    const AttemptLimits Limits{Draw.chance(50), 1 + Draw.pick(4),
                               Start + std::chrono::milliseconds(500)};
    AttemptHistory History;
    Instant Now = Start;
    std::uint32_t Runs = 0;
    std::uint32_t Arrivals = 0;
    NextStep Step = NextStep::PlaceAgain;
    while (Step == NextStep::PlaceAgain || Step == NextStep::Retry) {
      const AttemptResult Result = drawResult(Draw);
      ++History.Placements;
      Runs += Result.Outcome == CallOutcome::NotRun ? 0 : 1;
      Arrivals += Result.ReachedServer ? 1 : 0;
      recordAttempt(History, Result);
      Now += std::chrono::milliseconds(Draw.pick(100));
      Step = nextStep(History, Limits, Result, Now);
      if (Step == NextStep::Retry && Draw.chance(30))
        Step = stepWithoutBudget(Result);
    }
    RC_ASSERT(Limits.Repeatable || Runs <= 1);
    RC_ASSERT(canReportNotRun(History) == (Runs == 0));
    RC_ASSERT(Arrivals <= Limits.MaxArrivals);
  }));
}
