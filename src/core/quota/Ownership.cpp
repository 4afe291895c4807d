#include "core/quota/Holder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pollenwick {
namespace {

/// Bounds of the time between two rounds of pulls of a shard that runs low. The
/// time doubles while the other shards give no tokens.
constexpr Duration MinPullInterval = std::chrono::milliseconds(40);
constexpr Duration MaxPullInterval = std::chrono::milliseconds(320);
/// Time between two claims of a shard.
constexpr Duration ClaimInterval = std::chrono::milliseconds(50);
/// Eighths of the burst below which a shard pulls tokens. The threshold is high
/// because another shard may be full, and lose accrual, well before this one
/// is empty.
constexpr std::int64_t PullThresholdEighths = 6;

ShardShare minShare(const ShardShare &A, const ShardShare &B) {
  return {std::min(A.RatePerSecond, B.RatePerSecond),
          std::min(A.Burst, B.Burst)};
}

void applyShare(Shard &OwnShard, const ShardShare &Share) {
  OwnShard.Share = Share;
  const MicroTokens FreeCapacity = Share.Burst - OwnShard.Balance -
                                   OwnShard.Outstanding - OwnShard.Inherited -
                                   OwnShard.Reserved;
  if (FreeCapacity <= MicroTokens{}) {
    OwnShard.Balance = std::max(MicroTokens{}, OwnShard.Balance + FreeCapacity);
    OwnShard.AccrualRemainder = 0;
  }
}

/// Returns the share of a zone; zero if the bundle does not list the customer
/// or the zone.
ShardShare zoneShareIn(const Bundle &Rules, const CustomerId &Customer,
                       const ZoneId &Zone) {
  const std::vector<ZoneId> Zones = zonesOf(Rules);
  auto ZoneEntry = std::ranges::find(Zones, Zone);
  auto Spec = std::ranges::find(Rules.Customers, Customer, &CustomerSpec::Id);
  if (ZoneEntry == Zones.end() || Spec == Rules.Customers.end())
    return {};
  return shareOf(*Spec, static_cast<std::size_t>(ZoneEntry - Zones.begin()),
                 Zones.size());
}

HostId holderOfZone(const std::vector<ShardHolder> &Holders,
                    const ZoneId &Zone) {
  auto Found = std::ranges::find(Holders, Zone, &ShardHolder::Zone);
  return Found == Holders.end() ? HostId() : Found->Host;
}

void retire(Shard &OwnShard, Instant Now) {
  accrue(OwnShard, Now);
  OwnShard.Retired = true;
  OwnShard.PendingShare.reset();
  OwnShard.PendingPulls.clear();
  OwnShard.Reserved = MicroTokens{};
}

Shard makeWaitingShard(const HolderState &State, Instant Now) {
  Shard NewShard;
  // The preceding process may have lent tokens until this process started,
  // which is when the wait begins with the first bundle. With a later bundle,
  // this process may itself have held the shard before, so the wait begins now.
  const Instant WaitStart =
      State.BundleRevision.Number.Value == 0 ? State.StartedAt : Now;
  NewShard.WaitUntil = WaitStart + lenderLifetime(State.Rules.QuotaLease);
  NewShard.AccruedAt = Now;
  return NewShard;
}

bool hasFenceEnded(const HolderState &State, const ViewLease &View,
                   Instant Now) {
  return View.HostListMajorityAt && View.HostsSince == State.HostsSince &&
         Now >= *View.HostListMajorityAt + fenceWait(State.Rules);
}

/// Returns whether the view was confirmed after this process started. A
/// restarted process acts as holder only then, because the preceding process
/// may have released the shard.
bool isConfirmedSinceStart(const HolderState &State, const ViewLease &View,
                           Instant Now) {
  return View.isValidAt(Now) && View.HostsSince == State.HostsSince &&
         View.ConfirmedAt >= State.StartedAt;
}

void activate(Shard &OwnShard, Instant Now) {
  OwnShard.Active = true;
  OwnShard.AccruedAt = Now;
  OwnShard.AccrualRemainder = 0;
  OwnShard.PreviousHolder = HostId();
}

void appendDuePulls(HolderState &State, const CustomerId &Customer,
                    Shard &OwnShard, Instant Now,
                    std::vector<PullRequest> &Pulls) {
  std::erase_if(OwnShard.PendingPulls, [&](const auto &Entry) {
    if (Now - Entry.second.SentAt < PullTimeout)
      return false;
    OwnShard.Reserved -= Entry.second.Reserved;
    return true;
  });
  if (OwnShard.Balance.Value >=
          OwnShard.Share.Burst.Value / 8 * PullThresholdEighths ||
      Now < OwnShard.NextPullAt)
    return;
  OwnShard.PullInterval =
      std::clamp(OwnShard.PullInterval * 2, MinPullInterval, MaxPullInterval);
  OwnShard.NextPullAt = Now + OwnShard.PullInterval;
  std::ranges::move(requestPulls(State, Customer, OwnShard, false, Now),
                    std::back_inserter(Pulls));
}

} // namespace

