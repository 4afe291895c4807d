#include <catch2/catch.hpp>

#include <algorithm>

#include "agent/ServiceRegistry.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

const Instant Start(std::chrono::seconds(100));

/// A record whose value is "ADDRESS STARTED_AT".
Record serverRecord(const std::string &Id, std::uint64_t Revision,
                    const std::string &Address, int StartedAt) {
  return {RecordKind::Server, Id, Revision, false,
          Address + " " + std::to_string(StartedAt)};
}

PlatformAdapter spacedEntries() {
  PlatformAdapter Adapter;
  Adapter.DecodeServer = [](const std::string &Id, std::string_view Value) {
    const std::string Text(Value);
    ServerEntry Entry;
    Entry.Id = HostId(Id);
    Entry.Service = ServiceId("one");
    Entry.Zone = ZoneId("z");
    Entry.Address = Text.substr(0, Text.find(' '));
    Entry.StartedAtUnixMs = std::stoi(Text.substr(Text.find(' ')));
    return absl::StatusOr<ServerEntry>(Entry);
  };
  return Adapter;
}

} // namespace

TEST_CASE("An entry is not used after its address belongs to another server",
          "[agent]") {
  // Guards against calls that are refused one after the other because they are
  // placed on entries of servers that have ended. After all hosts lose power,
  // these entries stay until they expire (seen in acaf-mesh-large, trouble-1).
  const PlatformAdapter Adapter = spacedEntries();
  LogWriter Log("test");
  ServiceRegistry Registry(Adapter, Log);
  Registry.applyRecords({serverRecord("i-old", 5, "10.0.0.1:80", 1000),
                         serverRecord("i-other", 6, "10.0.0.2:80", 1000)},
                        "source", Start);
  // The clock of the host has jumped back before the restart.
  Registry.applyRecords({serverRecord("i-new", 9, "10.0.0.1:80", 900)},
                        "source", Start);
  const std::vector<KnownServer *> Servers =
      Registry.serversOf(ServiceId("one"));
  REQUIRE(Servers.size() == 2);
  CHECK(std::ranges::none_of(Servers, [](const KnownServer *Server) {
    return Server->Entry.Id.Text == "i-old";
  }));
  REQUIRE(Registry.findServerByAddress("10.0.0.1:80"));
  CHECK(Registry.findServerByAddress("10.0.0.1:80")->Id.Text == "i-new");

  SECTION("the end of the old entry changes nothing") {
    Record Removal = serverRecord("i-old", 12, "", 0);
    Removal.Deleted = true;
    Registry.applyRecords({Removal}, "source", Start);
    CHECK(Registry.serversOf(ServiceId("one")).size() == 2);
  }
  SECTION("without the new entry the old one is used until it expires") {
    Record Removal = serverRecord("i-new", 12, "", 0);
    Removal.Deleted = true;
    Registry.applyRecords({Removal}, "source", Start);
    CHECK(Registry.findServerByAddress("10.0.0.1:80")->Id.Text == "i-old");
  }
}

TEST_CASE("An evacuation is read and relayed like the configuration",
          "[agent]") {
  // Guards against an evacuation that is lost, or comes back, on the way from
  // the readers of the store to the other nodes.
  PlatformAdapter Adapter = spacedEntries();
  Adapter.DecodeRules = [](std::string_view Value) {
    Rules Result;
    Result.Version = std::stoull(std::string(Value));
    return absl::StatusOr<Rules>(Result);
  };
  Adapter.DecodeEvacuation = [](const std::string &Id) {
    return Id.starts_with("e-") ? absl::StatusOr<ZoneId>(ZoneId(Id.substr(2)))
                                : absl::NotFoundError("no evacuation");
  };
  LogWriter Log("test");
  ServiceRegistry Reader(Adapter, Log);
  ServiceRegistry Peer(Adapter, Log);
  const auto Relay = [&] {
    bool HasGap = false;
    Peer.applyBatch(
        RecordKind::Rules,
        Reader.batchAfter(RecordKind::Rules, Peer.revision(RecordKind::Rules)),
        Start, "10.0.0.1", HasGap, Start);
    CHECK_FALSE(HasGap);
  };
  const Record Configuration{RecordKind::Rules, "config", 5, false, "3"};
  const Record Request{RecordKind::Rules, "e-z", 7, false, ""};
  CHECK_FALSE(Peer.recordsKnown());
  Reader.applyFullList(RecordKind::Rules, {Configuration, Request}, 8, Start,
                       Start);
  CHECK_FALSE(mayGetCalls(Reader.evacuations(), ZoneId("z")));
  Relay();
  CHECK(Peer.recordsKnown());
  CHECK_FALSE(mayGetCalls(Peer.evacuations(), ZoneId("z")));
  CHECK(Peer.rules()->Source.Version == 3);

  SECTION("its removal is relayed and an older report does not undo it") {
    Record Removal = Request;
    Removal.Deleted = true;
    Removal.Revision = 9;
    Reader.applyRecords({Removal}, "source", Start);
    Reader.advanceRevision(RecordKind::Rules, 9);
    Relay();
    CHECK(mayGetCalls(Peer.evacuations(), ZoneId("z")));
    Peer.applyRecords({Request}, "10.0.0.3", Start);
    CHECK(mayGetCalls(Peer.evacuations(), ZoneId("z")));
  }
  SECTION("a list that lacks it ends it at once, also after an outage") {
    // Guards against a zone that stays empty for ever: only entries of servers
    // come back after an outage.
    Reader.applyFullList(RecordKind::Rules, {Configuration}, 9,
                         Start + std::chrono::seconds(2), Start);
    CHECK(mayGetCalls(Reader.evacuations(), ZoneId("z")));
    Relay();
    CHECK(mayGetCalls(Peer.evacuations(), ZoneId("z")));
    CHECK(Peer.rules()->Source.Version == 3);
  }
  SECTION("a node that has only a part of the records does not know them") {
    // Guards against a restarted node that gets the configuration from a peer
    // first and serves in a zone that was evacuated before.
    ServiceRegistry Restarted(Adapter, Log);
    bool HasGap = false;
    Restarted.applyBatch(RecordKind::Rules, {8, 9, false, {Configuration}},
                         Start, "10.0.0.1", HasGap, Start);
    CHECK(HasGap);
    REQUIRE(Restarted.rules());
    CHECK_FALSE(Restarted.recordsKnown());
  }
}

