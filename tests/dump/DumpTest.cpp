#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "apps/pollenwick-dump/Format.h"
#include "apps/pollenwick-dump/State.h"

using namespace pollenwick;

namespace {

const std::string StateText = R"({
  "host": "catalogo-1", "zone": "heredia",
  "config": {"revision": 42},
  "view": {"lease_valid": true, "lease_remaining_ms": 3260},
  "callee": {"draining": false, "in_slots": 7, "waiting": 2, "limit": 35},
  "counters": {
    "totals": {"root_answered": 1234},
    "refusals": {"over-rate": 3, "shed": 12},
    "last_refusals": [
      {"when": "2026-12-04T06:00:02.000000Z", "reason": "shed",
       "outcome": "not-run", "tenant": "casa-azul", "route": "catalogo/stock",
       "message": "send again later"},
      {"when": "2026-12-04T06:00:00.000000Z", "reason": "over-rate",
       "outcome": "not-run", "tenant": "el-faro", "route": "cobros/deposit",
       "message": "over the rate"}]}})";

NodeState sampleNode() {
  const auto State = parseState("127.0.0.1:1", StateText);
  REQUIRE(State.ok());
  return *State;
}

std::size_t widest(const std::string &Text) {
  std::size_t Out = 0;
  const std::vector<std::string> Lines = absl::StrSplit(Text, '\n');
  for (const std::string &Line : Lines)
    Out = std::max(Out, Line.size());
  return Out;
}

} // namespace

TEST_CASE("A state dump becomes a table for an operator", "[dump]") {
  SECTION("all fields of the dump are read") {
    // Guards against a renamed or misplaced field of GET /state.
    const NodeState Node = sampleNode();
    CHECK(Node.Host == "catalogo-1");
    CHECK(Node.Revision == 42);
    CHECK(Node.LeaseRemainingMs == 3260);
    CHECK(Node.Limit == 35);
    CHECK(Node.Refusals.at("shed") == 12);
    CHECK(Node.LastRefusals.size() == 2);
  }
  SECTION("an answer without the fields of a state is refused") {
    // Guards against a table of zeros for a port that is no admin port.
    for (const char *Text : {"", "{}", "[]", "ok", R"({"host": 3})"})
      CHECK_FALSE(parseState("127.0.0.1:1", Text).ok());
  }
  SECTION("the table shows each node and the missing ones") {
    Fleet All{{sampleNode()}, {{"127.0.0.1:9", "refused", false}}};
    const std::string Text = formatTable(All);
    CHECK(absl::StrContains(Text, "catalogo-1         heredia"));
    CHECK(absl::StrContains(Text,
                            " 42   3.3s     7     2    35    no      1234"));
    CHECK(absl::StrContains(Text, "  refused: over-rate 3, shed 12\n"));
    CHECK(absl::StrContains(Text, "no state from 127.0.0.1:9: refused\n"));
    All.Nodes[0].LeaseValid = false;
    All.Nodes[0].Limit.reset();
    CHECK(absl::StrContains(formatTable(All), " none     7     2     -"));
  }
  SECTION("no line is wider than the terminal") {
    // Guards against long names, words and large counts that break rows.
    NodeState Node = sampleNode();
    Node.Host = std::string(64, 'h') + "-17";
    Node.Zone = std::string(64, 'z');
    Node.Answered = Node.Waiting = Node.Revision = 18'000'000'000'000'000'000U;
    for (int I = 0; I < 24; ++I)
      Node.Refusals["reason-" + std::to_string(I)] = Node.Answered;
    Node.LastRefusals[0].Message = std::string(300, 'm') + " end";
    Node.LastRefusals[0].Route = std::string(129, 'r');
    const Fleet All{{Node}, {{"127.0.0.1:9", std::string(200, 'e'), true}}};
    CHECK(widest(formatTable(All)) <= MaxColumns);
    CHECK(widest(formatRefusals(Node.LastRefusals, All)) <= MaxColumns);
    CHECK(absl::StrContains(formatTable(All), "hhh-17 "));
  }
}

TEST_CASE("The last refusals say why a call was refused", "[dump]") {
  NodeState Other = sampleNode();
  Other.LastRefusals.resize(1);
  Other.LastRefusals[0].When = "2026-12-04T06:00:01.000000Z";
  Other.LastRefusals[0].Host = "cobros-1";
  const Fleet All{{sampleNode(), Other}, {}};

  SECTION("newest first over all nodes") {
    const auto Rows = selectRefusals(All, {});
    REQUIRE(Rows.size() == 3);
    CHECK(Rows[1].Host == "cobros-1");
    CHECK(absl::StrContains(formatRefusals(Rows, All),
                            "2026-12-04T06:00:00.000000Z over-rate (not-run) "
                            "at catalogo-1\n  tenant el-faro, route "
                            "cobros/deposit\n  over the rate\n"));
  }
  SECTION("filters match whole values, together") {
    CHECK(selectRefusals(All, {"casa-azul", "", ""}).size() == 2);
    CHECK(selectRefusals(All, {"", "cobros/deposit", ""}).size() == 1);
    CHECK(selectRefusals(All, {"", "", "over-rate"}).size() == 1);
    CHECK(selectRefusals(All, {"casa-azul", "", "over-rate"}).empty());
    CHECK(selectRefusals(All, {"casa", "", ""}).empty());
  }
  SECTION("control characters of a caller do not reach the terminal") {
    // A ticket that a caller made up appears in the message of its refusal.
    ShownRefusal Row = All.Nodes[0].LastRefusals[0];
    Row.Message = "tenant \x1b[2J\x07 end";
    const std::string Text = formatRefusals({Row}, All);
    CHECK(absl::StrContains(Text, "tenant ?[2J? end"));
  }
  SECTION("only reasons of nodes are accepted as a filter") {
    CHECK(isReason("over-rate"));
    CHECK(isReason("cancelled"));
    CHECK_FALSE(isReason("none"));
    CHECK_FALSE(isReason("rate"));
  }
}
