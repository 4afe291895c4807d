#include "agent/ServiceRegistry.h"
#include "agent/StringUtil.h"

#include <algorithm>
#include <iterator>

namespace pollenwick::agent {
namespace {

/// Servers whose terms are kept after their entries were removed. Beyond it the
/// one that was removed first is forgotten.
constexpr std::size_t MaxRemovedServers = 1024;

/// Returns when a record is removed that a list lacks. Only entries of servers
/// expire in an outage of the source; other records were removed on purpose.
Instant removalTime(RecordKind Kind, Instant KeepMissingUntil, Instant Now) {
  return Kind == RecordKind::Server ? KeepMissingUntil : Now;
}

} // namespace

ServiceRegistry::ServiceRegistry(const PlatformAdapter &TheAdapter,
                                 LogWriter &TheLog)
    : Adapter(TheAdapter), Log(TheLog) {}

bool ServiceRegistry::updateRules(const Record &Item, std::string_view Source,
                                  Instant Now) {
  absl::StatusOr<pollenwick::Rules> Decoded = Adapter.DecodeRules(Item.Value);
  if (!Decoded.ok()) {
    Log.logStateChange(std::move(
        LogLine("rules-unreadable", Now)
            .field("revision", static_cast<std::int64_t>(Item.Revision))
            .field("error", toStdStringView(Decoded.status().message()))));
    return false;
  }
  // Reports can arrive out of order, so an older version must not replace a
  // newer one.
  if (Rules && Decoded->Version <= Rules->Source.Version)
    return false;
  auto Table = std::make_shared<RouteTable>();
  indexRules(*Table, std::move(*Decoded));
  Rules = std::move(Table);
  updateLatest();
  Log.logStateChange(std::move(
      LogLine("rules-in-force", Now)
          .field("version", static_cast<std::int64_t>(Rules->Source.Version))
          .field("revision", static_cast<std::int64_t>(Item.Revision))
          .field("source", Source)
          .field("routes",
                 static_cast<std::int64_t>(Rules->Source.Routes.size()))));
  return true;
}

void ServiceRegistry::updateRulesRecord(const Record &Item,
                                        std::string_view Source, Instant Now,
                                        Change &Result) {
  const absl::StatusOr<ZoneId> Zone =
      Adapter.DecodeEvacuation ? Adapter.DecodeEvacuation(Item.Id)
                               : absl::NotFoundError("no evacuations");
  if (absl::IsNotFound(Zone.status())) {
    if (!Item.Deleted)
      Result.RulesChanged |= updateRules(Item, Source, Now);
    return;
  }
  if (!Zone.ok()) {
    Log.logStateChange(std::move(
        LogLine("evacuation-unreadable", Now)
            .field("revision", static_cast<std::int64_t>(Item.Revision))
            .field("error", toStdStringView(Zone.status().message()))));
    return;
  }
  if (!setEvacuated(EvacuatedZones, *Zone, !Item.Deleted))
    return;
  const auto ServersThere =
      std::ranges::count_if(Servers, [&](const auto &Known) {
        return Known.second.Entry.Zone == *Zone;
      });
  Log.logStateChange(
      std::move(LogLine(Item.Deleted ? "zone-returned" : "zone-evacuated", Now)
                    .field("zone", Zone->Text)
                    .field("servers", static_cast<std::int64_t>(ServersThere))
                    .field("revision", static_cast<std::int64_t>(Item.Revision))
                    .field("source", Source)));
}

void ServiceRegistry::keepTerms(const KnownServer &Removed, Instant Now) {
  if (!Removed.Heard.Leaving && Removed.Heard.RequestsPerS == 0)
    return;
  RemovedServers[Removed.Entry.Id.Text] = {Removed.Entry.StartedAtUnixMs,
                                           Removed.Heard, Now};
  if (RemovedServers.size() > MaxRemovedServers)
    RemovedServers.erase(
        std::ranges::min_element(RemovedServers, {}, [](const auto &Item) {
          return Item.second.RemovedAt;
        }));
}

void ServiceRegistry::removeServer(
    std::map<std::string, KnownServer>::iterator Existing, Instant Now) {
  keepTerms(Existing->second, Now);
  const std::string Address = Existing->second.Entry.Address;
  const bool WasLatest = LatestByAddress.at(Address) == &Existing->second;
  std::erase(ServersByService[Existing->second.Entry.Service.Text],
             &Existing->second);
  Servers.erase(Existing);
  if (!WasLatest)
    return;
  LatestByAddress.erase(Address);
  for (const auto &[Id, Server] : Servers)
    if (Server.Entry.Address == Address)
      noteLatest(Server);
}

void ServiceRegistry::noteLatest(const KnownServer &Server) {
  // The entry of a server that has ended does not change until it expires, so
  // the newest record belongs to the server that runs. Times of start do not
  // tell it: clocks of hosts may jump.
  // An entry with a service that nobody has configured comes from another
  // writer; it must not hide the server that runs there.
  const KnownServer *&Latest = LatestByAddress[Server.Entry.Address];
  const auto Order = [this](const KnownServer &Item) {
    return std::pair(hasNamedService(Item), Item.Revision);
  };
  if (!Latest || Order(Server) > Order(*Latest))
    Latest = &Server;
}

bool ServiceRegistry::hasNamedService(const KnownServer &Server) const {
  return !Rules || Rules->NamedServices.contains(Server.Entry.Service);
}

void ServiceRegistry::updateLatest() {
  LatestByAddress.clear();
  for (const auto &[Id, Server] : Servers)
    noteLatest(Server);
}

void ServiceRegistry::updateServer(const std::string &Id, Instant Now) {
  const Record &Item = ServerRecords.Records.at(Id);
  const auto Existing = Servers.find(Id);
  absl::StatusOr<ServerEntry> Entry =
      Item.Deleted ? absl::StatusOr<ServerEntry>(
                         absl::NotFoundError("entry was removed"))
                   : Adapter.DecodeServer(Id, Item.Value);
  if (!Entry.ok()) {
    if (Existing != Servers.end() || !Item.Deleted)
      Log.logStateChange(std::move(
          LogLine("server-gone", Now)
              .field("server", Id)
              .field("revision", static_cast<std::int64_t>(Item.Revision))
              .field("reason", toStdStringView(Entry.status().message()))));
    if (Existing != Servers.end())
      removeServer(Existing, Now);
    return;
  }
  Entry->Revision = Item.Revision;
  if (Existing != Servers.end()) {
    const bool IsSameInstance =
        Existing->second.Entry.StartedAtUnixMs == Entry->StartedAtUnixMs &&
        Existing->second.Entry.Address == Entry->Address &&
        Existing->second.Entry.Service == Entry->Service;
    if (IsSameInstance) {
      if (Existing->second.Entry.State != Entry->State)
        Log.logStateChange(std::move(
            LogLine("server-state", Now)
                .field("server", Id)
                .field("state", Entry->State == ServerState::Ready ? "ready"
                                                                   : "draining")
                .field("revision", static_cast<std::int64_t>(Item.Revision))));
      Existing->second.Entry = *Entry;
      if (Entry->ColdRemaining)
        Existing->second.ColdUntil = Now + *Entry->ColdRemaining;
      Existing->second.Revision = Item.Revision;
      noteLatest(Existing->second);
      return;
    }
    removeServer(Existing, Now);
  }
  KnownServer &New = Servers[Id];
  New.Entry = *Entry;
  New.Revision = Item.Revision;
  New.NodeIp = Entry->Address.substr(0, Entry->Address.find(':'));
  New.ColdUntil = Now + Entry->ColdRemaining.value_or(Duration{});
  if (const auto Kept = RemovedServers.find(Id);
      Kept != RemovedServers.end() &&
      Kept->second.StartedAtUnixMs == Entry->StartedAtUnixMs)
    New.Heard = Kept->second.Heard;
  ServersByService[Entry->Service.Text].push_back(&New);
  noteLatest(New);
  Log.logStateChange(std::move(
      LogLine("server-known", Now)
          .field("server", Id)
          .field("service", Entry->Service.Text)
          .field("address", Entry->Address)
          .field("slots", static_cast<std::int64_t>(Entry->Slots))
          .field("revision", static_cast<std::int64_t>(Item.Revision))));
}

ServiceRegistry::Change
ServiceRegistry::applyRecords(const std::vector<Record> &Records,
                              std::string_view Source, Instant Now) {
  Change Result;
  for (const Record &Item : Records) {
    if (!applyRecord(tableOf(Item.Kind), Item))
      continue;
    if (Item.Kind == RecordKind::Server) {
      updateServer(Item.Id, Now);
      Result.ServersChanged = true;
    } else {
      updateRulesRecord(Item, Source, Now, Result);
    }
  }
  return Result;
}

ServiceRegistry::Change
ServiceRegistry::updateChanged(RecordKind Kind,
                               const std::vector<std::string> &Ids,
                               std::string_view Source, Instant Now) {
  Change Result;
  for (const std::string &Id : Ids) {
    if (Kind == RecordKind::Server) {
      updateServer(Id, Now);
      Result.ServersChanged = true;
    } else {
      updateRulesRecord(RuleRecords.Records.at(Id), Source, Now, Result);
    }
  }
  return Result;
}

ServiceRegistry::Change
ServiceRegistry::applyFullList(RecordKind Kind, const std::vector<Record> &List,
                               std::uint64_t AsOfRevision,
                               Instant KeepMissingUntil, Instant Now) {
  return updateChanged(Kind,
                       applyList(tableOf(Kind), List, AsOfRevision,
                                 removalTime(Kind, KeepMissingUntil, Now), Now),
                       "source", Now);
}

ServiceRegistry::Change ServiceRegistry::applyBatch(RecordKind Kind,
                                                    const RecordBatch &Batch,
                                                    Instant KeepMissingUntil,
                                                    std::string_view Source,
                                                    bool &HasGap, Instant Now) {
  const BatchResult Result = pollenwick::applyBatch(
      tableOf(Kind), Batch, removalTime(Kind, KeepMissingUntil, Now), Now);
  HasGap = Result.HasGap;
  return updateChanged(Kind, Result.ChangedIds, Source, Now);
}

void ServiceRegistry::advanceRevision(RecordKind Kind,
                                      std::uint64_t AsOfRevision) {
  RecordTable &Table = tableOf(Kind);
  Table.Revision = std::max(Table.Revision, AsOfRevision);
}

ServiceRegistry::Change
ServiceRegistry::expireMissingServers(Instant KeepMissingUntil, Instant Now,
                                      std::size_t MaxMarkers,
                                      std::vector<Record> &Removed) {
  const std::vector<std::string> Ids =
      expireMissing(ServerRecords, KeepMissingUntil, Now);
  const Change Result = updateChanged(RecordKind::Server, Ids, "source", Now);
  std::ranges::transform(
      Ids, std::back_inserter(Removed),
      [this](const std::string &Id) { return ServerRecords.Records.at(Id); });
  pruneMarkers(ServerRecords, MaxMarkers);
  pruneMarkers(RuleRecords, MaxMarkers);
  return Result;
}

std::vector<KnownServer *>
ServiceRegistry::serversOf(const ServiceId &Service) {
  const auto Found = ServersByService.find(Service.Text);
  if (Found == ServersByService.end())
    return {};
  std::vector<KnownServer *> Result;
  std::ranges::copy_if(
      Found->second, std::back_inserter(Result), [this](const auto *Server) {
        return LatestByAddress.at(Server->Entry.Address) == Server;
      });
  return Result;
}

bool ServiceRegistry::allEvacuated(const ServiceId &Service) {
  if (EvacuatedZones.Zones.empty())
    return false;
  const std::vector<KnownServer *> Found = serversOf(Service);
  return !Found.empty() &&
         std::ranges::none_of(Found, [this](const KnownServer *Server) {
           return mayGetCalls(EvacuatedZones, Server->Entry.Zone);
         });
}

KnownServer *ServiceRegistry::findServer(const std::string &ServerId) {
  const auto Found = Servers.find(ServerId);
  return Found == Servers.end() ? nullptr : &Found->second;
}

void ServiceRegistry::applyLoad(const std::string &ServerId,
                                const ServerLoad &Load, Instant Now) {
  KnownServer *Server = findServer(ServerId);
  if (!Server)
    return;
  const bool SameRun =
      Load.ServerStartedAtUnixMs == 0 ||
      Load.ServerStartedAtUnixMs == Server->Entry.StartedAtUnixMs;
  if (SameRun && Load.LimitHeard)
    Server->Heard.RequestsPerS = Load.RequestsPerS;
  if (SameRun && Load.ServerLeaving)
    Server->Heard.Leaving = true;
  if (Load.MaxRunning == 0)
    return;
  Server->Load = Load;
  Server->LoadReceivedAt = Now;
  Server->SentSince = 0;
}

const ServerEntry *
ServiceRegistry::findServerByAddress(const std::string &Address) const {
  const auto Found = LatestByAddress.find(Address);
  return Found == LatestByAddress.end() ? nullptr : &Found->second->Entry;
}

std::set<std::string> ServiceRegistry::nodeIps() const {
  std::set<std::string> Ips;
  for (const auto &[Id, Server] : Servers)
    Ips.insert(Server.NodeIp);
  return Ips;
}

std::map<std::string, ZoneId> ServiceRegistry::nodeZones() const {
  std::map<std::string, ZoneId> Zones;
  for (const auto &[Id, Server] : Servers)
    Zones.emplace(Server.NodeIp, Server.Entry.Zone);
  return Zones;
}

} // namespace pollenwick::agent
