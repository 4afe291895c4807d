#include <catch2/catch.hpp>

#include "core/drain/StopPlan.h"

using namespace pollenwick;
using std::chrono::milliseconds;

TEST_CASE("A planned stop ends before it is forced", "[drain]") {
  const Instant Start{std::chrono::seconds(100)};
  SECTION("its steps keep their order for any grace period") {
    // Guards against answers that are sent after the forced exit, and against a
    // short grace period that is spent before a call can be taken.
    const milliseconds Grace = GENERATE(values<milliseconds>(
        {milliseconds(100), milliseconds(1000), milliseconds(4000),
         milliseconds(6000), milliseconds(60000)}));
    const StopPlan Plan = planStop(Start, Grace);
    CHECK(Start < Plan.ListenUntil);
    CHECK(Plan.ListenUntil < Plan.CallDeadline);
    CHECK(Plan.CallDeadline < Plan.AnswerBy);
    CHECK(Plan.AnswerBy < Plan.ExitBy);
    CHECK(Plan.ExitBy < Start + Grace);
    CHECK(Plan.CallDeadline - Start >= Grace * 6 / 10);
  }
  const StopPlan Plan = planStop(Start, std::chrono::seconds(6));
  SECTION("a caller's readiness checks fall into the time of listening") {
    CHECK(Plan.ListenUntil - Start > std::chrono::seconds(2));
  }
  SECTION("the time that is left limits a deadline") {
    // Guards against calls that are passed on with more time than is left.
    CHECK(limitDeadline(std::nullopt, Start + std::chrono::hours(1)) ==
          Start + std::chrono::hours(1));
    CHECK(limitDeadline(Plan, Start + std::chrono::hours(1)) ==
          Plan.CallDeadline);
    CHECK(limitDeadline(Plan, Start + milliseconds(5)) ==
          Start + milliseconds(5));
  }
  SECTION("a call is taken if it can be expected to end") {
    // Guards against refusing what could still end, and against taking what
    // cannot.
    const Instant Late = Plan.CallDeadline - milliseconds(100);
    CHECK(mayEndBeforeStop(Plan, milliseconds(100), Late));
    CHECK_FALSE(mayEndBeforeStop(Plan, milliseconds(101), Late));
    CHECK(mayEndBeforeStop(Plan, Duration{}, Late));
    CHECK_FALSE(mayEndBeforeStop(Plan, Duration{}, Plan.CallDeadline));
  }
}
