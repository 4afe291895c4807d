#include <catch2/catch.hpp>

#include "core/hosts/ReadSchedule.h"

using namespace pollenwick;

TEST_CASE("A source is listed first and then followed", "[hosts]") {
  ReadSchedule Schedule;
  CHECK_FALSE(Schedule.ChangesAfter.has_value());
  CHECK_FALSE(onReadSucceeded(Schedule, 7));
  CHECK(Schedule.ChangesAfter == 7);
  CHECK_FALSE(onReadSucceeded(Schedule, 9));
  CHECK(Schedule.ChangesAfter == 9);

  SECTION("an outage is reported once, by the list that ends it") {
    // Guards against servers that are dropped when the source comes back.
    CHECK(onReadFailed(Schedule, ReadFailure::Unavailable) > Duration{});
    CHECK_FALSE(Schedule.ChangesAfter.has_value());
    CHECK(onReadSucceeded(Schedule, 9));
    CHECK_FALSE(onReadSucceeded(Schedule, 10));
  }
  SECTION("pauses grow, and a source that is back is noticed soon") {
    Duration Last{};
    for (int I = 0; I < 40; ++I) {
      const Duration Pause = onReadFailed(Schedule, ReadFailure::Unavailable);
      CHECK(Pause >= Last);
      CHECK(Pause >= std::chrono::milliseconds(100));
      CHECK(Pause <= std::chrono::milliseconds(600));
      Last = Pause;
    }
    CHECK(Last == std::chrono::milliseconds(600));
    onReadSucceeded(Schedule, 11);
    CHECK(onReadFailed(Schedule, ReadFailure::Unavailable) < Last);
  }
  SECTION("history that is gone is no outage; the list is read at once") {
    CHECK(onReadFailed(Schedule, ReadFailure::HistoryGone) == Duration{});
    CHECK_FALSE(onReadSucceeded(Schedule, 12));
  }
  SECTION("a source that forgets faster than it lists is not read in a loop") {
    // Guards against reads without a pause, of which the source's limit counts
    // each one.
    onReadFailed(Schedule, ReadFailure::HistoryGone);
    for (int I = 0; I < 5; ++I) {
      onReadSucceeded(Schedule, 12);
      CHECK(onReadFailed(Schedule, ReadFailure::HistoryGone) > Duration{});
    }
    onReadSucceeded(Schedule, 13);
    onReadSucceeded(Schedule, 14);
    CHECK(onReadFailed(Schedule, ReadFailure::HistoryGone) == Duration{});
  }
}
