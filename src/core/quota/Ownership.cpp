#include "core/quota/Holder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pollenwick {
namespace {

/// Bounds of the time between two pulls of a shard that runs dry. Grows while
/// the others have nothing to give.
constexpr Duration ShortestPull = std::chrono::milliseconds(40);
constexpr Duration LongestPull = std::chrono::milliseconds(320);
/// Time between two claims of a shard.
constexpr Duration ClaimInterval = std::chrono::milliseconds(50);
/// A shard pulls while it has less than this part of its burst. Another shard
/// may be full, and lose accrual, well before this one runs dry.
constexpr std::int64_t PullBelowEighths = 6;

ShardShare smaller(const ShardShare &A, const ShardShare &B) {
  return {std::min(A.RatePerSecond, B.RatePerSecond),
          std::min(A.Burst, B.Burst)};
}

void applyShare(Shard &Kept, const ShardShare &Share) {
  Kept.Share = Share;
  const MicroTokens Room = Share.Burst - Kept.Balance - Kept.Outstanding -
                           Kept.Inherited - Kept.Reserved;
  if (Room <= MicroTokens{}) {
    Kept.Balance = std::max(MicroTokens{}, Kept.Balance + Room);
    Kept.AccrualRemainder = 0;
  }
}

/// Share of a zone, zero if the bundle does not know customer or zone.
ShardShare shareIn(const Bundle &Rules, const CustomerId &Customer,
                   const ZoneId &Zone) {
  const std::vector<ZoneId> Zones = zonesOf(Rules);
  auto Place = std::ranges::find(Zones, Zone);
  auto Spec = std::ranges::find(Rules.Customers, Customer, &CustomerSpec::Id);
  if (Place == Zones.end() || Spec == Rules.Customers.end())
    return {};
  return shareOf(*Spec, static_cast<std::size_t>(Place - Zones.begin()),
                 Zones.size());
}

HostId holderIn(const std::vector<ShardHolder> &Holders, const ZoneId &Zone) {
  auto Found = std::ranges::find(Holders, Zone, &ShardHolder::Zone);
  return Found == Holders.end() ? HostId() : Found->Host;
}

void retire(Shard &Kept, Instant Now) {
  accrue(Kept, Now);
  Kept.Retired = true;
  Kept.PendingShare.reset();
  Kept.PendingPulls.clear();
  Kept.Reserved = MicroTokens{};
}

Shard waitingShard(const HolderState &State, Instant Now) {
  Shard Fresh;
  // The first bundle follows the start of the process, whose predecessor may
  // have lent until then. A later new shard may have been kept here before.
  const Instant From =
      State.BundleRevision.Number.Value == 0 ? State.StartedAt : Now;
  Fresh.WaitUntil = From + lenderLifetime(State.Rules.QuotaLease);
  Fresh.AccruedAt = Now;
  return Fresh;
}

bool fenceEnded(const HolderState &State, const ViewLease &View, Instant Now) {
  return View.AnchoredAt && View.HostsSince == State.HostsSince &&
         Now >= *View.AnchoredAt + fenceWait(State.Rules);
}

/// A restarted process acts as holder only on a view confirmed since its
/// start: its predecessor may have released the shard.
bool confirmedSinceStart(const HolderState &State, const ViewLease &View,
                         Instant Now) {
  return View.validAt(Now) && View.HostsSince == State.HostsSince &&
         View.ConfirmedAt >= State.StartedAt;
}

void activate(Shard &Kept, Instant Now) {
  Kept.Active = true;
  Kept.AccruedAt = Now;
  Kept.AccrualRemainder = 0;
  Kept.PreviousHolder = HostId();
}

void duePulls(HolderState &State, const CustomerId &Customer, Shard &Kept,
              Instant Now, std::vector<PullRequest> &Pulls) {
  std::erase_if(Kept.PendingPulls, [&](const auto &Entry) {
    if (Now - Entry.second.SentAt < PullTimeout)
      return false;
    Kept.Reserved -= Entry.second.Reserved;
    return true;
  });
  if (Kept.Balance.Value >= Kept.Share.Burst.Value / 8 * PullBelowEighths ||
      Now < Kept.NextPullAt)
    return;
  Kept.PullInterval =
      std::clamp(Kept.PullInterval * 2, ShortestPull, LongestPull);
  Kept.NextPullAt = Now + Kept.PullInterval;
  std::ranges::move(requestPulls(State, Customer, Kept, false, Now),
                    std::back_inserter(Pulls));
}

} // namespace