TEST_CASE("A server that becomes cold again is known to be cold", "[agent]") {
  // Guards against an entry whose cold time is used only when it is new.
  PlatformAdapter Adapter = spacedEntries();
  Adapter.DecodeServer = [Decode = Adapter.DecodeServer](
                             const std::string &Id, std::string_view Value) {
    absl::StatusOr<ServerEntry> Entry =
        Decode(Id, Value.substr(0, Value.rfind(' ')));
    Entry->ColdRemaining = std::chrono::milliseconds(
        std::stoi(std::string(Value.substr(Value.rfind(' ')))));
    return Entry;
  };
  LogWriter Log("test");
  ServiceRegistry Registry(Adapter, Log);
  Record Entry = serverRecord("i-1", 5, "10.0.0.1:80", 1000);
  Entry.Value += " 0";
  Registry.applyRecords({Entry}, "source", Start);
  Entry = serverRecord("i-1", 6, "10.0.0.1:80", 1000);
  Entry.Value += " 3000";
  Registry.applyRecords({Entry}, "source", Start);
  CHECK(Registry.findServer("i-1")->ColdUntil ==
        Start + std::chrono::seconds(3));
  CHECK(Registry.findServerByAddress("10.0.0.1:80")->Revision == 6);
}

TEST_CASE("A node keeps what it has heard of a run of a server", "[agent]") {
  // Guards against calls to a server that has said that it ends, from a node
  // that passed that on, because the node beside the server has restarted.
  const PlatformAdapter Adapter = spacedEntries();
  LogWriter Log("test");
  ServiceRegistry Registry(Adapter, Log);
  Registry.applyRecords({serverRecord("i-1", 5, "10.0.0.1:80", 1000)}, "source",
                        Start);
  ServerLoad Said;
  Said.ServerStartedAtUnixMs = 1000;
  Said.LimitHeard = true;
  Said.RequestsPerS = 4;
  Said.ServerLeaving = true;
  Registry.applyLoad("i-1", Said, Start);
  const auto Heard = [&] { return Registry.findServer("i-1")->Heard; };
  REQUIRE(Heard().Leaving);
  REQUIRE(Heard().RequestsPerS == 4);
  ServerLoad Restarted;
  Restarted.MaxRunning = 8;
  Restarted.ServerStartedAtUnixMs = 1000;
  SECTION("when the node beside it knows nothing yet") {
    Registry.applyLoad("i-1", Restarted, Start);
    CHECK(Heard().Leaving);
    CHECK(Heard().RequestsPerS == 4);
  }
  SECTION("a limit ends when the node beside it has heard so") {
    Restarted.LimitHeard = true;
    Registry.applyLoad("i-1", Restarted, Start);
    CHECK(Heard().RequestsPerS == 0);
    CHECK(Heard().Leaving);
  }
  SECTION("when its entry expires and comes back") {
    Record Removal = serverRecord("i-1", 6, "", 0);
    Removal.Deleted = true;
    Registry.applyRecords({Removal}, "source", Start);
    REQUIRE_FALSE(Registry.findServer("i-1"));
    SECTION("for the same run") {
      Registry.applyRecords({serverRecord("i-1", 7, "10.0.0.1:80", 1000)},
                            "source", Start);
      CHECK(Heard().Leaving);
    }
    SECTION("not for the next one") {
      Registry.applyRecords({serverRecord("i-1", 7, "10.0.0.1:80", 2000)},
                            "source", Start);
      CHECK_FALSE(Heard().Leaving);
      CHECK(Heard().RequestsPerS == 0);
    }
  }
  SECTION("what is said late of an earlier run is ignored") {
    Registry.applyRecords({serverRecord("i-1", 7, "10.0.0.1:80", 2000)},
                          "source", Start);
    Registry.applyLoad("i-1", Said, Start);
    CHECK_FALSE(Heard().Leaving);
    CHECK(Heard().RequestsPerS == 0);
  }
}
