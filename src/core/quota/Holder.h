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

/// Lease that a holder granted, as recorded at the holder (the lender).
struct LentLease {
  IncarnationId Borrower;
  std::uint64_t Sequence = 0; ///< Of the borrow request.
  MicroTokens Tokens;
  MicroTokens Spent; ///< Total of the latest settlement.
  Instant Expiry{};
  bool Recalled = false;
};

/// Time for which capacity stays reserved for the reply to a pull request.
inline constexpr Duration PullTimeout = std::chrono::milliseconds(250);

/// Pull request without a reply yet, and the capacity reserved for its tokens.
struct PendingPull {
  ZoneId SourceZone;
  MicroTokens Reserved;
  Instant SentAt{};
};

/// State of one shard at its holder. Invariant: Balance + Outstanding +
/// Inherited + Reserved does not exceed Share.Burst, except after a bundle
/// lowered the share.
struct Shard {
  ShardShare Share;
  /// Share of the present bundle, possibly larger than `Share`. Takes effect
  /// when no node can still act on an older host list. Unset if the share of
  /// the bundle is in effect.
  std::optional<ShardShare> PendingShare;
  bool Active = false; ///< The shard accrues and lends tokens.
  /// The present host list assigns the shard to another host.
  bool Retired = false;
  /// Time until which leases of an earlier process or holder may still be
  /// valid. For a retired shard: time of its removal.
  Instant WaitUntil{};
  /// Host that is asked to release the shard while it is inactive; empty if
  /// unknown.
  HostId PreviousHolder;
  /// Handover with which the shard was released. Sent again if the same
  /// claimant repeats its claim; unset if the shard was not released.
  std::optional<Handover> SentHandover;

  Instant AccruedAt{};
  MicroTokens Balance;
  std::int64_t AccrualRemainder = 0;   ///< Millionths of a micro-token.
  std::map<LeaseId, LentLease> Leases; ///< In order of expiry.
  MicroTokens Outstanding; ///< Tokens in `Leases` not reported as spent.
  /// Tokens that the previous holder lent and that may be unspent.
  MicroTokens Inherited;
  Instant InheritedExpiry{}; ///< Latest end of the inherited leases.

  std::map<std::uint64_t, PendingPull> PendingPulls; ///< By sequence.
  MicroTokens Reserved; ///< Sum over `PendingPulls`.
  Instant NextPullAt{};
  /// Time between rounds of pulls; zero after a pull that brought tokens.
  Duration PullInterval{};
  Instant NextClaimAt{};
};

/// All shards of which one node is the holder. Used by a single thread.
struct HolderState {
  IncarnationId Self;
  ZoneId Zone;
  Instant StartedAt{};
  /// Revision of the applied bundle; number 0 means that there is none yet.
  RevisionKey BundleRevision;
  RevisionKey HostsSince; ///< First revision of the present host list.
  Policy Rules;
  std::unordered_map<CustomerId, Shard> Shards;
  /// Holders of all shards of the customers of which this node holds a shard.
  std::unordered_map<CustomerId, std::vector<ShardHolder>> HoldersByCustomer;
  std::uint64_t NextLeaseNumber = 1;
  std::uint64_t NextPullSequence = 1;
};

/// Position of a bundle in the sequence of host lists. Shows whether a shard
/// has certainly had the same holder since the revision that a node has
/// applied.
struct HostListHistory {
  /// First revision of the unbroken run of revisions with this host list.
  RevisionKey HostsSince;
  /// First revision of the preceding run, which had another host list; number 0
  /// means that it is unknown.
  RevisionKey PreviousHostsSince;
};

/// Reply to a borrow request, and the messages to other nodes that it causes.
struct LendResult {
  BorrowReply Reply;
  std::vector<Recall> Recalls;
  std::vector<PullRequest> Pulls;
};

/// Messages that a tick of the holder makes due.
struct HolderActions {
  std::vector<PullRequest> Pulls;
  std::vector<Claim> Claims;
};

/// Creates the state of a process that has just bound the peer port of its
/// host.
HolderState makeHolder(IncarnationId Self, ZoneId Zone, Instant Now);

/// Applies an accepted bundle: keeps, retires and creates shards. `Previous` is
/// the bundle that was applied before, or null. Does nothing unless `Key` is
/// newer than the applied revision.
void applyBundle(HolderState &State, const Bundle &Rules,
                 const RevisionKey &Key, const HostListHistory &Hosts,
                 const Bundle *Previous, Instant Now);

/// Accrues tokens up to `Now` and removes the leases that expired by then.
void accrue(Shard &OwnShard, Instant Now);

/// Answers a borrow request. Lends nothing unless the view lease is valid and
/// the shard is active.
LendResult lend(HolderState &State, const BorrowRequest &Request,
                const ViewLease &View, Instant Now);

/// Applies the spent and returned counts that a borrower reports.
void applySettlement(HolderState &State, const Settlement &Message,
                     Instant Now);

/// Answers a pull request of another shard that runs low. Gives no tokens
/// unless the view lease is valid and this shard is active.
PullReply answerPull(HolderState &State, const PullRequest &Request,
                     const ViewLease &View, Instant Now);
/// Credits the tokens of a pull reply, at most once and only up to the capacity
/// that was reserved for them.
void applyPullReply(HolderState &State, const PullReply &Reply, Instant Now);

/// Releases a shard to the holder that a newer host list names. Returns
/// nothing if the claimant's list is older than the applied one, or is the same
/// and assigns the shard to this node; or if the shard is inactive or was
/// released with another claim.
std::optional<Handover> releaseShard(HolderState &State, const Claim &Message,
                                     Instant Now);
/// Takes over a released shard. Does nothing unless this incarnation claimed
/// the shard, still waits for it and has a valid view lease.
void acceptHandover(HolderState &State, const Handover &Message,
                    const ViewLease &View, Instant Now);

/// Activates shards whose wait has ended, applies pending shares and returns
/// the pulls and claims that are due. Must be called every `HolderTickInterval`
/// unless `isIdle`.
HolderActions tickHolder(HolderState &State, const ViewLease &View,
                         Instant Now);

/// Reserves capacity in a shard for tokens of the other zones' shards and
/// returns the pull requests. Skips zones with a pending pull. `GiveAll` is
/// copied to the requests.
std::vector<PullRequest> requestPulls(HolderState &State,
                                      const CustomerId &Customer,
                                      Shard &OwnShard, bool GiveAll,
                                      Instant Now);

/// Returns whether no tick is needed: every shard is active and full, has no
/// pending share or pull, and has lent no tokens that may be unspent.
bool isIdle(const HolderState &State);

inline constexpr Duration HolderTickInterval = std::chrono::milliseconds(5);

} // namespace pollenwick

#endif
