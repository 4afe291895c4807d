#include <catch2/catch.hpp>

#include "core/hosts/RecordTable.h"

using namespace pollenwick;

namespace {

Record record(std::string Id, std::uint64_t Revision, std::string Value) {
  return {RecordKind::Server, std::move(Id), Revision, false, std::move(Value)};
}

const Instant Start(std::chrono::seconds(100));
/// End of the grace period of a node that knows no reader.
const Instant GraceEnd = missingItemsKeptUntil({}, Start);

/// Removes what is due at a node that knows no reader.
std::vector<std::string> expireAt(RecordTable &Table, Instant Now) {
  return expireMissing(Table, missingItemsKeptUntil({}, Now), Now);
}

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
        applyList(Table, {record("i-1", 5, "a")}, 9, Start, Start);
    CHECK(Changed == std::vector<std::string>{"i-2"});
    CHECK(Table.Records["i-2"].Deleted);
  }
  SECTION("after a grace period if there was an outage of the service") {
    // Guards against dropping live servers whose entries expired during an
    // outage of the service.
    CHECK(
        applyList(Table, {record("i-1", 5, "a")}, 9, GraceEnd, Start).empty());
    CHECK(expireAt(Table, Start + MissingRecordGrace / 2).empty());
    SECTION("a server that registers again is kept") {
      applyRecord(Table, record("i-2", 12, "b"));
      CHECK(expireAt(Table, Start + MissingRecordGrace * 2).empty());
      CHECK_FALSE(Table.Records["i-2"].Deleted);
    }
    SECTION("a server that stays missing is removed") {
      CHECK(expireAt(Table, Start + MissingRecordGrace).size() == 1);
      CHECK(Table.Records["i-2"].Deleted);
    }
  }
  SECTION("but not records that are newer than the list") {
    CHECK(applyList(Table, {record("i-1", 5, "a")}, 5, Start, Start).empty());
  }
}

TEST_CASE("The grace period runs from the end of the outage", "[hosts]") {
  // Guards against a server that gets calls for longer than it goes on after
  // its entry was removed (DRAIN, tunnelwise-ga-grown, trouble-1): a node that
  // had been cut off read the next list, passed it on, and all nodes of its
  // zone kept the entry although others had read the source all the time.
  RecordTable Table;
  applyRecord(Table, record("i-1", 5, "a"));
  applyRecord(Table, record("i-2", 6, "b"));
  const Instant LongAgo = Start - std::chrono::seconds(10);
  const Instant Lately = Start - std::chrono::seconds(1);

  SECTION("a peer that reads for longer than the grace period ends it") {
    CHECK(applyList(Table, {record("i-1", 5, "a")}, 9,
                    missingItemsKeptUntil(LongAgo, Start),
                    Start) == std::vector<std::string>{"i-2"});
  }
  SECTION("so it does if it is heard after the list was read") {
    CHECK(
        applyList(Table, {record("i-1", 5, "a")}, 9, GraceEnd, Start).empty());
    CHECK(expireMissing(Table, missingItemsKeptUntil(LongAgo, Start), Start) ==
          std::vector<std::string>{"i-2"});
  }
  SECTION("a list that was read before does not cancel the removal") {
    // Guards against a departed server that stays, because the late answer to
    // an earlier request lists it.
    applyList(Table, {record("i-1", 5, "a")}, 9, GraceEnd, Start);
    applyList(Table, {record("i-1", 5, "a"), record("i-2", 6, "b")}, 8,
              GraceEnd, Start);
    CHECK(expireMissing(Table, GraceEnd, GraceEnd) ==
          std::vector<std::string>{"i-2"});
  }
  SECTION("so it does for the full list of another peer") {
    RecordTable Fresh;
    applyList(Fresh, {record("i-1", 5, "a")}, 9, Start, Start);
    CHECK(applyBatch(Table, batchAfter(Fresh, 6),
                     missingItemsKeptUntil(LongAgo, Start), Start)
              .ChangedIds == std::vector<std::string>{"i-2"});
  }
  SECTION("a peer that reads for a shorter time shortens it") {
    applyList(Table, {record("i-1", 5, "a")}, 9,
              missingItemsKeptUntil(Lately, Start), Start);
    CHECK(expireAt(Table, Lately + MissingRecordGrace / 2).empty());
    CHECK(expireAt(Table, Lately + MissingRecordGrace).size() == 1);
  }
}

