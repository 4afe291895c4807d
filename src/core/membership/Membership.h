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

/// Intervals, timeouts and limits of failure detection and gossip.
struct MembershipSettings {
  Duration HeartbeatInterval = std::chrono::seconds(1);
  Duration SuspectAfter =
      std::chrono::seconds(3);                  ///< Time without a heartbeat.
  Duration DeadAfter = std::chrono::seconds(3); ///< Time after the suspicion.
  std::size_t RandomTargetsPerInterval =
      2; ///< In addition to the two monitors.
  std::size_t MaxUpdatesPerHeartbeat =
      24;                          ///< Keeps a datagram below 1,400 bytes.
  std::size_t PullTreeFanOut = 16; ///< Children per host in the pull tree.
};

/// Status of a host. At the same sequence the higher value wins.
enum class Liveness : std::uint8_t {
  Unknown, ///< No heartbeat or update yet; treated as alive.
  Alive,
  Suspected,
  Dead,
};

/// Status of a host, as spread by gossip. A higher sequence is newer; at the
/// same sequence the worse status wins. Sequences increase across restarts,
/// because a process starts with the wall clock time in microseconds.
struct HostUpdate {
  HostId Host;
  StartId Start;
  std::uint64_t Sequence = 0;
  Liveness Status = Liveness::Alive;
  bool Leaving = false;
  friend bool operator==(const HostUpdate &, const HostUpdate &) = default;
};

/// A heartbeat message with the updates that the sender spreads by gossip.
struct Heartbeat {
  HostUpdate Sender;
  Revision RevisionNumber; ///< Revision in force at the sender.
  Digest RevisionRoot{};
  std::vector<HostUpdate> Updates;
};

/// What the own host knows about one host.
struct Member {
  HostUpdate LatestUpdate;
  ZoneId Zone;
  Revision RevisionNumber; ///< From the last heartbeat.
  Digest RevisionRoot{};
  Instant StatusSince;
  Instant HeardAt; ///< Last heartbeat from the host itself.
  std::uint32_t AnnouncementsLeft =
      0; ///< Number of heartbeats that still have to carry the update.
  bool ListedLeaving =
      false; ///< Marked as leaving in the platform's host list.
  StartId ListedLeavingStart; ///< Incarnation that `ListedLeaving` applies to.
  bool IsListed = true;       ///< Contained in the platform's host list.
};

/// A host and its availability zone.
struct HostAndZone {
  HostId Host;
  ZoneId Zone;
};

/// Membership state of one node. Owned by the membership thread. Its size is
/// proportional to the number of hosts in the bundle.
struct MembershipState {
  std::size_t SelfIndex = 0; ///< Index in `Members`.
  std::vector<Member> Members;
  std::unordered_map<HostId, std::size_t> IndexByHost;
  std::vector<std::size_t>
      MonitorRing; ///< Members by hash; each monitors its two predecessors.
  /// Members of each zone by descending rendezvous weight.
  std::unordered_map<ZoneId, std::vector<std::size_t>> ZoneRanks;
  std::array<std::optional<std::size_t>, 2> Monitored;
  std::array<Instant, 2> MonitoredSince;
  std::vector<std::size_t> MembersToAnnounce; ///< Members with queued updates.
  /// Hosts that sent an outdated suspicion; they get the next heartbeat.
  std::vector<std::size_t> ReplyTargets;
  Instant NextHeartbeatAt;
  std::uint64_t RandomState = 1;
};

/// Returns the state of a node that knows only its own host. `FirstSequence` is
/// the wall clock time at start in microseconds; `Seed` is a random number of
/// the process.
MembershipState beginMembership(const HostAndZone &Self, StartId Start,
                                std::uint64_t FirstSequence, std::uint64_t Seed,
                                Instant Now);

/// Replaces the hosts by those of a new bundle. Keeps the state of hosts that
/// were known before, and keeps the own host even if the bundle does not list
/// it.
void setHosts(MembershipState &State, const std::vector<HostAndZone> &Hosts,
              Instant Now);

/// Merges a heartbeat. Unknown hosts are ignored.
void onHeartbeat(MembershipState &State, const MembershipSettings &Settings,
                 const Heartbeat &Received, Instant Now);

/// An entry of the platform's host list.
struct ListedHost {
  HostId Host;
  bool Leaving = false;
};
/// Merges the platform's host list. Since the list lags behind, it can only
/// mark a known incarnation as leaving; in all other respects heartbeats take
/// precedence.
void onHostList(MembershipState &State, const std::vector<ListedHost> &List);

/// A heartbeat and the hosts to send it to.
struct HeartbeatBatch {
  Heartbeat Message;
  std::vector<HostId> Targets;
};
/// Applies the timeouts of suspicions and returns the heartbeat to send, or
/// nothing if none is due. It has at most eight targets for any number of
/// hosts: two monitors, two random hosts, and up to four more while there is a
/// suspicion.
std::optional<HeartbeatBatch> dueHeartbeats(MembershipState &State,
                                            const MembershipSettings &Settings,
                                            Revision Number, const Digest &Root,
                                            Instant Now);

/// Announces that the own host is leaving.
void beginLeaving(MembershipState &State, const MembershipSettings &Settings);

/// Returns the member, or null if the host is unknown.
const Member *findMember(const MembershipState &State, const HostId &Host);
/// Returns true if the host is neither dead nor leaving according to heartbeats
/// and the host list.
bool isUsable(const Member &Item);

/// Returns the rendezvous hash weight of a host for a purpose. The result is
/// the same at every node and in every build.
std::uint64_t rendezvousWeight(std::string_view Purpose, const HostId &Host);

} // namespace pollenwick

#endif
