#include <catch2/catch.hpp>

#include <random>

#include "platform/PlatformAdapter.h"

using namespace pollenwick;
using namespace pollenwick::platform;

namespace {

const char *const ConfigurationJson = R"({"version":"0000000c",
 "routes":{"columns":["name","host","path_prefix","kind","timeout_ms",
   "target_latency_ms","priority","weighted_clusters","max_attempts","public",
   "service"],
  "rows":[["r-1","a.example","/x/","safe",1200,1500,2,
    [{"service":"one","weight":90},{"service":"two","weight":10}],2,false,null],
   ["r-2","a.example","/y/","upload",null,null,0,null,2,true,"two"],
   ["r-3","a.example","/z/","download",null,null,0,null,2,true,"two"]]},
 "services":{"columns":["name","health_path","max_connections"],
  "rows":[["one","/healthz",316]]},
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],
  "rows":[["t-1",["k-1","k-2"],1,46,40],["t-2",["k-3"],null,null,null]]}})";

std::string serverEntryJson(const std::string &Info, const std::string &Status,
                            const std::string &Address = "\"10.0.0.9:80\"") {
  return R"({"address":)" + Address + R"(,"born":17,"info":)" + Info +
         R"(,"status":)" + Status + "}";
}

const std::string Info = R"({"service":"one","zone":"z","slots":36})";
const std::string Status =
    R"({"state":"ready","seq_no":4,"cold_remaining_ms":1500})";

} // namespace

TEST_CASE("A configuration in the platform's JSON format is decoded into rules",
          "[platform]") {
  const auto Result = decodeConfiguration(ConfigurationJson);
  REQUIRE(Result.ok());
  CHECK(Result->Version == 12);
  REQUIRE(Result->Routes.size() == 3);
  CHECK(Result->Routes[0].Safety == RetrySafety::Safe);
  CHECK(Result->Routes[0].Services.size() == 2);
  CHECK(Result->Routes[0].Timeout == std::chrono::milliseconds(1200));
  // An upload must not be retried.
  CHECK(Result->Routes[1].Safety == RetrySafety::Unsafe);
  // Guards against downloads that are never retried and keep their server
  // busy after the caller has left.
  CHECK(Result->Routes[2].Safety == RetrySafety::Safe);
  CHECK(Result->Routes[1].Public);
  CHECK(Result->Routes[1].Services[0].Service.Text == "two");
  CHECK(Result->Customers[0].Keys.size() == 2);
  CHECK(Result->Customers[1].RatePerS == 0);
  CHECK(Result->Customers[1].Priority < 0);
  CHECK(Result->Limits.MaxBodyBytes == 1000);
}

TEST_CASE("A limit that is null or missing keeps its default", "[platform]") {
  const auto Result = decodeConfiguration(
      R"({"version":"0c","limits":{"idle_timeout_ms":null}})");
  REQUIRE(Result.ok());
  CHECK(Result->Limits.IdleTimeout == CallerLimits().IdleTimeout);
  CHECK_FALSE(decodeConfiguration(
                  R"({"version":"0c","limits":{"idle_timeout_ms":1e300}})")
                  .ok());
}

TEST_CASE("Truncated configurations are errors, and corrupted ones never crash",
          "[platform]") {
  const std::string Whole = ConfigurationJson;
  for (std::size_t Length = 0; Length < Whole.size(); Length += 11)
    CHECK_FALSE(decodeConfiguration(Whole.substr(0, Length)).ok());
  std::mt19937 Random(20261204);
  for (int Round = 0; Round < 500; ++Round) {
    // Guards against a corrupted byte that crashes the process.
    std::string Changed = Whole;
    Changed[Random() % Changed.size()] = static_cast<char>(Random());
    const auto Result = decodeConfiguration(Changed);
    CHECK((Result.ok() || !Result.status().message().empty()));
  }
}

