#ifndef POLLENWICK_CORE_MEMBERSHIP_MEMBERSHIP_H
#define POLLENWICK_CORE_MEMBERSHIP_MEMBERSHIP_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"

namespace pollenwick {

struct MembershipSettings {
  Duration HeartbeatInterval = std::chrono::seconds(1);
  Duration SuspectAfter = std::chrono::seconds(3); ///< Without a heartbeat.
  Duration DeadAfter = std::chrono::seconds(3);    ///< After the suspicion.
  std::size_t RandomTargetsPerInterval =
      2; ///< Per interval, besides two monitors.
  std::size_t MaxUpdatesPerHeartbeat =
      24;                          ///< Keeps a datagram below 1,400 bytes.
  std::size_t PullTreeFanOut = 16; ///< Of the tree of pulls.
};

enum class Liveness : std::uint8_t {
  Unknown, ///< Never heard of; taken as alive.
  Alive,
  Suspected,
  Dead,
};

/// What is known about a host. A higher sequence is newer; at the same
/// sequence the worse status wins. Sequences rise through restarts, as a
/// process starts at the wall clock's reading.
struct HostUpdate {
  HostId Host;
  StartId Start;
  std::uint64_t Sequence = 0;
  Liveness Status = Liveness::Alive;
  bool Leaving = false;
  friend bool operator==(const HostUpdate &, const HostUpdate &) = default;
};

struct Heartbeat {
  HostUpdate Sender;
  Revision RevisionNumber; ///< Revision in force at the sender.
  Digest RevisionRoot{};
  std::vector<HostUpdate> Updates;
};

struct Member {
  HostUpdate LatestUpdate;
  ZoneId Zone;
  Revision RevisionNumber; ///< As last heard.
  Digest RevisionRoot{};
  Instant StatusSince;
  Instant HeardAt;                     ///< Last heartbeat from the host itself.
  std::uint32_t AnnouncementsLeft = 0; ///< Times to pass the news on.
  bool ListedLeaving = false;          ///< By the platform's host list.
  StartId ListedLeavingStart;          ///< The incarnation that was then known.
  bool IsListed = true;
};

struct HostAndZone {
  HostId Host;
  ZoneId Zone;
};

/// Owned by the membership duty. Its size follows the hosts of the bundle.
struct MembershipState {
  std::size_t SelfIndex = 0; ///< Index in `Members`.
  std::vector<Member> Members;
  std::unordered_map<HostId, std::size_t> IndexByHost;
  std::vector<std::size_t>
      MonitorRing; ///< Members by hash; neighbours monitor.
  /// Members of each zone by falling rendezvous weight.
  std::unordered_map<ZoneId, std::vector<std::size_t>> ZoneRanks;
  std::array<std::optional<std::size_t>, 2> Monitored;
  std::array<Instant, 2> MonitoredSince;
  std::vector<std::size_t> MembersToAnnounce; ///< Members with news to pass on.
  /// Hosts with a false suspicion; they get the next heartbeat.
  std::vector<std::size_t> ReplyTargets;
  Instant NextHeartbeatAt;
  std::uint64_t RandomState = 1;
};

/// A node that knows its own host only. `FirstSequence` is the wall clock in
/// microseconds at start; `Seed` is a random number of the process.
MembershipState beginMembership(const HostAndZone &Self, StartId Start,
                                std::uint64_t FirstSequence, std::uint64_t Seed,
                                Instant Now);

/// Takes the hosts of a new bundle; keeps what is known about the others. The
/// own host stays even if the bundle does not list it.
void setHosts(MembershipState &State, const std::vector<HostAndZone> &Hosts,
              Instant Now);

/// Merges a heartbeat. Unknown hosts are ignored.
void onHeartbeat(MembershipState &State, const MembershipSettings &Settings,
                 const Heartbeat &Received, Instant Now);

struct ListedHost {
  HostId Host;
  bool Leaving = false;
};
/// Merges the platform's host list. The list lags: it marks a known
/// incarnation as leaving, but never overrules a heartbeat otherwise.
void onHostList(MembershipState &State, const std::vector<ListedHost> &List);

struct HeartbeatBatch {
  Heartbeat Message;
  std::vector<HostId> Targets;
};
/// Moves statuses on by their timeouts and gives the heartbeat that is due.
/// At most eight targets, however many hosts there are: two monitors, two at
/// random, and up to four more while there is a suspicion.
std::optional<HeartbeatBatch> dueHeartbeats(MembershipState &State,
                                            const MembershipSettings &Settings,
                                            Revision Number, const Digest &Root,
                                            Instant Now);

/// Announces that the own host is leaving.
void beginLeaving(MembershipState &State, const MembershipSettings &Settings);

const Member *findMember(const MembershipState &State, const HostId &Host);
/// Neither dead nor leaving, by heartbeats or by the host list.
bool isUsable(const Member &Item);

/// The two usable hosts of a zone with the highest rendezvous weight. They
/// read the configuration service.
std::vector<HostId> watchers(const MembershipState &State, const ZoneId &Zone);
/// True if the own host is a watcher of its zone.
bool isWatcher(const MembershipState &State);

/// Hosts to pull the configuration from, in order of preference: the parent in
/// a tree over the usable hosts of the zone and fallbacks that stand higher in
/// the tree. A watcher gets the watchers of other zones. Every parent in the
/// zone has a higher weight than the own host, so that pulls have no cycle
/// even when views differ.
std::vector<HostId> pullParents(const MembershipState &State,
                                const MembershipSettings &Settings);

/// The same at every node and in every build.
std::uint64_t rendezvousWeight(std::string_view Purpose, const HostId &Host);

} // namespace pollenwick

#endif
