#include "agent/RecordSync.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "agent/RecordNames.h"
#include "agent/StringUtil.h"
#include "core/hosts/PullPeers.h"
#include "core/hosts/ReadLimits.h"

namespace pollenwick::agent {
namespace {

/// Time after which a node that still has older records than a peer pulls them
/// from that peer. The readers of its zone normally pass them on in
/// milliseconds.
constexpr Duration PullDelay = std::chrono::milliseconds(250);
/// Time after which a node that holds other servers than a reader pulls all of
/// them. A change on its way takes less, and so do missing servers that one of
/// both still keeps.
constexpr Duration DifferenceTimeout = MissingRecordGrace * 2;
/// Time for which a reader goes on although enough others read. Each start
/// costs a full list, so a peer that is unreachable for a moment must not cause
/// many.
constexpr Duration KeepReadingTime = std::chrono::seconds(1);
/// Time for which the entries of live servers may be missing from the source
/// after an outage.
constexpr Duration OutageAftermath = std::chrono::seconds(3);
/// Markers of deleted servers that a node keeps for peers that lag behind. A
/// peer that lags further gets the full list.
constexpr std::size_t MaxMarkers = 2000;

/// Ticks between two lines on the records that this node holds.
constexpr std::uint64_t TicksPerHeldRecordsLine = 20;

/// Returns the time of a confirmation that a peer reported `Age` ago; unset for
/// zero, which stands for none.
std::optional<Instant> reportedReadAt(Duration Age, Instant Now) {
  return Age.count() > 0 ? std::optional<Instant>(Now - Age) : std::nullopt;
}

} // namespace

RecordSync::RecordSync(EventLoop &TheLoop, const Settings &TheOptions,
                       LogWriter &TheLog, ServiceRegistry &TheRegistry,
                       PeerLinks &ThePeers, ConfigurationSource &TheSource,
                       ChangeHandler Handler)
    : Loop(TheLoop), Options(TheOptions), Log(TheLog), Registry(TheRegistry),
      Peers(ThePeers), Source(TheSource), OnChange(std::move(Handler)) {}

void RecordSync::logSourceState(const ConfigurationUpdate &Update) {
  if (Update.Unavailable) {
    if (UnavailableKinds.insert(Update.Kind).second)
      Log.logStateChange(
          std::move(LogLine("source-lost", Loop.now())
                        .field("records", recordKindName(Update.Kind))
                        .field("reason", Update.UnavailableReason)));
    return;
  }
  if (UnavailableKinds.erase(Update.Kind) > 0)
    Log.logStateChange(std::move(
        LogLine("source-regained", Loop.now())
            .field("records", recordKindName(Update.Kind))
            .field("as_of", static_cast<std::int64_t>(Update.AsOfRevision))));
}

void RecordSync::applySourceUpdate(ConfigurationUpdate &&Update) {
  // A read that was under way when the node became idle may still fail.
  if (Update.Unavailable && Use == SourceUse::Idle)
    return;
  logSourceState(Update);
  if (Update.Unavailable) {
    ReadingSince.reset();
    return;
  }
  if (Use != SourceUse::Idle) {
    Instant &ReadAt = OwnReadAt[Update.Kind];
    ReadAt = std::max(ReadAt, Update.ConfirmedAt);
  }
  const std::uint64_t Previous = Registry.revision(Update.Kind);
  ServiceRegistry::Change Change;
  if (!ReadingSince && !sourceLost() && Use != SourceUse::Idle)
    ReadingSince = Loop.now();
  if (Update.IsFullList) {
    Change = Registry.applyFullList(
        Update.Kind, Update.Records, Update.AsOfRevision,
        Update.AfterOutage ? keepMissingUntil() : Loop.now(), Loop.now());
    notifyChange(Change);
    passOn(Update.Kind, Registry.batchAfter(Update.Kind, Previous));
    return;
  }
  Change = Registry.applyRecords(Update.Records, "source", Loop.now());
  Registry.advanceRevision(Update.Kind, Update.AsOfRevision);
  notifyChange(Change);
  passOn(Update.Kind,
         {Previous, Update.AsOfRevision, false, std::move(Update.Records)});
}

std::vector<std::string> RecordSync::zonePeerIps() const {
  std::vector<std::string> Ips;
  for (const auto &[Ip, Zone] : Registry.nodeZones())
    if (Zone == Options.Zone && Ip != Options.Ip)
      Ips.push_back(Ip);
  return Ips;
}

void RecordSync::passOn(RecordKind Kind, RecordBatch &&Batch) {
  if (Batch.Records.empty())
    return;
  RecordsFrame Frame;
  (Kind == RecordKind::Rules ? Frame.Rules : Frame.Servers) = std::move(Batch);
  Peers.sendTo(zonePeerIps(), Frame);
}

Instant RecordSync::keepMissingUntil() const {
  // A node that was cut off cannot tell its own outage from one of the source.
  // Peers that read the source all the time show that it had none.
  std::optional<Instant> ReadableSince = ReadingSince;
  for (const auto &[Ip, Report] : ReportsByIp)
    if (Report.ReadingSince && Peers.hasLiveLink(Ip))
      ReadableSince = std::min(ReadableSince.value_or(*Report.ReadingSince),
                               *Report.ReadingSince);
  return missingItemsKeptUntil(ReadableSince, Loop.now());
}

bool RecordSync::isAhead(const PeerRecords &Peer) const {
  return Peer.RulesRevision > Registry.revision(RecordKind::Rules) ||
         Peer.ServersRevision > Registry.revision(RecordKind::Server);
}

bool RecordSync::hasNewerRecord(const PeerRecords &Peer) const {
  return Peer.RulesRevision > Registry.newestRecord(RecordKind::Rules) ||
         Peer.ServersRevision > Registry.newestRecord(RecordKind::Server);
}

void RecordSync::onPeerStatus(const std::string &Ip,
                              const StatusFrame &Status) {
  PeerRecords &Peer = ReportsByIp[Ip];
  Peer = {};
  Peer.RulesRevision = Status.RulesRevision;
  Peer.ServersRevision = Status.ServersRevision;
  Peer.SourceLost = Status.SourceLost;
  Peer.Reads = Status.Source != SourceUse::Idle;
  Peer.RulesReadAt = reportedReadAt(Status.RulesAge, Loop.now());
  Peer.ServersReadAt = reportedReadAt(Status.ServersAge, Loop.now());
  if (Status.SourceReadTime.count() > 0)
    Peer.ReadingSince = Loop.now() - Status.SourceReadTime;
  if (Status.SourceLost)
    OutageReportedAt = Loop.now();
  if (isAhead(Peer) && !BehindSince)
    BehindSince = Loop.now();
  compareDigest(Ip, Status);
}

void RecordSync::compareDigest(const std::string &Ip,
                               const StatusFrame &Status) {
  const bool Comparable =
      Use == SourceUse::Idle && Status.Source != SourceUse::Idle &&
      !Status.SourceLost &&
      Status.ServersRevision == Registry.newestRecord(RecordKind::Server);
  const bool Differs =
      Comparable && Status.ServersDigest != Registry.serversDigest();
  if (Differs) {
    DifferingPeer = Ip;
    if (!DifferentSince)
      DifferentSince = Loop.now();
    return;
  }
  // Another peer may differ although this one does not.
  if (Ip == DifferingPeer || Use != SourceUse::Idle) {
    DifferentSince.reset();
    DifferingPeer.clear();
  }
}

void RecordSync::onPeerPull(PeerLink &Link, const PullFrame &Pull) {
  Link.send(RecordsFrame{
      Registry.batchAfter(RecordKind::Rules, Pull.RulesRevision),
      Registry.batchAfter(RecordKind::Server, Pull.ServersRevision)});
}

void RecordSync::apply(RecordKind Kind, const RecordBatch &Batch,
                       const std::string &Ip) {
  bool HasGap = false;
  const ServiceRegistry::Change Change = Registry.applyBatch(
      Kind, Batch, keepMissingUntil(), Ip, HasGap, Loop.now());
  if (HasGap) {
    PeerRecords &Peer = ReportsByIp[Ip];
    std::uint64_t &Newest =
        Kind == RecordKind::Rules ? Peer.RulesRevision : Peer.ServersRevision;
    Newest = std::max(Newest, Batch.AsOf);
    if (!BehindSince)
      BehindSince = Loop.now();
  }
  notifyChange(Change);
}

void RecordSync::onPeerRecords(const std::string &Ip,
                               const RecordsFrame &Frame) {
  apply(RecordKind::Rules, Frame.Rules, Ip);
  apply(RecordKind::Server, Frame.Servers, Ip);
}

void RecordSync::tick() {
  std::vector<Record> Removed;
  const ServiceRegistry::Change Change = Registry.expireMissingServers(
      keepMissingUntil(), Loop.now(), MaxMarkers, Removed);
  notifyChange(Change);
  const std::uint64_t Revision = Registry.revision(RecordKind::Server);
  passOn(RecordKind::Server, {Revision, Revision, false, std::move(Removed)});
  updateSourceUse();
  pullMissing();
  updateConfirmations();
  if (++TickCount % TicksPerHeldRecordsLine == 0)
    logHeldRecords();
}

bool RecordSync::isOutdated(const std::optional<Instant> &ReadAt) const {
  return ReadAt && Loop.now() - *ReadAt >
                       readLimitsFor(Options.ApplyTime).MaxConfirmationAge;
}

bool RecordSync::ownReadsOutdated() const {
  return Use != SourceUse::Idle &&
         std::ranges::any_of(OwnReadAt, [this](const auto &Item) {
           return isOutdated(Item.second);
         });
}

bool RecordSync::cannotRead(const PeerRecords &Peer) const {
  // A reader that does not notice that its reads have stopped still shows it by
  // the age of its records.
  return Peer.SourceLost || (Peer.Reads && (isOutdated(Peer.RulesReadAt) ||
                                            isOutdated(Peer.ServersReadAt)));
}

void RecordSync::updateSourceUse() {
  const std::map<std::string, ZoneId> Nodes = Registry.nodeZones();
  std::set<ZoneId> Zones{Options.Zone};
  std::vector<ZonePeer> ZonePeers;
  for (const auto &[Ip, Zone] : Nodes) {
    Zones.insert(Zone);
    if (Zone != Options.Zone || Ip == Options.Ip)
      continue;
    const auto Report = ReportsByIp.find(Ip);
    const bool Heard = Report != ReportsByIp.end() && Peers.findLiveLink(Ip);
    ZonePeers.push_back({Ip, Heard, Heard && cannotRead(Report->second)});
  }
  // A node that has just started knows no nodes. It learns of them from the
  // peers that connect to it.
  std::erase_if(ReportsByIp, [&](const auto &Item) {
    return !Nodes.contains(Item.first) && !Peers.hasLiveLink(Item.first);
  });
  SourceUse Wanted =
      Registry.rules()
          ? chooseSourceUse(Options.Ip, ZonePeers, readersPerZone(Zones.size()))
          : SourceUse::Read;
  if (Wanted != SourceUse::Idle || Use == SourceUse::Idle) {
    NotNeededSince.reset();
  } else {
    if (!NotNeededSince)
      NotNeededSince = Loop.now();
    if (HasBeenIdle && Loop.now() - *NotNeededSince < KeepReadingTime)
      Wanted = Use;
  }
  if (Wanted == Use)
    return;
  const bool AfterOutage =
      OutageReportedAt && Loop.now() - *OutageReportedAt < OutageAftermath;
  Use = Wanted;
  HasBeenIdle = HasBeenIdle || Use == SourceUse::Idle;
  Source.use(Wanted, AfterOutage);
  // The next read tells whether the source can be read.
  if (Wanted == SourceUse::Idle) {
    UnavailableKinds.clear();
    ReadingSince.reset();
    OwnReadAt.clear();
  }
  Log.logStateChange(std::move(
      LogLine("source-use", Loop.now())
          .field("use", sourceUseName(Use))
          .field("zone_peers", static_cast<std::int64_t>(ZonePeers.size()))
          .field("reachable", static_cast<std::int64_t>(std::ranges::count_if(
                                  ZonePeers, &ZonePeer::Reachable)))
          .field("source_lost_at_peers",
                 static_cast<std::int64_t>(
                     std::ranges::count_if(ZonePeers, &ZonePeer::SourceLost)))
          .field("after_outage", AfterOutage ? 1 : 0)));
}

void RecordSync::pullMissing() {
  if (DifferentSince && Loop.now() - *DifferentSince >= DifferenceTimeout) {
    DifferentSince.reset();
    if (PeerLink *Link = Peers.findLiveLink(std::exchange(DifferingPeer, {})))
      Link->send(PullFrame{0, 0});
  }
  if (!BehindSince || Loop.now() - *BehindSince < PullDelay)
    return;
  BehindSince.reset();
  std::vector<PullCandidate> Candidates;
  for (const auto &[Ip, Report] : ReportsByIp)
    if (isAhead(Report) && Peers.hasLiveLink(Ip))
      Candidates.push_back({Ip, hasNewerRecord(Report), Report.Reads});
  const std::optional<std::string> Chosen =
      choosePullPeer(Candidates, LastPulledIp);
  if (!Chosen)
    return;
  LastPulledIp = *Chosen;
  Peers.findLiveLink(*Chosen)->send(
      PullFrame{Registry.revision(RecordKind::Rules),
                Registry.revision(RecordKind::Server)});
  // The answer is awaited before another peer is asked.
  BehindSince = Loop.now();
}

void RecordSync::fillStatus(StatusFrame &Status) const {
  Status.RulesRevision = Registry.newestRecord(RecordKind::Rules);
  Status.ServersRevision = Registry.newestRecord(RecordKind::Server);
  Status.ServersDigest = Registry.serversDigest();
  Status.Source = Use;
  Status.SourceLost = sourceLost() || ownReadsOutdated();
  if (ReadingSince)
    Status.SourceReadTime = Loop.now() - *ReadingSince;
  const auto AgeOf = [this](RecordKind Kind) {
    const auto ReadAt = OwnReadAt.find(Kind);
    return ReadAt == OwnReadAt.end() ? Duration{} : Loop.now() - ReadAt->second;
  };
  Status.RulesAge = AgeOf(RecordKind::Rules);
  Status.ServersAge = AgeOf(RecordKind::Server);
}

void RecordSync::notifyChange(const ServiceRegistry::Change &Change) {
  OnChange(Change);
  if (Change.RulesChanged)
    logHeldRecords();
}

} // namespace pollenwick::agent
