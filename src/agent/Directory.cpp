#include "agent/Directory.h"
#include "agent/StringUtil.h"

#include <algorithm>

namespace pollenwick::agent {

Directory::Directory(const Dialect &TheWords, LogWriter &TheLog)
    : Words(TheWords), Log(TheLog) {}

bool Directory::takeRules(const Record &Item, std::string_view Source,
                          Instant Now) {
  absl::StatusOr<pollenwick::Rules> Decoded = Words.DecodeRules(Item.Value);
  if (!Decoded.ok()) {
    Log.state(std::move(
        LogLine("rules-unreadable", Now)
            .field("revision", static_cast<std::int64_t>(Item.Revision))
            .field("error", toStdStringView(Decoded.status().message()))));
    return false;
  }
  // Versions only go up within a process, whatever the order of the reports.
  if (Rules && Decoded->Version <= Rules->Source.Version)
    return false;
  auto Table = std::make_shared<RouteTable>();
  indexRules(*Table, std::move(*Decoded));
  Rules = std::move(Table);
  Log.state(std::move(
      LogLine("rules-in-force", Now)
          .field("version", static_cast<std::int64_t>(Rules->Source.Version))
          .field("revision", static_cast<std::int64_t>(Item.Revision))
          .field("source", Source)
          .field("routes",
                 static_cast<std::int64_t>(Rules->Source.Routes.size()))));
  return true;
}

void Directory::takeServer(const std::string &Id, Instant Now) {
  const Record &Item = ServerRecords.Items.at(Id);
  const auto Held = Servers.find(Id);
  absl::StatusOr<ServerEntry> Entry =
      Item.Deleted ? absl::StatusOr<ServerEntry>(
                         absl::NotFoundError("entry was removed"))
                   : Words.DecodeServer(Id, Item.Value);
  if (!Entry.ok()) {
    if (Held != Servers.end() || !Item.Deleted)
      Log.state(std::move(
          LogLine("server-gone", Now)
              .field("server", Id)
              .field("revision", static_cast<std::int64_t>(Item.Revision))
              .field("reason", toStdStringView(Entry.status().message()))));
    if (Held == Servers.end())
      return;
    std::erase(ByService[Held->second.Entry.Service.Text], &Held->second);
    Servers.erase(Held);
    return;
  }
  if (Held != Servers.end()) {
    const bool Same = Held->second.Entry.Born == Entry->Born &&
                      Held->second.Entry.Address == Entry->Address &&
                      Held->second.Entry.Service == Entry->Service;
    if (Same) {
      if (Held->second.Entry.State != Entry->State)
        Log.state(std::move(
            LogLine("server-state", Now)
                .field("server", Id)
                .field("state", Entry->State == ServerState::Ready ? "ready"
                                                                   : "draining")
                .field("revision", static_cast<std::int64_t>(Item.Revision))));
      Held->second.Entry = *Entry;
      return;
    }
    std::erase(ByService[Held->second.Entry.Service.Text], &Held->second);
    Servers.erase(Held);
  }
  KnownServer &New = Servers[Id];
  New.Entry = *Entry;
  New.NodeIp = Entry->Address.substr(0, Entry->Address.find(':'));
  New.ColdUntil = Now + Entry->ColdRemaining;
  ByService[Entry->Service.Text].push_back(&New);
  Log.state(std::move(
      LogLine("server-known", Now)
          .field("server", Id)
          .field("service", Entry->Service.Text)
          .field("address", Entry->Address)
          .field("slots", static_cast<std::int64_t>(Entry->Slots))
          .field("revision", static_cast<std::int64_t>(Item.Revision))));
}

Directory::Change Directory::apply(const std::vector<Record> &Records,
                                   std::string_view Source, Instant Now) {
  Change Result;
  for (const Record &Item : Records) {
    if (!applyRecord(tableOf(Item.Kind), Item))
      continue;
    if (Item.Kind == RecordKind::Server) {
      takeServer(Item.Id, Now);
      Result.Servers = true;
    } else if (!Item.Deleted) {
      Result.Rules |= takeRules(Item, Source, Now);
    }
  }
  return Result;
}

Directory::Change Directory::applyFullList(RecordKind Kind,
                                           const std::vector<Record> &List,
                                           std::uint64_t AsOf, bool AfterOutage,
                                           Instant Now) {
  Change Result;
  const std::vector<std::string> Ids =
      applyList(tableOf(Kind), List, AsOf, AfterOutage, Now);
  for (const std::string &Id : Ids) {
    if (Kind == RecordKind::Server) {
      takeServer(Id, Now);
      Result.Servers = true;
    } else if (!RuleRecords.Items.at(Id).Deleted) {
      Result.Rules |= takeRules(RuleRecords.Items.at(Id), "source", Now);
    }
  }
  return Result;
}

void Directory::advance(RecordKind Kind, std::uint64_t AsOf) {
  RecordTable &Table = tableOf(Kind);
  Table.Revision = std::max(Table.Revision, AsOf);
}

Directory::Change Directory::expire(Instant Now) {
  Change Result;
  for (const std::string &Id : expireMissing(ServerRecords, Now)) {
    takeServer(Id, Now);
    Result.Servers = true;
  }
  return Result;
}

std::vector<KnownServer *> Directory::serversOf(const ServiceId &Service) {
  const auto Found = ByService.find(Service.Text);
  return Found == ByService.end() ? std::vector<KnownServer *>{}
                                  : Found->second;
}

KnownServer *Directory::find(const std::string &ServerId) {
  const auto Found = Servers.find(ServerId);
  return Found == Servers.end() ? nullptr : &Found->second;
}

const ServerEntry *Directory::atAddress(const std::string &Address) const {
  const ServerEntry *Latest = nullptr;
  for (const auto &[Id, Server] : Servers)
    if (Server.Entry.Address == Address &&
        (!Latest || Server.Entry.Born > Latest->Born))
      Latest = &Server.Entry;
  return Latest;
}

std::set<std::string> Directory::nodeIps() const {
  std::set<std::string> Ips;
  for (const auto &[Id, Server] : Servers)
    Ips.insert(Server.NodeIp);
  return Ips;
}

std::vector<Record>
Directory::recordsAfter(std::uint64_t RulesRevision,
                        std::uint64_t ServersRevision) const {
  std::vector<Record> Result =
      pollenwick::recordsAfter(RuleRecords, RulesRevision);
  const std::vector<Record> More =
      pollenwick::recordsAfter(ServerRecords, ServersRevision);
  Result.insert(Result.end(), More.begin(), More.end());
  return Result;
}

} // namespace pollenwick::agent
