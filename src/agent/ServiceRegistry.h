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
#include "core/evacuation/Evacuation.h"
#include "core/hosts/RecordTable.h"
#include "core/placement/Placement.h"
#include "core/rules/RouteTable.h"

namespace pollenwick::agent {

/// What a run of a backend server has said, as far as this node has heard. It
/// is kept when the node beside the server restarts and has heard nothing.
struct HeardTerms {
  double RequestsPerS = 0; ///< Limit that it named; 0: none.
  bool Leaving = false;    ///< It will end; never taken back.
};

/// A registered backend server and the latest load that this node knows.
struct KnownServer {
  ServerEntry Entry;
  std::string NodeIp;         ///< Address of the node on the server's host.
  std::uint64_t Revision = 0; ///< Of the record that was applied last.
  Instant ColdUntil;          ///< End of the server's warm-up period.
  ServerLoad Load;
  Instant LoadReceivedAt;      ///< When `Load` was received.
  std::uint32_t SentSince = 0; ///< Calls sent there since `LoadReceivedAt`.
  HeardTerms Heard;
  /// End of the time in which the server gets no calls because it could not be
  /// reached; in the past if it may be used.
  Instant AvoidUntil;
};

/// Holds the configuration in force and the registered backend servers, built
/// from the records of the configuration service and of peers.
class ServiceRegistry {
public:
  ServiceRegistry(const PlatformAdapter &Adapter, LogWriter &Log);

  /// Parts of the registry that an update changed.
  struct Change {
    bool RulesChanged = false;
    bool ServersChanged = false;
  };
  /// Applies records from the configuration service or a peer; `Source` names
  /// the origin in the log. A record that is not newer than the held one is
  /// ignored, so reports may arrive twice or out of order. Returns what
  /// changed.
  Change applyRecords(const std::vector<Record> &Records,
                      std::string_view Source, Instant Now);
  /// Applies the full list of records of `Kind` as of `AsOfRevision`. A record
  /// that the list lacks is removed at `KeepMissingUntil`, at once if that has
  /// passed.
  Change applyFullList(RecordKind Kind, const std::vector<Record> &List,
                       std::uint64_t AsOfRevision, Instant KeepMissingUntil,
                       Instant Now);
  /// Records that all changes of `Kind` up to `AsOfRevision` were applied.
  void advanceRevision(RecordKind Kind, std::uint64_t AsOfRevision);
  /// Removes the servers that were missing from a list and are due for removal;
  /// all of them if `KeepMissingUntil` has passed. Appends the markers of the
  /// removed servers to `Removed` and keeps at most `MaxMarkers` of all
  /// markers.
  Change expireMissingServers(Instant KeepMissingUntil, Instant Now,
                              std::size_t MaxMarkers,
                              std::vector<Record> &Removed);
  /// Applies records that a peer has sent; `Source` names it in the log. A
  /// record that its full list lacks is removed at `KeepMissingUntil`. Sets
  /// `HasGap` if changes before the records are missing here.
  Change applyBatch(RecordKind Kind, const RecordBatch &Batch,
                    Instant KeepMissingUntil, std::string_view Source,
                    bool &HasGap, Instant Now);

  /// Returns the rules in force; null until the first configuration arrives.
  const std::shared_ptr<const RouteTable> &rules() const { return Rules; }
  /// Returns the zones that are evacuated.
  const Evacuations &evacuations() const { return EvacuatedZones; }
  /// Returns whether the service has servers, all of them in evacuated zones.
  bool allEvacuated(const ServiceId &Service);
  /// Returns whether this node has rules, and all evacuations as of them.
  bool recordsKnown() const { return Rules && RuleRecords.Revision > 0; }
  /// Returns the registered servers of a service, valid until the next update.
  /// Leaves out entries of servers that have ended: a later record names
  /// another server at their address.
  std::vector<KnownServer *> serversOf(const ServiceId &Service);
  /// Returns the registered server with this id; null if there is none.
  KnownServer *findServer(const std::string &ServerId);
  /// Applies the load that the node beside the server reported.
  void applyLoad(const std::string &ServerId, const ServerLoad &Load,
                 Instant Now);
  /// Returns the registered server with this address; if there are several,
  /// the one whose record changed last; if there is none, null.
  const ServerEntry *findServerByAddress(const std::string &Address) const;
  /// Returns the addresses of all nodes that have a registered server.
  std::set<std::string> nodeIps() const;

  /// Returns the zones of all nodes that have a registered server, by address.
  std::map<std::string, ZoneId> nodeZones() const;

  /// Returns the revision up to which all changes of a kind were applied.
  std::uint64_t revision(RecordKind Kind) const {
    return tableOf(Kind).Revision;
  }
  /// Returns the revision of the newest record of a kind.
  std::uint64_t newestRecord(RecordKind Kind) const {
    return pollenwick::newestRecord(tableOf(Kind));
  }
  std::uint64_t serversDigest() const { return digestOf(ServerRecords); }
  /// Returns what a peer that has all changes up to `After` lacks.
  RecordBatch batchAfter(RecordKind Kind, std::uint64_t After) const {
    return pollenwick::batchAfter(tableOf(Kind), After);
  }

private:
  const RecordTable &tableOf(RecordKind Kind) const {
    return Kind == RecordKind::Rules ? RuleRecords : ServerRecords;
  }
  RecordTable &tableOf(RecordKind Kind) {
    return Kind == RecordKind::Rules ? RuleRecords : ServerRecords;
  }
  /// Brings the rules and servers in line with records that have changed.
  Change updateChanged(RecordKind Kind, const std::vector<std::string> &Ids,
                       std::string_view Source, Instant Now);
  bool updateRules(const Record &Item, std::string_view Source, Instant Now);
  /// Applies a record of the kind `Rules`: the rules or an evacuation.
  void updateRulesRecord(const Record &Item, std::string_view Source,
                         Instant Now, Change &Result);
  void updateServer(const std::string &Id, Instant Now);
  void removeServer(std::map<std::string, KnownServer>::iterator Existing,
                    Instant Now);
  /// Records the server in `LatestByAddress` if it is the newest there, among
  /// those whose service the rules name.
  void noteLatest(const KnownServer &Server);
  /// Returns whether the rules name the service of the server, or are not known
  /// yet.
  bool hasNamedService(const KnownServer &Server) const;
  /// Chooses the servers of all addresses anew, by new rules.
  void updateLatest();

  /// Terms of a run of a server whose entry was removed. The entry may come
  /// back, for instance after an outage of the source.
  struct RemovedServer {
    std::int64_t StartedAtUnixMs = 0;
    HeardTerms Heard;
    Instant RemovedAt;
  };
  void keepTerms(const KnownServer &Removed, Instant Now);

  const PlatformAdapter &Adapter;
  LogWriter &Log;
  std::map<std::string, RemovedServer> RemovedServers; ///< Keyed by id.
  RecordTable RuleRecords;
  RecordTable ServerRecords;
  std::shared_ptr<const RouteTable> Rules;
  Evacuations EvacuatedZones;
  std::map<std::string, KnownServer> Servers;
  absl::flat_hash_map<std::string, std::vector<KnownServer *>> ServersByService;
  /// The server with the newest record at each address.
  absl::flat_hash_map<std::string, const KnownServer *> LatestByAddress;
};

} // namespace pollenwick::agent

#endif
