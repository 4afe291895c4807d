#include <catch2/catch.hpp>

#include "core/hosts/ReadLimits.h"

using namespace pollenwick;

TEST_CASE("A lost answer is made good within the time for a change",
          "[hosts]") {
  // Guards against a watch that waits longer than a confirmed change may take.
  const Duration ApplyTime =
      GENERATE(std::chrono::milliseconds(500), std::chrono::milliseconds(2000),
               std::chrono::milliseconds(14000));
  const ReadLimits Limits = readLimitsFor(ApplyTime);
  const Duration UntilNoticed = Limits.WatchWait + Limits.AnswerTimeout;

  SECTION("a fifth of it is left to read the list and pass it on") {
    CHECK(UntilNoticed + ApplyTime / 5 <= ApplyTime);
  }
  SECTION("a reader in order is not taken for one that has stopped") {
    // It may report a read that began before a watch of the full length, and
    // the watch after it may wait as long again.
    CHECK(Limits.MaxConfirmationAge > Limits.WatchWait * 2);
  }
}