TEST_CASE("A peer that is behind gets the newer records, oldest first",
          "[hosts]") {
  RecordTable Table;
  applyRecord(Table, record("i-3", 9, "c"));
  applyRecord(Table, record("i-1", 5, "a"));
  applyRecord(Table, record("i-2", 7, "b"));
  const auto Records = batchAfter(Table, 5).Records;
  REQUIRE(Records.size() == 2);
  CHECK(Records[0].Id == "i-2");
  CHECK(Records[1].Id == "i-3");
}

TEST_CASE("A departed server does not come back through a peer", "[hosts]") {
  // Guards against a restarted node that learns of servers which left before it
  // started, from a peer that has not read the source since.
  RecordTable Stale;
  applyList(Stale, {record("i-1", 5, "a"), record("i-2", 6, "b")}, 10, Start,
            Start);
  RecordTable Fresh;
  applyList(Fresh, {record("i-1", 5, "a")}, 20, Start, Start);

  SECTION("to a node that has read a list without it") {
    CHECK_FALSE(applyRecord(Fresh, record("i-2", 6, "b")));
    CHECK(applyBatch(Fresh, batchAfter(Stale, 0), GraceEnd, Start)
              .ChangedIds.empty());
    CHECK_FALSE(Fresh.Records.contains("i-2"));
    CHECK(Fresh.Revision == 20);
  }
  SECTION("to a node that heard the stale peer first") {
    RecordTable Started;
    applyBatch(Started, batchAfter(Stale, 0), GraceEnd, Start);
    CHECK_FALSE(Started.Records.at("i-2").Deleted);
    // `Fresh` has no marker of the deletion, so it sends its full list.
    applyBatch(Started, batchAfter(Fresh, Started.Revision), GraceEnd, Start);
    expireAt(Started, Start + MissingRecordGrace);
    CHECK(Started.Records.at("i-2").Deleted);
    CHECK(digestOf(Started) == digestOf(Fresh));
  }
  SECTION("to a node that has forgotten the marker") {
    Record Removal = record("i-2", 15, "");
    Removal.Deleted = true;
    applyBatch(Stale, {10, 20, false, {Removal}}, GraceEnd, Start);
    pruneMarkers(Stale, 0);
    CHECK_FALSE(applyRecord(Stale, record("i-2", 6, "b")));
    CHECK(batchAfter(Stale, 10).IsFullList);
  }
}

TEST_CASE("Nodes that pass on changes hold the same records", "[hosts]") {
  RecordTable Reader;
  applyList(Reader, {record("i-1", 5, "a")}, 10, Start, Start);
  RecordTable Other;
  applyBatch(Other, batchAfter(Reader, 0), GraceEnd, Start);
  CHECK(Other.Revision == 10);

  SECTION("a lost batch leaves a gap that is noticed") {
    // Guards against a node that takes itself for complete after a connection
    // was lost together with a change.
    const BatchResult Result = applyBatch(
        Other, {12, 14, false, {record("i-3", 14, "c")}}, GraceEnd, Start);
    CHECK(Result.HasGap);
    CHECK(Result.ChangedIds == std::vector<std::string>{"i-3"});
    CHECK(Other.Revision == 10);
  }
  SECTION("a removal after an outage reaches a node that is complete") {
    applyList(Reader, {}, 20, GraceEnd, Start);
    applyBatch(Other, batchAfter(Reader, 10), GraceEnd, Start);
    REQUIRE(expireAt(Reader, Start + MissingRecordGrace).size() == 1);
    const Record Removal = Reader.Records.at("i-1");
    CHECK(Removal.Deleted);
    applyBatch(Other, {20, 20, false, {Removal}}, GraceEnd, Start);
    CHECK(Other.Records.at("i-1").Deleted);
    CHECK(digestOf(Other) == digestOf(Reader));
  }
  SECTION("different records have different digests") {
    applyBatch(Reader, {10, 11, false, {record("i-1", 11, "x")}}, GraceEnd,
               Start);
    CHECK(digestOf(Other) != digestOf(Reader));
  }
}
