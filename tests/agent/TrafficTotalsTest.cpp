#include <catch2/catch.hpp>

#include <algorithm>

#include "agent/TrafficTotals.h"

using namespace pollenwick;
using namespace pollenwick::agent;

TEST_CASE("Requests are summed by route, customer, service and outcome",
          "[agent]") {
  TrafficTotals Totals;
  CHECK(Totals.takeRows().empty());
  const TrafficKey Answered{"r", "c", "s", "answer", "in-target"};
  Totals.count(Answered, std::chrono::milliseconds(2), 0);
  Totals.count(Answered, std::chrono::milliseconds(3), 0);
  Totals.count({"r", "", "s", "server", "deadline-passed"},
               std::chrono::milliseconds(1), 2);
  Totals.count({"r", "c", "s", "ingress", "overload"}, std::nullopt, 0);
  CHECK(Totals.takeRows() == "r|(none)|s|server|deadline-passed|1|1|1000|2;"
                             "r|c|s|answer|in-target|2|2|5000|0;"
                             "r|c|s|ingress|overload|1|0|0|0");
  CHECK(Totals.takeRows().empty());

  SECTION("names that contain separators leave the rows readable") {
    Totals.count({"a|b", "c;d", "s", "answer", "late"}, std::nullopt, 0);
    CHECK(Totals.takeRows() == "a_b|c_d|s|answer|late|1|0|0|0");
  }
  SECTION("the length of the line is bounded") {
    // Guards against a line that grows with the number of names in use.
    for (int I = 0; I < 5000; ++I)
      Totals.count({"r" + std::to_string(I), "c", "s", "answer", "late"},
                   std::nullopt, 0);
    const std::string Rows = Totals.takeRows();
    CHECK(std::ranges::count(Rows, ';') <= 500);
    CHECK(Rows.find("(other)|(other)|(other)|answer|late|4500|0|0|0") !=
          std::string::npos);
  }
}
