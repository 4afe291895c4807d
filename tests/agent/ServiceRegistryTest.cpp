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
