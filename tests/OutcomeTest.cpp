#include <catch2/catch.hpp>

#include "pollenwick/Outcome.h"

using namespace pollenwick;

TEST_CASE("Refusals map to the documented HTTP statuses", "[outcome]") {
  // Guards against a change in the order of the enumeration that the table of
  // reasons does not follow.
  CHECK(httpStatus(RefusalReason::UnknownKey) == 401);
  CHECK(httpStatus(RefusalReason::RouteNotAllowed) == 403);
  CHECK(httpStatus(RefusalReason::TicketNeeded) == 428);
  CHECK(httpStatus(RefusalReason::OverRate) == 429);
  CHECK(httpStatus(RefusalReason::Shed) == 503);
  CHECK(httpStatus(RefusalReason::DeadlineExceeded) == 504);
  CHECK(reasonText(RefusalReason::Cancelled) == "cancelled");
  CHECK(outcomeText(Outcome::NotRun) == "not-run");
}
