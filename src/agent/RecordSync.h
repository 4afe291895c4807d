#ifndef POLLENWICK_AGENT_RECORDSYNC_H
#define POLLENWICK_AGENT_RECORDSYNC_H

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "agent/ConfigurationSource.h"
#include "agent/EventLoop.h"
#include "agent/Log.h"
#include "agent/Metrics.h"
#include "agent/PeerLinks.h"
#include "agent/PeerWire.h"
#include "agent/ServiceRegistry.h"
#include "agent/Settings.h"
#include "core/hosts/Confirmation.h"

namespace pollenwick::agent {

/// Keeps the registry of this node up to date. A few nodes of each availability
/// zone read the configuration service and pass on what they read to the nodes
/// of their zone; the others compare revisions and pull what they lack.
class RecordSync {
public:
  using ChangeHandler = std::function<void(const ServiceRegistry::Change &)>;

  /// `OnChange` is called after each change of the registry.
  RecordSync(EventLoop &Loop, const Settings &Options, LogWriter &Log,
             ServiceRegistry &Registry, PeerLinks &Peers,
             ConfigurationSource &Source, ChangeHandler OnChange);

  /// Applies what the configuration source has read, or its failure.
  void applySourceUpdate(ConfigurationUpdate &&Update);
  void onPeerStatus(const std::string &Ip, const StatusFrame &Status);
  void onPeerPull(PeerLink &Link, const PullFrame &Pull);
  void onPeerRecords(const std::string &Ip, const RecordsFrame &Frame);
  /// Removes expired servers, decides whether this node reads the source, and
  /// pulls what it lacks. Call several times a second.
  void tick();
  /// Adds what peers need to know to the status of this node.
  void fillStatus(StatusFrame &Status) const;
  /// Sets the gauges on the records that this node holds.
  void fillMetrics(Metrics &Counters) const;

private:
  /// What a peer has reported last.
  struct PeerRecords {
    std::uint64_t RulesRevision = 0;
    std::uint64_t ServersRevision = 0;
    bool SourceLost = false;
    bool Reads = false; ///< It reads the source.
    /// Since when it has read the source without a failure; unset if it does
    /// not.
    std::optional<Instant> ReadingSince;
    /// When its own read confirmed its records; unset if it has not read them.
    std::optional<Instant> RulesReadAt;
    std::optional<Instant> ServersReadAt;
  };

  bool sourceLost() const { return !UnavailableKinds.empty(); }
  /// Whether `ReadAt` is too long ago for a node that reads.
  bool isOutdated(const std::optional<Instant> &ReadAt) const;
  /// Whether this node reads the source, but nothing was confirmed for too
  /// long.
  bool ownReadsOutdated() const;
  /// Whether the peer cannot be relied on to read the source.
  bool cannotRead(const PeerRecords &Peer) const;
  /// Returns the latest confirmation of the records that this node holds now;
  /// unset while all readers hold newer ones.
  std::optional<Confirmation> currentConfirmation(RecordKind Kind) const;
  void updateConfirmations();
  /// Returns for how long a read of the source has waited for its answer, zero
  /// if none does.
  Duration waitingTime(RecordKind Kind) const;
  void logHeldRecords();
  void notifyChange(const ServiceRegistry::Change &Change);
  std::vector<std::string> zonePeerIps() const;
  /// Returns until when servers are kept that a list lacks.
  Instant keepMissingUntil() const;
  /// Whether the peer may have changes that this node lacks.
  bool isAhead(const PeerRecords &Peer) const;
  /// Whether the peer has a record that is newer than all of this node.
  bool hasNewerRecord(const PeerRecords &Peer) const;
  void logSourceState(const ConfigurationUpdate &Update);
  void passOn(RecordKind Kind, RecordBatch &&Batch);
  void updateSourceUse();
  void compareDigest(const std::string &Ip, const StatusFrame &Status);
  void pullMissing();
  void apply(RecordKind Kind, const RecordBatch &Batch, const std::string &Ip);

  EventLoop &Loop;
  const Settings &Options;
  LogWriter &Log;
  ServiceRegistry &Registry;
  PeerLinks &Peers;
  ConfigurationSource &Source;
  ChangeHandler OnChange;
  /// Kinds of records that the source cannot deliver now.
  std::set<RecordKind> UnavailableKinds;
  SourceUse Use = SourceUse::Read;
  /// Since when this node has read the source without a failure; unset if it
  /// does not.
  std::optional<Instant> ReadingSince;
  /// Since when the peers suffice, while this node still reads.
  std::optional<Instant> NotNeededSince;
  /// When a peer reported last that it cannot read the source.
  std::optional<Instant> OutageReportedAt;
  std::map<std::string, PeerRecords> ReportsByIp;
  /// When this node's own read confirmed its records of a kind; empty while it
  /// does not read.
  std::map<RecordKind, Instant> OwnReadAt;
  /// The latest confirmation of the records of a kind.
  std::map<RecordKind, Confirmation> Confirmations;
  std::uint64_t TickCount = 0;
  /// False until this node stops to read for the first time. All nodes read
  /// when they start.
  bool HasBeenIdle = false;
  /// Since when a peer has held newer records; unset when none does.
  std::optional<Instant> BehindSince;
  std::string LastPulledIp; ///< Peer that was asked last.
  /// Since when the servers of this node differ from those of `DifferingPeer`,
  /// a reader with the same newest record.
  std::optional<Instant> DifferentSince;
  std::string DifferingPeer;
};

} // namespace pollenwick::agent

#endif
