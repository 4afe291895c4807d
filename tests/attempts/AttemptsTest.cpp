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

/// The step after one attempt with that result.
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

TEST_CASE("What follows an attempt", "[attempts]") {
  SECTION("a call that reached no server goes to another one") {
    CHECK(stepAfter(Refused, true) == NextStep::PlaceAgain);
    CHECK(stepAfter(Refused, false) == NextStep::PlaceAgain);
  }
  SECTION("a refusal by a server is an arrival that counts") {
    CHECK(stepAfter(RefusedByServer, false) == NextStep::Retry);
    CHECK(stepAfter(RefusedByServer, false, 1) == NextStep::Fail);
  }
  SECTION("what may have run is repeated only if the route allows it") {
    // Guards against deposits that are taken twice.
    CHECK(stepAfter(Lost, true) == NextStep::Retry);
    CHECK(stepAfter(Lost, false) == NextStep::Fail);
    CHECK(stepAfter(Failed, true) == NextStep::Retry);
    CHECK(stepAfter(Failed, false) == NextStep::ReturnAnswer);
  }
  SECTION("an answer is delivered, also a failure without budget") {
    CHECK(stepAfter(Answered, true) == NextStep::ReturnAnswer);
    CHECK(stepAfter(Failed, true, 1) == NextStep::ReturnAnswer);
    CHECK(stepWithoutBudget(Failed) == NextStep::ReturnAnswer);
    CHECK(stepWithoutBudget(Lost) == NextStep::Fail);
  }
  SECTION("a call whose time is up is not sent again") {
    AttemptResult Late = Refused;
    Late.NotEnoughTime = true;
    CHECK(stepAfter(Late, true) == NextStep::Fail);
  }
}

TEST_CASE("An unsafe request runs at most once", "[attempts]") {
  // Guards against a second run, against "not run" for a request that ran, and
  // against more arrivals than the route allows.
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