void applyBundle(HolderState &State, const Bundle &Rules,
                 const RevisionKey &Key, const HostListHistory &Hosts,
                 const Bundle *Previous, Instant Now) {
  if (Key <= State.BundleRevision)
    return;
  State.Rules = Rules.Rules;
  const bool First = State.BundleRevision.Number.Value == 0;
  const bool SameHosts = !First && State.BundleRevision >= Hosts.HostsSince;
  // Exactly one change of the host list, and both lists are known here.
  const bool Successor = !First && !SameHosts && Previous != nullptr &&
                         Hosts.PreviousHostsSince.Number.Value != 0 &&
                         State.BundleRevision >= Hosts.PreviousHostsSince;
  std::unordered_map<CustomerId, Shard> Shards;
  State.HoldersByCustomer.clear();
  for (const CustomerSpec &Customer : Rules.Customers) {
    std::vector<ShardHolder> Holders = holdersOf(Rules, Customer.Id);
    if (holderIn(Holders, State.Zone) != State.Self.Host)
      continue;
    const ShardShare Share = shareIn(Rules, Customer.Id, State.Zone);
    auto Old = State.Shards.find(Customer.Id);
    const bool Known = Old != State.Shards.end() && !Old->second.Retired;
    // Released to the holder of a host list that is still ahead: kept as
    // released, whatever the lists on the way say.
    const bool Ahead = Known && Old->second.SentHandover &&
                       Old->second.SentHandover->HostsSince > Hosts.HostsSince;
    if (Ahead) {
      Shards.emplace(Customer.Id, std::move(Old->second));
    } else if (Known && !Old->second.SentHandover && (SameHosts || Successor)) {
      Shard &Same = Old->second;
      accrue(Same, Now);
      // After a change of the zones, other holders may still act on their
      // larger shares.
      const bool Fenced = !SameHosts || Same.PendingShare;
      Same.PendingShare.reset();
      if (Fenced)
        Same.PendingShare = Share;
      if (!SameHosts)
        Same.PreviousHolder = HostId();
      applyShare(Same, Fenced ? smaller(Same.Share, Share) : Share);
      Shards.emplace(Customer.Id, std::move(Same));
    } else {
      Shard Fresh = waitingShard(State, Now);
      Fresh.Share = Share;
      if (Successor) {
        Fresh.PreviousHolder =
            holderIn(holdersOf(*Previous, Customer.Id), State.Zone);
        Fresh.Share =
            smaller(shareIn(*Previous, Customer.Id, State.Zone), Share);
        Fresh.PendingShare = Share;
      }
      Shards.emplace(Customer.Id, std::move(Fresh));
    }
    State.HoldersByCustomer.emplace(Customer.Id, std::move(Holders));
  }
  // Shards that moved away stay for their new holder to claim.
  if (SameHosts || Successor)
    for (auto &[Customer, Old] : State.Shards)
      if (!Shards.contains(Customer) && (Old.Active || Old.Retired)) {
        retire(Old, Now);
        Old.WaitUntil = Now + fenceWait(State.Rules);
        Shards.emplace(Customer, std::move(Old));
      }
  State.Shards = std::move(Shards);
  State.BundleRevision = Key;
  State.HostsSince = Hosts.HostsSince;
}

std::optional<Handover> releaseShard(HolderState &State, const Claim &Message,
                                     Instant Now) {
  auto Found = State.Shards.find(Message.Shard.Customer);
  if (Found == State.Shards.end() || Message.Shard.Zone != State.Zone)
    return std::nullopt;
  Shard &Kept = Found->second;
  // Under the same host list only a retired shard has another holder.
  if (Message.HostsSince < State.HostsSince ||
      (Message.HostsSince == State.HostsSince && !Kept.Retired))
    return std::nullopt;
  if (Kept.SentHandover) {
    if (Kept.SentHandover->Claimant == Message.Claimant &&
        Kept.SentHandover->HostsSince == Message.HostsSince)
      return Kept.SentHandover;
    return std::nullopt;
  }
  if (!Kept.Active)
    return std::nullopt;
  accrue(Kept, Now);
  Handover Carried{Message.Shard,
                   Message.HostsSince,
                   Message.Claimant,
                   Kept.Balance,
                   Kept.Outstanding + Kept.Inherited,
                   Duration::zero()};
  if (!Kept.Leases.empty())
    Carried.OutstandingLifetime = Kept.Leases.rbegin()->second.Expiry - Now;
  if (Kept.Inherited > MicroTokens{})
    Carried.OutstandingLifetime =
        std::max(Carried.OutstandingLifetime, Kept.InheritedExpiry - Now);
  Shard Given;
  Given.Retired = Kept.Retired;
  Given.WaitUntil = Now + fenceWait(State.Rules);
  Given.AccruedAt = Now;
  Given.SentHandover = Carried;
  Kept = std::move(Given);
  return Carried;
}