void applyBundle(HolderState &State, const Bundle &Rules,
                 const RevisionKey &Key, const HostListHistory &Hosts,
                 const Bundle *Previous, Instant Now) {
  if (Key <= State.BundleRevision)
    return;
  State.Rules = Rules.Rules;
  const bool FirstBundle = State.BundleRevision.Number.Value == 0;
  const bool SameHosts =
      !FirstBundle && State.BundleRevision >= Hosts.HostsSince;
  // The host list changed exactly once since the applied bundle, and both lists
  // are known here.
  const bool DirectSuccessor = !FirstBundle && !SameHosts &&
                               Previous != nullptr &&
                               Hosts.PreviousHostsSince.Number.Value != 0 &&
                               State.BundleRevision >= Hosts.PreviousHostsSince;
  std::unordered_map<CustomerId, Shard> Shards;
  State.HoldersByCustomer.clear();
  for (const CustomerSpec &Customer : Rules.Customers) {
    std::vector<ShardHolder> Holders = holdersOf(Rules, Customer.Id);
    if (holderOfZone(Holders, State.Zone) != State.Self.Host)
      continue;
    const ShardShare Share = zoneShareIn(Rules, Customer.Id, State.Zone);
    auto Old = State.Shards.find(Customer.Id);
    const bool Known = Old != State.Shards.end() && !Old->second.Retired;
    // The shard was released to the holder of a newer host list than that of
    // this bundle. It stays released under all lists in between.
    const bool ReleasedToNewerList =
        Known && Old->second.SentHandover &&
        Old->second.SentHandover->HostsSince > Hosts.HostsSince;
    if (ReleasedToNewerList) {
      Shards.emplace(Customer.Id, std::move(Old->second));
    } else if (Known && !Old->second.SentHandover &&
               (SameHosts || DirectSuccessor)) {
      Shard &ExistingShard = Old->second;
      accrue(ExistingShard, Now);
      // The new host list may have other zones. Other holders may still act on
      // their larger shares of the older list, so a raise has to wait.
      const bool Fenced = !SameHosts || ExistingShard.PendingShare;
      ExistingShard.PendingShare.reset();
      if (Fenced)
        ExistingShard.PendingShare = Share;
      if (!SameHosts)
        ExistingShard.PreviousHolder = HostId();
      applyShare(ExistingShard,
                 Fenced ? minShare(ExistingShard.Share, Share) : Share);
      Shards.emplace(Customer.Id, std::move(ExistingShard));
    } else {
      Shard NewShard = makeWaitingShard(State, Now);
      NewShard.Share = Share;
      if (DirectSuccessor) {
        NewShard.PreviousHolder =
            holderOfZone(holdersOf(*Previous, Customer.Id), State.Zone);
        NewShard.Share =
            minShare(zoneShareIn(*Previous, Customer.Id, State.Zone), Share);
        NewShard.PendingShare = Share;
      }
      Shards.emplace(Customer.Id, std::move(NewShard));
    }
    State.HoldersByCustomer.emplace(Customer.Id, std::move(Holders));
  }
  // Keeps shards that moved to another host, so that their new holder can claim
  // them.
  if (SameHosts || DirectSuccessor)
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
  Shard &OwnShard = Found->second;
  // If both nodes have the same host list, the shard has another holder only if
  // it is retired here.
  if (Message.HostsSince < State.HostsSince ||
      (Message.HostsSince == State.HostsSince && !OwnShard.Retired))
    return std::nullopt;
  if (OwnShard.SentHandover) {
    if (OwnShard.SentHandover->Claimant == Message.Claimant &&
        OwnShard.SentHandover->HostsSince == Message.HostsSince)
      return OwnShard.SentHandover;
    return std::nullopt;
  }
  if (!OwnShard.Active)
    return std::nullopt;
  accrue(OwnShard, Now);
  Handover NewHandover{Message.Shard,
                       Message.HostsSince,
                       Message.Claimant,
                       OwnShard.Balance,
                       OwnShard.Outstanding + OwnShard.Inherited,
                       Duration::zero()};
  if (!OwnShard.Leases.empty())
    NewHandover.OutstandingLifetime =
        OwnShard.Leases.rbegin()->second.Expiry - Now;
  if (OwnShard.Inherited > MicroTokens{})
    NewHandover.OutstandingLifetime = std::max(NewHandover.OutstandingLifetime,
                                               OwnShard.InheritedExpiry - Now);
  Shard ReleasedShard;
  ReleasedShard.Retired = OwnShard.Retired;
  ReleasedShard.WaitUntil = Now + fenceWait(State.Rules);
  ReleasedShard.AccruedAt = Now;
  ReleasedShard.SentHandover = NewHandover;
  OwnShard = std::move(ReleasedShard);
  return NewHandover;
}

