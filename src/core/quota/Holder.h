#ifndef POLLENWICK_CORE_QUOTA_HOLDER_H
#define POLLENWICK_CORE_QUOTA_HOLDER_H

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/quota/Messages.h"
#include "core/view/ViewLease.h"

namespace pollenwick {

/// A lease as its lender knows it.
struct LentLease {
  IncarnationId Borrower;
  std::uint64_t Sequence = 0;
  MicroTokens Tokens;
  MicroTokens Spent;
  Instant Expiry{};
  bool Recalled = false;
};

/// Room is set aside for this long for tokens on their way.
inline constexpr Duration PullTimeout = std::chrono::milliseconds(250);

/// Room set aside for tokens that were asked from another shard.
struct PendingPull {
  ZoneId SourceZone;
  MicroTokens Reserved;
  Instant SentAt{};
};

/// One shard at its holder. Invariant: Balance + Outstanding + Inherited +
/// Reserved never exceeds Share.Burst by anything but a lowered share.
struct Shard {
  ShardShare Share;
  /// Larger share that takes effect when no node acts on an older host list.
  std::optional<ShardShare> PendingShare;
  bool Active = false;  ///< Accrues and lends.
  bool Retired = false; ///< Another host keeps it by the present host list.
  /// Earliest end of the wait for leases of an older process.
  Instant WaitUntil{};
  /// Asked for the balance while waiting; empty if unknown.
  HostId PreviousHolder;
  std::optional<Handover> SentHandover; ///< Sent again if it is claimed again.

  Instant AccruedAt{};
  MicroTokens Balance;
  std::int64_t AccrualRemainder = 0;   ///< Millionths of a micro-token.
  std::map<LeaseId, LentLease> Leases; ///< In order of expiry.
  MicroTokens Outstanding;             ///< Unsettled part of `Leases`.
  MicroTokens Inherited;               ///< Lent by the previous holder.
  Instant InheritedExpiry{};

  std::map<std::uint64_t, PendingPull> PendingPulls;
  MicroTokens Reserved;
  Instant NextPullAt{};
  Duration PullInterval{};
  Instant NextClaimAt{};
};

/// All shards of one node. Owned by one duty thread.
struct HolderState {
  IncarnationId Self;
  ZoneId Zone;
  Instant StartedAt{};
  RevisionKey BundleRevision; ///< Of the bundle; number 0: none yet.
  RevisionKey HostsSince;     ///< First revision of the present host list.
  Policy Rules;
  std::unordered_map<CustomerId, Shard> Shards;
  /// Holders of all shards of the customers whose shard is kept here.
  std::unordered_map<CustomerId, std::vector<ShardHolder>> HoldersByCustomer;
  std::uint64_t NextLeaseNumber = 1;
  std::uint64_t NextPullSequence = 1;
};

/// Where a bundle stands in the chain of host lists. Tells whether a shard's
/// holder is known to have been the same all the time since the held revision.
struct HostListHistory {
  /// First revision of the unbroken run of revisions with this host list.
  RevisionKey HostsSince;
  /// First revision of the run with the host list before that; number 0:
  /// unknown.
  RevisionKey PreviousHostsSince;
};

struct LendResult {
  BorrowReply Reply;
  std::vector<Recall> Recalls;
  std::vector<PullRequest> Pulls;
};

/// Messages that are due.
struct HolderActions {
  std::vector<PullRequest> Pulls;
  std::vector<Claim> Claims;
};

/// State of a process that has just bound the peer port of its host.
HolderState makeHolder(IncarnationId Self, ZoneId Zone, Instant Now);

/// Applies an accepted bundle: keeps, retires and creates shards. `Previous` is
/// the bundle that was held before, if any. Ignored unless `Key` is newer.
void applyBundle(HolderState &State, const Bundle &Rules,
                 const RevisionKey &Key, const HostListHistory &Hosts,
                 const Bundle *Previous, Instant Now);

/// Accrues to `Now`, and drops the leases that expire on the way.
void accrue(Shard &OwnShard, Instant Now);

/// Answers a borrow request. Lends nothing without a view lease.
LendResult lend(HolderState &State, const BorrowRequest &Request,
                const ViewLease &View, Instant Now);

/// Applies spent and returned counts.
void applySettlement(HolderState &State, const Settlement &Message,
                     Instant Now);

/// Gives tokens to a shard that runs dry.
PullReply answerPull(HolderState &State, const PullRequest &Request,
                     const ViewLease &View, Instant Now);
/// Credits given tokens, at most once and only into the room set aside.
void applyPullReply(HolderState &State, const PullReply &Reply, Instant Now);

/// Releases a shard to the holder named by a newer host list.
std::optional<Handover> releaseShard(HolderState &State, const Claim &Message,
                                     Instant Now);
/// Takes a released shard over; ignored unless this incarnation waits for it.
void acceptHandover(HolderState &State, const Handover &Message,
                    const ViewLease &View, Instant Now);

/// Ends waits, applies raises, and returns the messages that are due. Call it
/// every `HolderTickInterval`.
HolderActions tickHolder(HolderState &State, const ViewLease &View,
                         Instant Now);

/// Sets room aside in a shard for tokens of the other zones and returns the
/// requests, except to zones that have not answered yet.
std::vector<PullRequest> requestPulls(HolderState &State,
                                      const CustomerId &Customer,
                                      Shard &OwnShard, bool GiveAll,
                                      Instant Now);

/// True while every shard is active and full and nothing of it is lent or on
/// its way, so that no tick is due.
bool isIdle(const HolderState &State);

inline constexpr Duration HolderTickInterval = std::chrono::milliseconds(5);

} // namespace pollenwick

#endif