TEST_CASE("A valid server entry is decoded and an invalid one is rejected",
          "[platform]") {
  const auto Good = decodeServer("i-1", serverEntryJson(Info, Status));
  REQUIRE(Good.ok());
  CHECK(Good->Slots == 36);
  CHECK(Good->StartedAtUnixMs == 17);
  CHECK(Good->ColdRemaining == std::chrono::milliseconds(1500));

  // Guards against entries of other programs that are mistaken for servers.
  const std::vector<std::string> Bad{
      "",
      "[]",
      "not json",
      "{}",
      serverEntryJson("{}", Status),
      serverEntryJson(Info, "{}"),
      serverEntryJson(R"({"service":7,"zone":"z","slots":36})", Status),
      serverEntryJson(R"({"service":"one","zone":"z","slots":"36"})", Status),
      serverEntryJson(R"({"service":"one","zone":"z","slots":0})", Status),
      serverEntryJson(R"({"service":"one","zone":"z"})", Status),
      serverEntryJson(Info, R"({"state":"paused","seq_no":4})"),
      serverEntryJson(Info, Status, "\"nowhere\""),
      serverEntryJson(Info, Status, "null"),
      serverEntryJson(Info, Status, "\"10.1.0.5:0\""),
      serverEntryJson(Info, Status, "\"10.1.0.5:65536\""),
      serverEntryJson(Info, Status, "\"10.1.0.5:99999999999999999999\""),
      serverEntryJson(Info, Status, "\"10.1.0.256:80\""),
      serverEntryJson(Info, Status, "\"10.1.0:80\""),
      serverEntryJson(Info, Status, "\"...:80\""),
      serverEntryJson(R"({"service":"one","zone":"z","slots":1e400})", Status),
      serverEntryJson(R"({"service":"one","zone":"z","slots":-1e400})", Status),
      serverEntryJson(
          R"({"service":"one","zone":"z","slots":99999999999999999999999})",
          Status),
      serverEntryJson(Info, R"({"state":"ready","cold_remaining_ms":1e300})"),
      serverEntryJson(Info, R"({"state":"ready","cold_remaining_ms":1e17})"),
      serverEntryJson(Info, R"({"state":"ready","cold_remaining_ms":-5})"),
      serverEntryJson(Info, R"({"state":"ready","cold_remaining_ms":NaN})"),
      serverEntryJson(Info, Status) + std::string(100'000, '}'),
      std::string(1'000'000, '['),
      "{\"info\":" + std::string(200'000, '[') + std::string(200'000, ']') +
          "}",
      R"({"address":)" + std::string(3'000, '{')};
  for (const std::string &Text : Bad) {
    CAPTURE(Text);
    CHECK_FALSE(decodeServer("i-1", Text).ok());
  }
}

TEST_CASE("The limits of cold servers are decoded", "[platform]") {
  const auto Decode = [](const std::string &Row) {
    return decodeConfiguration(
        R"({"version":"01","services":{"columns":["name","health_path",
          "max_connections","cold_start_s","cold_per_s"],"rows":[)" +
        Row + "]}}");
  };
  const auto Good = Decode(R"(["one","/healthz",316,3.0,14.0])");
  REQUIRE(Good.ok());
  CHECK(Good->Services[0].ColdStart.ColdTime == std::chrono::seconds(3));
  CHECK(Good->Services[0].ColdStart.StartsPerS == 14.0);
  CHECK(Good->Services[0].HealthPath == "/healthz");
  const auto Absent = Decode(R"(["one","/healthz",316])");
  REQUIRE(Absent.ok());
  CHECK(Absent->Services[0].ColdStart.StartsPerS == 0);
  // Guards against a path that adds lines to the health request.
  const auto Forged = Decode(R"(["one","/x HTTP/1.1\r\nA: b",316,3,14])");
  REQUIRE(Forged.ok());
  CHECK(Forged->Services[0].HealthPath.empty());
  // Guards against a rate or time without a defined meaning.
  CHECK_FALSE(Decode(R"(["one","/h",316,3,-1])").ok());
  CHECK_FALSE(Decode(R"(["one","/h",316,-3,1])").ok());
  CHECK_FALSE(Decode(R"(["one","/h",316,3,1e300])").ok());
  CHECK_FALSE(Decode(R"(["one","/h",316,3,"many"])").ok());
}
