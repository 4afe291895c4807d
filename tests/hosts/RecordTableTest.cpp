#include <catch2/catch.hpp>

#include "core/hosts/RecordTable.h"

using namespace pollenwick;

namespace {

Record record(std::string Id, std::uint64_t Revision, std::string Value) {
  return {RecordKind::Server, std::move(Id), Revision, false, std::move(Value)};
}

const Instant Start(std::chrono::seconds(100));

} // namespace

TEST_CASE("The newest revision of a record wins", "[hosts]") {
  // Guards against a late report of a peer that restores an old state.
  RecordTable Table;
  CHECK(applyRecord(Table, record("i-1", 5, "new")));
  CHECK_FALSE(applyRecord(Table, record("i-1", 4, "old")));
  CHECK(Table.Records["i-1"].Value == "new");

  SECTION("a removed record is not restored by an older report") {
    Record Removal = record("i-1", 6, "");
    Removal.Deleted = true;
    CHECK(applyRecord(Table, Removal));
    CHECK_FALSE(applyRecord(Table, record("i-1", 5, "new")));
    CHECK(Table.Records["i-1"].Deleted);
  }
}

TEST_CASE("A full list removes the records that it does not contain",
          "[hosts]") {
  RecordTable Table;
  applyRecord(Table, record("i-1", 5, "a"));
  applyRecord(Table, record("i-2", 6, "b"));

  SECTION("at once if there was no outage of the service") {
    const auto Changed =
        applyList(Table, {record("i-1", 5, "a")}, 9, false, Start);
    CHECK(Changed == std::vector<std::string>{"i-2"});
    CHECK(Table.Records["i-2"].Deleted);
  }
  SECTION("after a grace period if there was an outage of the service") {
    // Guards against dropping live servers whose entries expired during an
    // outage of the service.
    CHECK(applyList(Table, {record("i-1", 5, "a")}, 9, true, Start).empty());
    CHECK(expireMissing(Table, Start + MissingRecordGrace / 2).empty());
    SECTION("a server that registers again is kept") {
      applyRecord(Table, record("i-2", 12, "b"));
      CHECK(expireMissing(Table, Start + MissingRecordGrace * 2).empty());
      CHECK_FALSE(Table.Records["i-2"].Deleted);
    }
    SECTION("a server that stays missing is removed") {
      CHECK(expireMissing(Table, Start + MissingRecordGrace).size() == 1);
      CHECK(Table.Records["i-2"].Deleted);
    }
  }
  SECTION("but not records that are newer than the list") {
    CHECK(applyList(Table, {record("i-1", 5, "a")}, 5, false, Start).empty());
  }
}

TEST_CASE("A peer that is behind gets the newer records, oldest first",
          "[hosts]") {
  RecordTable Table;
  applyRecord(Table, record("i-3", 9, "c"));
  applyRecord(Table, record("i-1", 5, "a"));
  applyRecord(Table, record("i-2", 7, "b"));
  const auto Records = recordsAfter(Table, 5);
  REQUIRE(Records.size() == 2);
  CHECK(Records[0].Id == "i-2");
  CHECK(Records[1].Id == "i-3");
}
