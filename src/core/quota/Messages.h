#ifndef POLLENWICK_CORE_QUOTA_MESSAGES_H
#define POLLENWICK_CORE_QUOTA_MESSAGES_H

#include <cstdint>
#include <optional>
#include <vector>

#include "core/quota/Sharding.h"
#include "core/view/ViewLease.h"
#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"
#include "pollenwick/Tokens.h"

namespace pollenwick {

/// Number of a lease, unique within the incarnation of its lender.
using LeaseId = NumberId<struct LeaseTag>;

/// State of a lease at the borrower. Counts are totals, not differences, so
/// that repeated and reordered reports do no harm.
struct LeaseReport {
  LeaseId Id;
  MicroTokens Spent;
  MicroTokens Returned;
  bool Closed = false; ///< The borrower no longer holds the lease.
};

/// Ingress to holder.
struct BorrowRequest {
  ShardId Shard;
  HostId Holder;
  IncarnationId Borrower;
  std::uint64_t Sequence = 0;
  MicroTokens Needed; ///< What the waiting request lacks; zero: a prefetch.
  MicroTokens Wanted; ///< Accepted as a batch; at least `Needed`.
  /// No holder has a whole token: collect the fractions of all shards here.
  bool CollectFractions = false;
};

/// Holder to ingress. Always an answer, also when nothing was lent.
struct BorrowReply {
  ShardId Shard;
  IncarnationId Holder;
  IncarnationId Borrower;
  std::uint64_t Sequence = 0; ///< Of the request.
  LeaseId Lease;
  MicroTokens Tokens; ///< Zero: nothing lent.
  Duration Lifetime{};
  /// Leases are being recalled or fractions collected: worth asking once more
  /// after `AskAgainWait`.
  bool AskAgain = false;
};

/// Covers two one-way trips between zones.
inline constexpr Duration AskAgainWait = std::chrono::milliseconds(4);

/// Ingress to holder: spent and returned counts.
struct Settlement {
  ShardId Shard;
  IncarnationId Holder;
  IncarnationId Borrower;
  std::vector<LeaseReport> Reports;
};

/// Holder to ingress: asks for the unspent part of a lease.
struct Recall {
  ShardId Shard;
  IncarnationId Holder;
  IncarnationId Borrower;
  LeaseId Lease;
};

/// Holder of a shard that runs dry, to the holder of another shard: asks for
/// tokens that would otherwise be lost to the cap. Room for the tokens is set
/// aside before the request is sent.
struct PullRequest {
  ShardId SourceShard;
  HostId Holder;
  ShardId TargetShard;
  IncarnationId Puller;
  std::uint64_t Sequence = 0;
  MicroTokens Wanted;
  MicroTokens PullerBalance; ///< Of the puller.
  bool GiveAll = false;      ///< Give whatever is there, also from a low shard.
};

struct PullReply {
  ShardId TargetShard;
  IncarnationId Puller;
  std::uint64_t Sequence = 0;
  MicroTokens Tokens;
};

/// New holder to previous holder: asks for the release of a shard.
struct Claim {
  ShardId Shard;
  HostId PreviousHolder;
  RevisionKey HostsSince; ///< First revision of the claimant's host list.
  IncarnationId Claimant;
};

/// Previous holder to new holder: the release, with the balance. Valid for
/// the one incarnation that claimed.
struct Handover {
  ShardId Shard;
  RevisionKey HostsSince; ///< Of the claim.
  IncarnationId Claimant;
  MicroTokens Balance;
  MicroTokens Outstanding;        ///< Lent, may be unspent.
  Duration OutstandingLifetime{}; ///< Until the last lease ends.
};

} // namespace pollenwick

#endif
