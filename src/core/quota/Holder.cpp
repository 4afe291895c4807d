#include "core/quota/Holder.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pollenwick {
namespace {

constexpr std::int64_t MicrosPerSecond = 1'000'000;
/// Longest gap that accrues tokens, so that rate x time fits into 64 bits. A
/// longer gap fills any bucket that a bundle can describe.
constexpr Duration MaxAccrualGap = std::chrono::hours(24);
constexpr std::int64_t MaxMicroTokensPerSecond = 1'000'000'000'000;

/// The low mark is the burst divided by this. Only while its balance is above
/// the low mark, a shard lends batches and answers pulls without `GiveAll`.
constexpr int LowMarkDivisor = 2;
/// A batch is at most the balance above the low mark divided by this, so that
/// several borrowers can get one.
constexpr int BatchDivisor = 4;

/// Age from which a lease is recalled. A younger lease is probably in use.
constexpr Duration MinRecallAge = std::chrono::milliseconds(6);
/// Number of leases examined for recall per refused request, oldest first,
/// because the oldest leases are the most likely to be idle.
constexpr int MaxRecallScan = 16;

MicroTokens freeCapacity(const Shard &OwnShard) {
  return OwnShard.Share.Burst - OwnShard.Balance - OwnShard.Outstanding -
         OwnShard.Inherited - OwnShard.Reserved;
}

/// Adds the tokens that the rate yields from `AccruedAt` to `Until`, up to the
/// free capacity.
void accrueUntil(Shard &OwnShard, Instant Until) {
  const Duration Gap = std::min(Until - OwnShard.AccruedAt, MaxAccrualGap);
  if (Gap <= Duration::zero())
    return;
  OwnShard.AccruedAt = Until;
  if (!OwnShard.Active)
    return;
  const std::int64_t Rate = OwnShard.Share.RatePerSecond.Value;
  assert(Rate >= 0 && Rate <= MaxMicroTokensPerSecond);
  const std::int64_t Seconds = Gap.count() / MicrosPerSecond;
  const std::int64_t Millionths =
      Rate * (Gap.count() % MicrosPerSecond) + OwnShard.AccrualRemainder;
  const MicroTokens AccruedTokens{Rate * Seconds +
                                  Millionths / MicrosPerSecond};
  const MicroTokens FreeCapacity = freeCapacity(OwnShard);
  if (AccruedTokens < FreeCapacity) {
    OwnShard.Balance += AccruedTokens;
    OwnShard.AccrualRemainder = Millionths % MicrosPerSecond;
    return;
  }
  OwnShard.Balance += std::max(FreeCapacity, MicroTokens{});
  OwnShard.AccrualRemainder = 0;
}

MicroTokens unsettledTokens(const LentLease &Lease) {
  return Lease.Tokens - Lease.Spent;
}

Shard *findShard(HolderState &State, const ShardId &Id) {
  if (Id.Zone != State.Zone)
    return nullptr;
  auto Found = State.Shards.find(Id.Customer);
  return Found == State.Shards.end() ? nullptr : &Found->second;
}

bool mayGrant(const HolderState &State, const Shard &OwnShard,
              const ViewLease &View, Instant Now) {
  return OwnShard.Active && !OwnShard.Retired && View.isValidAt(Now) &&
         View.HostsSince == State.HostsSince;
}

/// Returns the number of tokens to lend. Lends more than `Needed` only while
/// the shard is more than half full.
MicroTokens lendableTokens(const Shard &OwnShard,
                           const BorrowRequest &Request) {
  // Lending only a part of the needed tokens would leave unusable fractions of
  // a token at many ingresses at once.
  if (OwnShard.Balance < Request.Needed || Request.Needed < MicroTokens{})
    return {};
  const std::int64_t LowMark = OwnShard.Share.Burst.Value / LowMarkDivisor;
  const MicroTokens Spare{(OwnShard.Balance.Value - LowMark) / BatchDivisor};
  if (Request.Needed == MicroTokens{}) {
    if (OwnShard.Balance.Value - LowMark < OneToken.Value)
      return {};
    const std::int64_t WholeTokens =
        Spare.Value / OneToken.Value * OneToken.Value;
    return std::min(Request.Wanted,
                    std::max(OneToken, MicroTokens{WholeTokens}));
  }
  return std::max(Request.Needed, std::min(Request.Wanted, Spare));
}

std::vector<Recall> recallIdleLeases(Shard &OwnShard,
                                     const BorrowRequest &Request,
                                     const IncarnationId &Self,
                                     Duration Lifetime, Instant Now,
                                     bool &Pending) {
  std::vector<Recall> Recalls;
  int Scanned = 0;
  for (auto &[Id, Lease] : OwnShard.Leases) {
    if (++Scanned > MaxRecallScan)
      break;
    const Instant GrantedAt = Lease.Expiry - Lifetime;
    if (Lease.Borrower == Request.Borrower || Now - GrantedAt < MinRecallAge)
      continue;
    Pending = true;
    if (!std::exchange(Lease.Recalled, true))
      Recalls.push_back({Request.Shard, Self, Lease.Borrower, Id});
  }
  return Recalls;
}

} // namespace

