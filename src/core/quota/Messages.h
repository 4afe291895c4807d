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
/// that repeated and reordered reports are harmless.
struct LeaseReport {
  LeaseId Id;
  MicroTokens Spent;
  MicroTokens Returned; ///< Unspent tokens; zero unless `Closed`.
  bool Closed = false;  ///< The borrower no longer holds the lease.
};

/// Request of an ingress to the holder of a shard for a lease of tokens.
struct BorrowRequest {
  ShardId Shard;
  HostId Holder;
  IncarnationId Borrower;
  std::uint64_t Sequence = 0;
  /// Tokens that the waiting request still needs; zero for a prefetch.
  MicroTokens Needed;
  /// Largest batch that the borrower accepts; at least `Needed`.
  MicroTokens Wanted;
  /// Asks the holder to collect the fractions of a token from all shards,
  /// because no holder has a whole token.
  bool CollectFractions = false;
};

/// Answer of a holder to a borrow request. It is sent even if nothing is lent.
struct BorrowReply {
  ShardId Shard;
  IncarnationId Holder;
  IncarnationId Borrower;
  std::uint64_t Sequence = 0; ///< Of the request.
  LeaseId Lease;              ///< Unset if nothing is lent.
  MicroTokens Tokens;         ///< Zero if nothing is lent.
  /// Lifetime of the lease, from the sending of the request.
  Duration Lifetime{};
  /// Leases are being recalled or fractions collected, so that a second request
  /// after `AskAgainWait` may succeed.
  bool AskAgain = false;
};

/// Wait before a second borrow request. Covers two one-way trips between zones.
inline constexpr Duration AskAgainWait = std::chrono::milliseconds(4);

/// Report of an ingress to a holder: spent and returned tokens of its leases.
struct Settlement {
  ShardId Shard;
  IncarnationId Holder;
  IncarnationId Borrower;
  std::vector<LeaseReport> Reports;
};

/// Request of a holder to an ingress to return the unspent part of a lease.
struct Recall {
  ShardId Shard;
  IncarnationId Holder;
  IncarnationId Borrower;
  LeaseId Lease;
};

/// Request of the holder of a shard that runs low (the puller) to the holder of
/// another shard, for tokens that would otherwise be lost when that shard
/// accrues beyond its burst. The puller reserves capacity for the tokens before
/// it sends the request.
struct PullRequest {
  ShardId SourceShard;
  HostId Holder;
  ShardId TargetShard;
  IncarnationId Puller;
  std::uint64_t Sequence = 0;
  MicroTokens Wanted;
  MicroTokens PullerBalance; ///< Balance of the target shard.
  /// Asks for up to `Wanted` tokens even if the source shard runs low.
  bool GiveAll = false;
};

/// Answer to a pull request, with the tokens that the source shard gave away.
struct PullReply {
  ShardId TargetShard;
  IncarnationId Puller;
  std::uint64_t Sequence = 0;
  MicroTokens Tokens;
};

/// Request of the new holder of a shard to the previous holder to release it.
struct Claim {
  ShardId Shard;
  HostId PreviousHolder;
  RevisionKey HostsSince; ///< First revision of the claimant's host list.
  IncarnationId Claimant;
};

/// Answer of the previous holder to a claim: releases the shard and transfers
/// its balance. Valid only for the incarnation that claimed.
struct Handover {
  ShardId Shard;
  RevisionKey HostsSince; ///< Copied from the claim.
  IncarnationId Claimant;
  MicroTokens Balance;
  MicroTokens Outstanding;        ///< Tokens lent and possibly unspent.
  Duration OutstandingLifetime{}; ///< Time until the last lease expires.
};

} // namespace pollenwick

#endif
