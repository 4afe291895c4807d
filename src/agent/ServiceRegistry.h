#ifndef POLLENWICK_AGENT_SERVICEREGISTRY_H
#define POLLENWICK_AGENT_SERVICEREGISTRY_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "agent/Log.h"
#include "agent/PlatformAdapter.h"
#include "core/hosts/RecordTable.h"
#include "core/placement/Placement.h"
#include "core/rules/RouteTable.h"

namespace pollenwick::agent {

/// A backend server and what this node knows of its load.
struct KnownServer {
  ServerEntry Entry;
  std::string NodeIp; ///< Of the node beside it.
  Instant ColdUntil;
  ServerLoad Load;
  Instant LoadReceivedAt;
  std::uint32_t SentSince = 0;
  Instant AvoidUntil; ///< Refused calls lately.
};

/// The configuration in force and the servers that are registered.
class ServiceRegistry {
public:
  ServiceRegistry(const PlatformAdapter &Adapter, LogWriter &Log);

  /// Takes in records, from whoever has them. Returns whether the rules or the
  /// servers changed.
  struct Change {
    bool RulesChanged = false;
    bool ServersChanged = false;
  };
  Change applyRecords(const std::vector<Record> &Records,
                      std::string_view Source, Instant Now);
  Change applyFullList(RecordKind Kind, const std::vector<Record> &List,
                       std::uint64_t AsOfRevision, bool AfterOutage,
                       Instant Now);
  /// All changes of `Kind` up to `AsOfRevision` were applied.
  void advanceRevision(RecordKind Kind, std::uint64_t AsOfRevision);
  Change expireMissingServers(Instant Now);

  /// Null until the first configuration is known.
  const std::shared_ptr<const RouteTable> &rules() const { return Rules; }
  std::vector<KnownServer *> serversOf(const ServiceId &Service);
  KnownServer *findServer(const std::string &ServerId);
  /// The registered server with this address; the latest one if several are.
  const ServerEntry *findServerByAddress(const std::string &Address) const;
  std::set<std::string> nodeIps() const;

  std::uint64_t rulesRevision() const { return RuleRecords.Revision; }
  std::uint64_t serversRevision() const { return ServerRecords.Revision; }
  std::vector<Record> recordsAfter(std::uint64_t RulesRevision,
                                   std::uint64_t ServersRevision) const;

private:
  RecordTable &tableOf(RecordKind Kind) {
    return Kind == RecordKind::Rules ? RuleRecords : ServerRecords;
  }
  bool updateRules(const Record &Item, std::string_view Source, Instant Now);
  void updateServer(const std::string &Id, Instant Now);

  const PlatformAdapter &Adapter;
  LogWriter &Log;
  RecordTable RuleRecords;
  RecordTable ServerRecords;
  std::shared_ptr<const RouteTable> Rules;
  std::map<std::string, KnownServer> Servers;
  absl::flat_hash_map<std::string, std::vector<KnownServer *>> ServersByService;
};

} // namespace pollenwick::agent

#endif