HolderState makeHolder(IncarnationId Self, ZoneId Zone, Instant Now) {
  HolderState State;
  State.Self = std::move(Self);
  State.Zone = std::move(Zone);
  State.StartedAt = Now;
  return State;
}

void accrue(Shard &OwnShard, Instant Now) {
  // Each lease occupies capacity until it expires. Removing it earlier would
  // credit accrual for a time in which its tokens could still be spent.
  auto DropInherited = [&] {
    if (OwnShard.Inherited > MicroTokens{} && OwnShard.InheritedExpiry <= Now) {
      accrueUntil(OwnShard, OwnShard.InheritedExpiry);
      OwnShard.Inherited = MicroTokens{};
    }
  };
  while (!OwnShard.Leases.empty() &&
         OwnShard.Leases.begin()->second.Expiry <= Now) {
    auto First = OwnShard.Leases.begin();
    if (OwnShard.InheritedExpiry <= First->second.Expiry)
      DropInherited();
    accrueUntil(OwnShard, First->second.Expiry);
    OwnShard.Outstanding -= unsettledTokens(First->second);
    OwnShard.Leases.erase(First);
  }
  DropInherited();
  accrueUntil(OwnShard, Now);
}

LendResult lend(HolderState &State, const BorrowRequest &Request,
                const ViewLease &View, Instant Now) {
  LendResult Result;
  BorrowReply &Reply = Result.Reply;
  Reply.Shard = Request.Shard;
  Reply.Holder = State.Self;
  Reply.Borrower = Request.Borrower;
  Reply.Sequence = Request.Sequence;
  Reply.Lifetime = State.Rules.QuotaLease;
  Shard *OwnShard = findShard(State, Request.Shard);
  if (OwnShard == nullptr || !mayGrant(State, *OwnShard, View, Now))
    return Result;
  accrue(*OwnShard, Now);
  Reply.Tokens = lendableTokens(*OwnShard, Request);
  const Duration Lifetime = lenderLifetime(State.Rules.QuotaLease);
  if (Reply.Tokens > MicroTokens{}) {
    Reply.Lease = LeaseId(State.NextLeaseNumber++);
    OwnShard->Balance -= Reply.Tokens;
    OwnShard->Outstanding += Reply.Tokens;
    OwnShard->Leases[Reply.Lease] = {Request.Borrower, Request.Sequence,
                                     Reply.Tokens,     MicroTokens{},
                                     Now + Lifetime,   false};
  }
  if (Reply.Tokens >= Request.Needed)
    return Result;
  Result.Recalls = recallIdleLeases(*OwnShard, Request, State.Self, Lifetime,
                                    Now, Reply.AskAgain);
  if (Request.CollectFractions) {
    Result.Pulls =
        requestPulls(State, Request.Shard.Customer, *OwnShard, true, Now);
    Reply.AskAgain =
        Reply.AskAgain ||
        std::ranges::any_of(OwnShard->PendingPulls, [&](auto &Entry) {
          return Now - Entry.second.SentAt < AskAgainWait;
        });
  }
  return Result;
}