void acceptHandover(HolderState &State, const Handover &Message,
                    const ViewLease &View, Instant Now) {
  auto Found = State.Shards.find(Message.Shard.Customer);
  if (Found == State.Shards.end() || Message.Shard.Zone != State.Zone ||
      Message.Claimant != State.Self || Message.HostsSince != State.HostsSince)
    return;
  Shard &Kept = Found->second;
  if (Kept.Active || Kept.Retired || Kept.SentHandover ||
      Kept.PreviousHolder.empty() || !View.AnchoredAt ||
      !confirmedSinceStart(State, View, Now))
    return;
  activate(Kept, Now);
  Kept.Inherited = Message.Outstanding;
  // The carried leases ran on while the message travelled.
  Kept.InheritedExpiry = Now + lenderLifetime(Message.OutstandingLifetime);
  Kept.Balance = Message.Balance;
  applyShare(Kept, Kept.Share);
}

HolderActions tickHolder(HolderState &State, const ViewLease &View,
                         Instant Now) {
  HolderActions Due;
  const bool Fenced = !fenceEnded(State, View, Now);
  std::erase_if(State.Shards, [&](const auto &Entry) {
    return Entry.second.Retired && Now >= Entry.second.WaitUntil;
  });
  for (auto &[Customer, Kept] : State.Shards) {
    accrue(Kept, Now);
    if (Kept.Retired || Kept.SentHandover ||
        !confirmedSinceStart(State, View, Now))
      continue;
    if (!Fenced && Now >= Kept.WaitUntil) {
      if (Kept.PendingShare)
        applyShare(Kept, *std::exchange(Kept.PendingShare, std::nullopt));
      if (!Kept.Active)
        activate(Kept, Now);
    }
    if (Kept.Active) {
      duePulls(State, Customer, Kept, Now, Due.Pulls);
    } else if (!Kept.PreviousHolder.empty() && View.AnchoredAt &&
               Now >= Kept.NextClaimAt) {
      Kept.NextClaimAt = Now + ClaimInterval;
      Due.Claims.push_back({{Customer, State.Zone},
                            Kept.PreviousHolder,
                            State.HostsSince,
                            State.Self});
    }
  }
  return Due;
}

bool isIdle(const HolderState &State) {
  return std::ranges::all_of(State.Shards, [](const auto &Entry) {
    const Shard &Kept = Entry.second;
    return Kept.Active && !Kept.Retired && !Kept.PendingShare &&
           Kept.Leases.empty() && Kept.PendingPulls.empty() &&
           Kept.Inherited == MicroTokens{} && Kept.Balance >= Kept.Share.Burst;
  });
}

std::vector<PullRequest> requestPulls(HolderState &State,
                                      const CustomerId &Customer, Shard &Kept,
                                      bool All, Instant Now) {
  std::vector<PullRequest> Requests;
  const std::vector<ShardHolder> &Holders = State.HoldersByCustomer[Customer];
  const MicroTokens Room = Kept.Share.Burst - Kept.Balance - Kept.Outstanding -
                           Kept.Inherited - Kept.Reserved;
  // A quarter of the room stays for the accrual of the shard itself: an answer
  // that never comes would otherwise stop it for the whole deadline.
  const MicroTokens Each{Room.Value / 4 * 3 /
                         std::max<std::int64_t>(std::ssize(Holders) - 1, 1)};
  if (Each <= MicroTokens{})
    return Requests;
  for (const ShardHolder &Other : Holders) {
    if (Other.Zone == State.Zone ||
        std::ranges::any_of(Kept.PendingPulls, [&](const auto &Entry) {
          return Entry.second.From == Other.Zone;
        }))
      continue;
    const std::uint64_t Sequence = State.NextPullSequence++;
    Kept.PendingPulls[Sequence] = {Other.Zone, Each, Now};
    Kept.Reserved += Each;
    Requests.push_back({{Customer, Other.Zone},
                        Other.Host,
                        {Customer, State.Zone},
                        State.Self,
                        Sequence,
                        Each,
                        Kept.Balance,
                        All});
  }
  return Requests;
}

} // namespace pollenwick
