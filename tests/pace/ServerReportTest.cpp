#include <catch2/catch.hpp>

#include <string>

#include "core/pace/HostSlowdown.h"
#include "core/pace/ServerReport.h"

using namespace pollenwick;

namespace {

using Kind = ServerReport::Kind;

Kind checked(std::string_view Text, std::uint32_t OwnRunning) {
  ServerReport Report = parseServerReport(Text);
  checkServerReport(Report, OwnRunning);
  return Report.Quality;
}

} // namespace

TEST_CASE("A report of a server is read in full or not at all", "[pace]") {
  // Guards against a wrong header that moves the limit or the placement.
  CHECK(parseServerReport("").Quality == Kind::Absent);
  const ServerReport Report = parseServerReport("3,1,16,250");
  CHECK(Report.Quality == Kind::Valid);
  CHECK(Report.Running == 3);
  CHECK(Report.Waiting == 1);
  CHECK(Report.Slots == 16);
  CHECK(Report.Slowdown == Approx(2.5));
  CHECK(parseServerReport("3,1,16").Slowdown == 0);
  for (const std::string Text :
       {"3,1", "3,1,", "3,1,16,", "3,1,16,100,9", "-3,1,16", "3,1,16,-100",
        "3,1,16,0", "3, 1,16", "3,1,16.5", "a,b,c", ",,", "+3,1,16",
        "99999999999999999999,0,16", "3,1,16,1e3", "1000001,0,16"})
    CHECK(parseServerReport(Text).Quality == Kind::Unreadable);
  CHECK(parseServerReport("3," + std::string(100'000, '1')).Quality ==
        Kind::Unreadable);
  SECTION("the slowdown is clamped") {
    CHECK(parseServerReport("3,1,16,1").Slowdown == Approx(0.1));
    CHECK(parseServerReport("3,1,16,999999").Slowdown == Approx(50));
  }
  SECTION("a report that contradicts itself or the node's count is ignored") {
    CHECK(checked("3,0,16", 3) == Kind::Valid);
    CHECK(checked("17,0,16", 17) == Kind::Contradictory);
    CHECK(checked("0,0,0", 0) == Kind::Contradictory);
    CHECK(checked("16,10,16", 3) == Kind::Contradictory);
    // The server may still run what this node has abandoned.
    CHECK(checked("16,0,16", 3) == Kind::Valid);
  }
}

TEST_CASE("The slowdown follows several reports, not one", "[pace]") {
  // Guards against calls that leave a server because of a single wrong value,
  // and against a placement that follows the host only after its next change.
  HostSlowdown Host;
  Instant Now(std::chrono::seconds(1));
  const auto Report = [&](double Slowdown, int Times) {
    for (int I = 0; I < Times; ++I)
      recordSlowdown(Host, Slowdown, Now += std::chrono::milliseconds(5));
  };
  CHECK(currentSlowdown(Host, Now) == 0);
  Report(3, 2);
  CHECK(currentSlowdown(Host, Now) == 0);
  Report(1, 100);
  Report(50, 1);
  CHECK(currentSlowdown(Host, Now) == 1);
  Report(1, 100);
  Report(3, 3);
  CHECK(currentSlowdown(Host, Now) == 3);
  CHECK(relativeSlowdown(Host, Now) > 2);
  // The mean service time contains the slowdown after some time.
  Report(3, 100);
  CHECK(relativeSlowdown(Host, Now) == Approx(1).margin(0.02));
  CHECK(currentSlowdown(Host, Now + std::chrono::seconds(1)) == 0);
  resetMeanSlowdown(Host);
  CHECK(relativeSlowdown(Host, Now) == 0);
}
