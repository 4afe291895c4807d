#include <catch2/catch.hpp>

#include "../../apps/pollenwick-trace/LogTrace.h"

using namespace pollenwick::trace;

namespace {

LogTrace traceOf(const std::string &Request, bool Prefix,
                 const std::vector<std::string> &Lines) {
  LogTrace Trace(Request, Prefix);
  for (const std::string &Line : Lines)
    if (const auto Entry = parseEntry(Line))
      Trace.take(*Entry);
  return Trace;
}

std::string line(int AtUs, const std::string &Event, const std::string &Fields,
                 const std::string &Node = "a") {
  return R"({"at_us":)" + std::to_string(AtUs) + R"(,"event":")" + Event +
         "\"," + Fields + R"(,"node":")" + Node + "\"}";
}

const std::string Refused =
    R"("request":"r-1","status":503,"reason":"overload","service":"x","server":"")";

} // namespace

TEST_CASE("A request is shown with what its node believed then", "[trace]") {
  SECTION("only the latest beliefs, and of services that lack room") {
    const LogTrace Trace = traceOf(
        "r-1", false,
        {"not json", "{\"half\":",
         "12.5 a collector's words " +
             line(1, "rules-in-force", R"("version":4)"),
         line(2, "admission-changed", R"("service":"x","keep_pct":90)"),
         line(3, "admission-changed", R"("service":"x","keep_pct":20)"),
         line(4, "admission-changed", R"("service":"y","keep_pct":100)"),
         line(5, "admission-changed", R"("service":"x","keep_pct":70)", "b"),
         line(6, "request-answered", Refused),
         line(7, "admission-changed", R"("service":"x","keep_pct":99)")});
    REQUIRE(Trace.answers().size() == 1);
    const TracedAnswer &Found = Trace.answers()[0];
    REQUIRE(Found.Beliefs.size() == 2);
    CHECK(Found.Beliefs[0].Event == "rules-in-force");
    CHECK(Found.Beliefs[1].Fields.at("keep_pct") == "20");
    const std::string Text = describe(Found);
    CHECK(Text.starts_with("r-1 on a: 503 overload\n"));
    CHECK(Text.find("0.000 s before: {\"at_us\":1,") != std::string::npos);
  }
  SECTION("which customer was limited on the route") {
    // Guards against a refusal that looks like one of the common share.
    const std::string OnRoute =
        R"("request":"r-1","status":503,"reason":"overload","route":"lookup")";
    const LogTrace Trace = traceOf(
        "r-1", false,
        {line(1, "customer-limited", R"("key":"lookup@0","customer":"c")"),
         line(2, "customer-limited", R"("key":"photo@0","customer":"d")"),
         line(3, "request-answered", OnRoute)});
    REQUIRE(Trace.answers().size() == 1);
    REQUIRE(Trace.answers()[0].Beliefs.size() == 1);
    CHECK(Trace.answers()[0].Beliefs[0].Fields.at("customer") == "c");
  }
  SECTION("how old the rules and servers were, and who had read them") {
    // Guards against a refusal by old rules that looks like one by new rules.
    const LogTrace Trace =
        traceOf("r-1", false,
                {line(1, "records-held", R"("rules_age_ms":200)"),
                 line(2, "records-held",
                      R"("rules_age_ms":5900,"rules_read_by":"10.0.0.1")"),
                 line(3, "request-answered", Refused)});
    REQUIRE(Trace.answers().size() == 1);
    REQUIRE(Trace.answers()[0].Beliefs.size() == 1);
    const LogEntry &Held = Trace.answers()[0].Beliefs[0];
    CHECK(Held.Fields.at("rules_age_ms") == "5900");
    CHECK(Held.Fields.at("rules_read_by") == "10.0.0.1");
  }
  SECTION("a lost peer until it is regained, and nothing from before a start") {
    // Guards against causes that had passed when the request was answered.
    const LogTrace Trace =
        traceOf("r-1", false,
                {line(1, "source-lost", R"("records":"rules")"),
                 line(2, "started", R"("service":"x")"),
                 line(3, "peer-lost", R"("peer":"10.0.0.1")"),
                 line(4, "peer-lost", R"("peer":"10.0.0.2")"),
                 line(5, "peer-regained", R"("peer":"10.0.0.1")"),
                 line(6, "request-answered", Refused)});
    REQUIRE(Trace.answers().size() == 1);
    REQUIRE(Trace.answers()[0].Beliefs.size() == 1);
    CHECK(Trace.answers()[0].Beliefs[0].Fields.at("peer") == "10.0.0.2");
  }
  SECTION("a request whose answer a planned stop cut") {
    // Guards against a request that ends without an answer and without a trace.
    const LogTrace Trace = traceOf(
        "r-1", false,
        {line(1, "drain-started", R"("reason":"")"),
         line(2, "request-unanswered",
              R"("request":"r-1","status":0,"reason":"answer-not-read")")});
    REQUIRE(Trace.answers().size() == 1);
    CHECK(describe(Trace.answers()[0]).starts_with("r-1 on a: 0 answer-not"));
    CHECK(Trace.answers()[0].Beliefs.size() == 1);
  }
  SECTION("nested calls by prefix, on other nodes too") {
    const std::string Nested =
        R"("request":"r-1.77","status":502,"reason":"server-failed","service":"y")";
    const std::vector<std::string> Lines{
        line(6, "request-answered", Refused),
        line(1, "request-answered", Nested, "b"),
        line(2, "request-answered", R"("request":"r-2")", "b")};
    CHECK(traceOf("r-1", false, Lines).answers().size() == 1);
    CHECK(traceOf("r-1", true, Lines).answers().size() == 2);
  }
}