void acceptHandover(HolderState &State, const Handover &Message,
                    const ViewLease &View, Instant Now) {
  auto Found = State.Shards.find(Message.Shard.Customer);
  if (Found == State.Shards.end() || Message.Shard.Zone != State.Zone ||
      Message.Claimant != State.Self || Message.HostsSince != State.HostsSince)
    return;
  Shard &OwnShard = Found->second;
  if (OwnShard.Active || OwnShard.Retired || OwnShard.SentHandover ||
      OwnShard.PreviousHolder.empty() || !View.HostListMajorityAt ||
      !isConfirmedSinceStart(State, View, Now))
    return;
  activate(OwnShard, Now);
  OwnShard.Inherited = Message.Outstanding;
  // The message took some time, so this upper bound outlasts the inherited
  // leases.
  OwnShard.InheritedExpiry = Now + lenderLifetime(Message.OutstandingLifetime);
  OwnShard.Balance = Message.Balance;
  applyShare(OwnShard, OwnShard.Share);
}

HolderActions tickHolder(HolderState &State, const ViewLease &View,
                         Instant Now) {
  HolderActions Actions;
  const bool Fenced = !hasFenceEnded(State, View, Now);
  std::erase_if(State.Shards, [&](const auto &Entry) {
    return Entry.second.Retired && Now >= Entry.second.WaitUntil;
  });
  for (auto &[Customer, OwnShard] : State.Shards) {
    accrue(OwnShard, Now);
    if (OwnShard.Retired || OwnShard.SentHandover ||
        !isConfirmedSinceStart(State, View, Now))
      continue;
    if (!Fenced && Now >= OwnShard.WaitUntil) {
      if (OwnShard.PendingShare)
        applyShare(OwnShard,
                   *std::exchange(OwnShard.PendingShare, std::nullopt));
      if (!OwnShard.Active)
        activate(OwnShard, Now);
    }
    if (OwnShard.Active) {
      appendDuePulls(State, Customer, OwnShard, Now, Actions.Pulls);
    } else if (!OwnShard.PreviousHolder.empty() && View.HostListMajorityAt &&
               Now >= OwnShard.NextClaimAt) {
      OwnShard.NextClaimAt = Now + ClaimInterval;
      Actions.Claims.push_back({{Customer, State.Zone},
                                OwnShard.PreviousHolder,
                                State.HostsSince,
                                State.Self});
    }
  }
  return Actions;
}

bool isIdle(const HolderState &State) {
  return std::ranges::all_of(State.Shards, [](const auto &Entry) {
    const Shard &OwnShard = Entry.second;
    return OwnShard.Active && !OwnShard.Retired && !OwnShard.PendingShare &&
           OwnShard.Leases.empty() && OwnShard.PendingPulls.empty() &&
           OwnShard.Inherited == MicroTokens{} &&
           OwnShard.Balance >= OwnShard.Share.Burst;
  });
}

std::vector<PullRequest> requestPulls(HolderState &State,
                                      const CustomerId &Customer,
                                      Shard &OwnShard, bool GiveAll,
                                      Instant Now) {
  std::vector<PullRequest> Requests;
  const std::vector<ShardHolder> &Holders = State.HoldersByCustomer[Customer];
  const MicroTokens FreeCapacity = OwnShard.Share.Burst - OwnShard.Balance -
                                   OwnShard.Outstanding - OwnShard.Inherited -
                                   OwnShard.Reserved;
  // A quarter of the free capacity stays for the accrual of this shard.
  // Otherwise a lost reply would stop its accrual until the pull times out.
  const MicroTokens TokensPerZone{
      FreeCapacity.Value / 4 * 3 /
      std::max<std::int64_t>(std::ssize(Holders) - 1, 1)};
  if (TokensPerZone <= MicroTokens{})
    return Requests;
  for (const ShardHolder &Other : Holders) {
    if (Other.Zone == State.Zone ||
        std::ranges::any_of(OwnShard.PendingPulls, [&](const auto &Entry) {
          return Entry.second.SourceZone == Other.Zone;
        }))
      continue;
    const std::uint64_t Sequence = State.NextPullSequence++;
    OwnShard.PendingPulls[Sequence] = {Other.Zone, TokensPerZone, Now};
    OwnShard.Reserved += TokensPerZone;
    Requests.push_back({{Customer, Other.Zone},
                        Other.Host,
                        {Customer, State.Zone},
                        State.Self,
                        Sequence,
                        TokensPerZone,
                        OwnShard.Balance,
                        GiveAll});
  }
  return Requests;
}

} // namespace pollenwick
