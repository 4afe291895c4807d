#include <catch2/catch.hpp>

#include "../../apps/pollenwick-trace/Summary.h"

using namespace pollenwick::trace;

namespace {

/// A line of periodic totals as a node writes it.
std::string totals(const std::string &Node, const std::string &Zone,
                   const std::string &Server, int Runs,
                   const std::string &Rows) {
  return R"({"at_us":1,"event":"traffic-totals","zone":")" + Zone +
         R"(","service":"deep","server":")" + Server +
         R"(","runs_since_start":)" + std::to_string(Runs) +
         R"(,"requests":")" + Rows + R"(","node":")" + Node + "\"}";
}

Summary summaryOf(const std::vector<std::string> &Lines) {
  Summary Day;
  for (const std::string &Line : Lines)
    if (const auto Entry = parseEntry(Line))
      Day.take(*Entry);
  return Day;
}

} // namespace

TEST_CASE("A day is summed from the totals of all nodes", "[trace]") {
  const Summary Day =
      summaryOf({totals("a", "z1", "i-1", 100,
                        "lookup|hot|deep|answer|in-target|80|80|160000|0;"
                        "lookup|hot|deep|ingress|overload|300|0|0|0"),
                 totals("a", "z1", "i-1", 250,
                        "lookup|other|deep|answer|late|5|5|50000|0;"
                        "photo|other|deep|server|deadline-passed|3|3|9000|4"),
                 totals("b", "z2", "i-2", 50,
                        "lookup|other|deep|queue|queue-too-long|7|7|7000|0"),
                 "not json", R"({"at_us":1,"event":"started","node":"b"})",
                 totals("b", "z2", "i-3", 30, "")});
  SECTION("by route, customer, zone and service") {
    const OutcomeCounts &Lookup = Day.byRoute().at("lookup");
    CHECK(Lookup.Requests == 392);
    CHECK(Lookup.InTarget == 80);
    CHECK(Lookup.Late == 5);
    CHECK(Lookup.unansweredAt("ingress") == 300);
    CHECK(Lookup.unansweredAt("queue") == 7);
    CHECK(Lookup.meanUntilSentMs() == Approx(217.0 / 92));
    CHECK(Day.byRoute().at("photo").WastedRuns == 4);
    CHECK(Day.byCustomer().at("hot").Requests == 380);
    CHECK(Day.byCustomer().at("other").unansweredAt("server") == 3);
    CHECK(Day.byZone().at("z2").Requests == 7);
    CHECK(Day.byService().at("deep").Requests == 395);
  }
  SECTION("calls by server, across a restart of a node and its server") {
    // Guards against totals since the start that are summed as if each line
    // were an increase, and against calls counted for the wrong server.
    const auto &Runs = Day.runs().at("deep");
    CHECK(Runs.at("i-1") == 250);
    CHECK(Runs.at("i-2") == 50);
    CHECK(Runs.at("i-3") == 30);
  }
  SECTION("as text and as JSON") {
    const std::string Text = describe(Day);
    CHECK(Text.find("queue-too-long") != std::string::npos);
    CHECK(Text.find("2.27") != std::string::npos); // 250 of a mean of 110.
    const std::string Json = toJson(Day);
    CHECK(Json.find("\"reason\": \"overload\"") != std::string::npos);
    CHECK(Json.find("\"unreadable_rows\": 0") != std::string::npos);
  }
}

TEST_CASE("Rows that cannot be read are counted and left out", "[trace]") {
  // Guards against a summary that ends, or counts wrongly, because a collector
  // has cut a line or a node of another version has written it.
  const Summary Day = summaryOf(
      {totals("a", "z", "i", -1,
              "lookup|c|deep|answer|in-target|1|1|1;lookup|c;;"
              "lookup|c|deep|answer|in-target|-1|1|1|0;"
              "lookup|c|deep|answer|in-target|99999999999999999999|1|1|0;"
              "lookup|c|deep|answer|in-target|2|1|1|0")});
  CHECK(Day.unreadableRows() == 5);
  CHECK(Day.byRoute().at("lookup").Requests == 2);
  CHECK(Day.runs().empty());
}
