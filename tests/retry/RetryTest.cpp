#include <catch2/catch.hpp>

#include "../Choices.h"
#include "core/retry/Retry.h"

using namespace pollenwick;

TEST_CASE("Retries stay within the ratio to first attempts", "[retry]") {
  // Guards against a bucket that gains extra retries from time steps or clock
  // errors.
  CHECK(rc::check([] {
    Choices Draw = drawChoices(300);
    ServiceRetryBudgets Budgets{{5, 1}, {}};
    const ServiceId Service("catalogo");
    const Instant Start(std::chrono::seconds(5));
    Instant Now = Start;
    std::int64_t FirstAttempts = 0;
    std::int64_t Retries = 0;
    while (!Draw.done()) {
      Now += std::chrono::milliseconds(Draw.pick(50));
      if (Draw.chance(60)) {
        recordFirstAttempt(Budgets, Service, 100, Now);
        ++FirstAttempts;
      } else {
        Retries += takeRetry(Budgets, Service, Now) ? 1 : 0;
      }
    }
    const std::int64_t Elapsed = (Now - Start).count() / 1000;
    RC_ASSERT(1000 * Retries <= 5000 + 100 * FirstAttempts + Elapsed);
  }));
}

TEST_CASE("A failed attempt is retried only if a second run is safe",
          "[retry]") {
  RetryAllowance Allowance{2};
  ServiceRetryBudgets Budgets{{3, 0}, {}};
  const Instant Now;
  FailedAttempt Attempt;
  Attempt.Idempotent = true;
  Attempt.RetryCost = 2;
  Attempt.Deadline = Now + Duration(10);
  const auto Decide = [&] {
    return consumeRetry(Allowance, Budgets, Attempt, Now);
  };

  SECTION("a retry consumes its cost from the allowance") {
    CHECK(Decide() == RetryDecision::Retry);
    CHECK(Allowance.RemainingRetries == 0);
    CHECK(Decide() == RetryDecision::AllowanceExhausted);
    SECTION("a retry after an attempt that has not run consumes only budget") {
      Attempt.Result = Outcome::NotRun;
      Attempt.Idempotent = false;
      CHECK(Decide() == RetryDecision::Retry);
      CHECK(Decide() == RetryDecision::Retry);
      CHECK(Decide() == RetryDecision::BudgetExhausted);
    }
  }
  SECTION(
      "no retry after a server crash or the deadline, or if not idempotent") {
    Attempt.ServerCrashed = true;
    CHECK(Decide() == RetryDecision::ServerCrashed);
    Attempt.ServerCrashed = false;
    Attempt.Idempotent = false;
    CHECK(Decide() == RetryDecision::NotIdempotent);
    Attempt.Idempotent = true;
    Attempt.Deadline = Now;
    CHECK(Decide() == RetryDecision::DeadlinePassed);
    CHECK(Allowance.RemainingRetries == 2);
    CHECK(remainingTime(Now, Now + Duration(5)) == Duration::zero());
  }
  SECTION("a sub-call returns at most the retries delegated to it") {
    const std::uint32_t Part = delegateRetries(Allowance);
    CHECK(Part + Allowance.RemainingRetries == 2);
    returnRetries(Allowance, Part, 100);
    CHECK(Allowance.RemainingRetries == 2);
  }
}

TEST_CASE("The outcome is unknown if an attempt before a refusal may have run",
          "[retry]") {
  // Guards against a caller that gets "not run" from the last of several hosts
  // although the first one ran the call and its answer was lost.
  CHECK(overallOutcome(false, Outcome::NotRun) == Outcome::NotRun);
  CHECK(overallOutcome(true, Outcome::NotRun) == Outcome::Unknown);
  CHECK(overallOutcome(true, Outcome::Unknown) == Outcome::Unknown);
  CHECK(overallOutcome(true, Outcome::Done) == Outcome::Done);
}
