#include <catch2/catch.hpp>

#include "core/hosts/ReadSchedule.h"

using namespace pollenwick;

TEST_CASE("A source is read as a full list first and by its changes afterwards",
          "[hosts]") {
  ReadSchedule Schedule;
  CHECK_FALSE(Schedule.ChangesAfter.has_value());
  CHECK_FALSE(onReadSucceeded(Schedule, 7, true).EndsOutage);
  CHECK(Schedule.ChangesAfter == 7);
  CHECK_FALSE(onReadSucceeded(Schedule, 9, true).EndsOutage);
  CHECK(Schedule.ChangesAfter == 9);

  SECTION("the end of an outage is reported once, by the read that ends it") {
    // Guards against dropping servers when the source recovers: without the
    // report, records missing from its list would be removed at once.
    CHECK(onReadFailed(Schedule, ReadFailure::Unavailable) > Duration{});
    CHECK_FALSE(Schedule.ChangesAfter.has_value());
    CHECK(onReadSucceeded(Schedule, 9, true).EndsOutage);
    CHECK_FALSE(onReadSucceeded(Schedule, 10, true).EndsOutage);
  }
  SECTION(
      "the backoff grows but stays short enough to notice a recovery soon") {
    Duration Last{};
    for (int I = 0; I < 40; ++I) {
      const Duration Pause = onReadFailed(Schedule, ReadFailure::Unavailable);
      CHECK(Pause >= Last);
      CHECK(Pause >= std::chrono::milliseconds(100));
      CHECK(Pause <= std::chrono::milliseconds(600));
      Last = Pause;
    }
    CHECK(Last == std::chrono::milliseconds(600));
    onReadSucceeded(Schedule, 11, true);
    CHECK(onReadFailed(Schedule, ReadFailure::Unavailable) < Last);
  }
  SECTION("missing history is not an outage, and the list is read at once") {
    CHECK(onReadFailed(Schedule, ReadFailure::HistoryGone) == Duration{});
    CHECK_FALSE(onReadSucceeded(Schedule, 12, true).EndsOutage);
  }
  SECTION("a source whose history is gone repeatedly is read with a backoff") {
    // Guards against reads without a delay between them, each of which counts
    // toward the request limit of the source.
    onReadFailed(Schedule, ReadFailure::HistoryGone);
    for (int I = 0; I < 5; ++I) {
      onReadSucceeded(Schedule, 12, true);
      CHECK(onReadFailed(Schedule, ReadFailure::HistoryGone) > Duration{});
    }
    onReadSucceeded(Schedule, 13, true);
    onReadSucceeded(Schedule, 14, true);
    CHECK(onReadFailed(Schedule, ReadFailure::HistoryGone) == Duration{});
  }
  SECTION("a source that changes all the time is not read for each change") {
    // Guards against a number of reads that grows with the number of changes
    // times the number of nodes.
    CHECK(onReadSucceeded(Schedule, 11, true).Pause >=
          std::chrono::milliseconds(100));
    CHECK(onReadSucceeded(Schedule, 12, false).Pause == Duration{});
  }
  SECTION("a node that reads again after a break begins with the full list") {
    // Guards against changes of the break that are no longer in the history.
    restartReading(Schedule, false);
    CHECK_FALSE(Schedule.ChangesAfter.has_value());
    CHECK_FALSE(onReadSucceeded(Schedule, 20, true).EndsOutage);
    restartReading(Schedule, true);
    CHECK(onReadSucceeded(Schedule, 21, true).EndsOutage);
  }
  SECTION("a read without an answer is followed by a list at once") {
    // Guards against old records after the end of an outage: the time limit of
    // the read has passed already.
    CHECK(onReadFailed(Schedule, ReadFailure::NoAnswer) == Duration{});
    CHECK_FALSE(Schedule.ChangesAfter.has_value());
    CHECK(onReadFailed(Schedule, ReadFailure::NoAnswer) == Duration{});
    CHECK(onReadSucceeded(Schedule, 9, true).EndsOutage);

    SECTION("unless enough others read") {
      CHECK(onReadFailed(Schedule, ReadFailure::NoAnswer, true) >
            std::chrono::seconds(1));
    }
  }
  SECTION("a patient reader waits longer after a failure") {
    CHECK(onReadFailed(Schedule, ReadFailure::Unavailable, true) >
          std::chrono::seconds(1));
  }
}