void applySettlement(HolderState &State, const Settlement &Message,
                     Instant Now) {
  Shard *OwnShard = findShard(State, Message.Shard);
  if (OwnShard == nullptr || Message.Holder != State.Self)
    return;
  accrue(*OwnShard, Now);
  for (const LeaseReport &Report : Message.Reports) {
    auto Found = OwnShard->Leases.find(Report.Id);
    // The lease was closed or has expired. Applying the report would credit the
    // returned tokens twice.
    if (Found == OwnShard->Leases.end() ||
        Found->second.Borrower != Message.Borrower)
      continue;
    LentLease &Lease = Found->second;
    const MicroTokens Spent =
        std::clamp(Report.Spent, Lease.Spent, Lease.Tokens);
    OwnShard->Outstanding -= Spent - Lease.Spent;
    Lease.Spent = Spent;
    if (!Report.Closed)
      continue;
    OwnShard->Outstanding -= unsettledTokens(Lease);
    OwnShard->Balance +=
        std::clamp(Report.Returned, MicroTokens{}, unsettledTokens(Lease));
    OwnShard->Leases.erase(Found);
  }
  // After the share was lowered, the returned tokens may exceed the capacity.
  if (const MicroTokens FreeCapacity = freeCapacity(*OwnShard);
      FreeCapacity < MicroTokens{})
    OwnShard->Balance =
        std::max(MicroTokens{}, OwnShard->Balance + FreeCapacity);
}

PullReply answerPull(HolderState &State, const PullRequest &Request,
                     const ViewLease &View, Instant Now) {
  PullReply Reply{Request.TargetShard, Request.Puller, Request.Sequence, {}};
  Shard *OwnShard = findShard(State, Request.SourceShard);
  if (OwnShard == nullptr || !mayGrant(State, *OwnShard, View, Now))
    return Reply;
  accrue(*OwnShard, Now);
  if (Request.GiveAll) {
    Reply.Tokens = std::clamp(Request.Wanted, MicroTokens{}, OwnShard->Balance);
    OwnShard->Balance -= Reply.Tokens;
    return Reply;
  }
  // Below the low mark, the shard is not about to lose accrual at its burst.
  if (OwnShard->Balance.Value <= OwnShard->Share.Burst.Value / LowMarkDivisor ||
      OwnShard->Balance <= Request.PullerBalance)
    return Reply;
  Reply.Tokens = std::min(
      std::max(Request.Wanted, MicroTokens{}),
      MicroTokens{(OwnShard->Balance - Request.PullerBalance).Value / 2});
  OwnShard->Balance -= Reply.Tokens;
  return Reply;
}

void applyPullReply(HolderState &State, const PullReply &Reply, Instant Now) {
  Shard *OwnShard = findShard(State, Reply.TargetShard);
  if (OwnShard == nullptr || Reply.Puller != State.Self)
    return;
  accrue(*OwnShard, Now);
  auto Found = OwnShard->PendingPulls.find(Reply.Sequence);
  // Without reserved capacity, the tokens could exceed the burst.
  if (Found == OwnShard->PendingPulls.end())
    return;
  const PendingPull Pull = Found->second;
  OwnShard->PendingPulls.erase(Found);
  OwnShard->Reserved -= Pull.Reserved;
  if (Now - Pull.SentAt >= PullTimeout || Reply.Tokens <= MicroTokens{})
    return;
  OwnShard->Balance += std::min(Reply.Tokens, Pull.Reserved);
  OwnShard->PullInterval = Duration::zero();
}

} // namespace pollenwick
