#include "core/quota/Ingress.h"

#include <algorithm>
#include <utility>

namespace pollenwick {
namespace {

/// Time without use after which a lease goes back. Shorter than a lease, so
/// that its tokens do not expire; recalls cover urgent need.
constexpr Duration IdleReturn = std::chrono::milliseconds(100);
/// Time between prefetches of a customer whose shard had nothing to spare.
constexpr Duration PrefetchRetry = std::chrono::milliseconds(50);
constexpr std::uint32_t MaxPrefetch = 16;
/// A reply after this time is useless: every lease has ended.
constexpr Duration PendingLimit = std::chrono::seconds(2);

LeaseReport closeLease(const BorrowedLease &Lease) {
  return {Lease.Id, Lease.Spent, Lease.Unspent, true};
}

void addReport(std::vector<Settlement> &Messages, const LeaseTable &State,
               const CustomerId &Customer, const BorrowedLease &Lease,
               const LeaseReport &Report) {
  auto Found = std::ranges::find_if(Messages, [&](const Settlement &Message) {
    return Message.Shard.Customer == Customer &&
           Message.Shard.Zone == Lease.Zone && Message.Holder == Lease.Holder;
  });
  if (Found == Messages.end()) {
    Messages.push_back({{Customer, Lease.Zone}, Lease.Holder, State.Self, {}});
    Found = std::prev(Messages.end());
  }
  Found->Reports.push_back(Report);
}

/// Moves a lease behind the ones that can be spent from.
void putAside(CustomerLeases &Held, std::size_t Index) {
  std::swap(Held.Leases[Index], Held.Leases[--Held.LiveCount]);
}

void dropExpired(CustomerLeases &Held, Instant Now) {
  for (std::size_t I = 0; I < Held.LiveCount;) {
    if (Now < Held.Leases[I].Expiry) {
      ++I;
      continue;
    }
    Held.Leases[I].Unspent = MicroTokens{};
    putAside(Held, I);
  }
}

} // namespace

LeaseTable makeLeaseTable(IncarnationId Self, ZoneId Zone) {
  LeaseTable State;
  State.Self = std::move(Self);
  State.Zone = std::move(Zone);
  return State;
}

void applyBundle(LeaseTable &State, const Bundle &Rules) {
  std::unordered_map<CustomerId, CustomerLeases> Customers;
  for (const CustomerSpec &Customer : Rules.Customers) {
    CustomerLeases Held;
    if (auto Found = State.Customers.find(Customer.Id);
        Found != State.Customers.end())
      Held = std::move(Found->second);
    Held.Holders = holdersOf(Rules, Customer.Id);
    Held.Collectors = Held.Holders;
    std::ranges::sort(Held.Collectors, {}, &ShardHolder::Host);
    std::stable_partition(
        Held.Holders.begin(), Held.Holders.end(),
        [&](const ShardHolder &H) { return H.Zone == State.Zone; });
    Customers.emplace(Customer.Id, std::move(Held));
  }
  State.Customers = std::move(Customers);
}

SpendResult spend(LeaseTable &State, const CustomerId &Customer,
                  const ViewLease &View, Instant Now) {
  auto Found = State.Customers.find(Customer);
  if (Found == State.Customers.end())
    return {};
  if (!View.validAt(Now))
    return {SpendStatus::NoViewLease, {}};
  CustomerLeases &Held = Found->second;
  dropExpired(Held, Now);
  MicroTokens Sum;
  std::size_t Enough = 0;
  while (Enough < Held.LiveCount && Sum < OneToken)
    Sum += Held.Leases[Enough++].Unspent;
  if (Sum < OneToken)
    return {SpendStatus::NeedsBorrow, OneToken - Sum};
  Held.PreviousSpentAt = std::exchange(Held.LastSpentAt, Now);
  ++Held.SpendsInTick;
  MicroTokens Due = OneToken;
  while (Enough-- > 0) {
    BorrowedLease &Lease = Held.Leases[Enough];
    const MicroTokens Part = std::min(Due, Lease.Unspent);
    Lease.Unspent -= Part;
    Lease.Spent += Part;
    Lease.LastUsedAt = Now;
    Due -= Part;
    if (Lease.Unspent == MicroTokens{})
      putAside(Held, Enough);
  }
  return {SpendStatus::Spent, {}};
}

namespace {

BorrowRequest beginBorrow(LeaseTable &State, const CustomerId &Customer,
                          const ShardHolder &Holder, MicroTokens Needed,
                          std::uint32_t Batch, Instant Now) {
  BorrowRequest Request;
  Request.Shard = {Customer, Holder.Zone};
  Request.Holder = Holder.Host;
  Request.Borrower = State.Self;
  Request.Sequence = State.NextSequence++;
  Request.Needed = Needed;
  Request.Wanted =
      std::max(Needed, MicroTokens{std::int64_t{Batch} * OneToken.Value});
  if (auto Found = State.Customers.find(Customer);
      Found != State.Customers.end())
    Found->second.PendingBorrows.push_back(
        {Request.Sequence, Holder.Zone, Holder.Host, Now});
  return Request;
}

} // namespace

BorrowStep nextBorrowStep(LeaseTable &State, BorrowSearch &Search,
                          MicroTokens MissingTokens, std::uint32_t Batch,
                          Instant Now) {
  using Stage = BorrowSearch::Stage;
  BorrowStep Step;
  auto Found = State.Customers.find(Search.Customer);
  if (Found == State.Customers.end())
    return Step;
  const CustomerLeases &Held = Found->second;
  auto Ask = [&](const ShardHolder &Holder, bool Gather) {
    Step.NextAction = BorrowStep::Kind::SendRequest;
    Step.Request =
        beginBorrow(State, Search.Customer, Holder, MissingTokens, Batch, Now);
    Step.Request.CollectFractions = Gather;
    Search.LastTimedOut = false;
    return Step;
  };
  auto Wait = [&] {
    Step.NextAction = BorrowStep::Kind::Wait;
    Step.Wait = AskAgainWait;
    Search.AskAgain = false;
    return Step;
  };
  if (Search.CurrentStage == Stage::AskHolders) {
    if (Search.HoldersAsked < Held.Holders.size())
      return Ask(Held.Holders[Search.HoldersAsked++], false);
    Search.CurrentStage = Stage::AskCollectors;
    Search.LastTimedOut = true;
    // Recalled leases first reach their holders, then they are collected.
    if (Search.AskAgain)
      return Wait();
  }
  if (Search.CurrentStage == Stage::AskCollectors) {
    if (Search.LastTimedOut && Search.CollectorsAsked < Held.Collectors.size())
      return Ask(Held.Collectors[Search.CollectorsAsked++], true);
    Search.CurrentStage = Stage::AskCollectorAgain;
    if (Search.AskAgain)
      return Wait();
    return Step;
  }
  if (std::exchange(Search.AskedCollectorAgain, true) ||
      Search.CollectorsAsked == 0)
    return Step;
  return Ask(Held.Collectors[Search.CollectorsAsked - 1], false);
}

void recordReply(BorrowSearch &Search, const BorrowReply *Reply) {
  Search.LastTimedOut = Reply == nullptr;
  Search.AskAgain = Search.AskAgain || (Reply != nullptr && Reply->AskAgain);
}

bool acceptLease(LeaseTable &State, const BorrowReply &Reply, Instant Now) {
  auto Found = State.Customers.find(Reply.Shard.Customer);
  if (Found == State.Customers.end() || Reply.Borrower != State.Self)
    return false;
  CustomerLeases &Held = Found->second;
  auto Asked =
      std::ranges::find_if(Held.PendingBorrows, [&](const auto &Entry) {
        return Entry.Sequence == Reply.Sequence &&
               Entry.Zone == Reply.Shard.Zone &&
               Entry.Holder == Reply.Holder.Host;
      });
  if (Asked == Held.PendingBorrows.end())
    return false;
  // The lender counts from the grant, which is later: this end comes first.
  const Instant Expiry = Asked->SentAt + Reply.Lifetime;
  Held.PendingBorrows.erase(Asked);
  if (Reply.Tokens <= MicroTokens{})
    Held.NextPrefetchAt = Now + PrefetchRetry;
  if (Reply.Tokens <= MicroTokens{} || Now >= Expiry)
    return false;
  Held.Leases.push_back({Reply.Lease, Reply.Shard.Zone, Reply.Holder, Expiry,
                         Now, Reply.Tokens, MicroTokens{}, MicroTokens{}});
  std::swap(Held.Leases.back(), Held.Leases[Held.LiveCount++]);
  return true;
}

std::optional<Settlement> returnRecalledLease(LeaseTable &State,
                                              const Recall &Message) {
  auto Found = State.Customers.find(Message.Shard.Customer);
  if (Found == State.Customers.end() || Message.Borrower != State.Self)
    return std::nullopt;
  CustomerLeases &Held = Found->second;
  for (std::size_t I = 0; I < Held.LiveCount; ++I) {
    if (Held.Leases[I].Id != Message.Lease ||
        Held.Leases[I].Holder != Message.Holder)
      continue;
    Settlement Reply{Message.Shard,
                     Message.Holder,
                     State.Self,
                     {closeLease(Held.Leases[I])}};
    putAside(Held, I);
    Held.Leases.erase(Held.Leases.begin() +
                      static_cast<std::ptrdiff_t>(Held.LiveCount));
    return Reply;
  }
  return std::nullopt;
}

namespace {

/// Reports and removes what is due of one customer. A lease is closed when it
/// is used up, or unused since `IdleSince`.
void settleCustomer(const LeaseTable &State, const CustomerId &Customer,
                    CustomerLeases &Held, Instant IdleSince, Instant Now,
                    std::vector<Settlement> &Messages) {
  dropExpired(Held, Now);
  for (std::size_t I = 0; I < Held.LiveCount;) {
    BorrowedLease &Lease = Held.Leases[I];
    if (Lease.LastUsedAt <= IdleSince) {
      putAside(Held, I);
      continue;
    }
    if (Lease.Spent != Lease.ReportedSpent)
      addReport(Messages, State, Customer, Lease,
                {Lease.Id, Lease.Spent, {}, false});
    Lease.ReportedSpent = Lease.Spent;
    ++I;
  }
  for (std::size_t I = Held.LiveCount; I < Held.Leases.size(); ++I)
    if (Now < Held.Leases[I].Expiry)
      addReport(Messages, State, Customer, Held.Leases[I],
                closeLease(Held.Leases[I]));
  Held.Leases.erase(Held.Leases.begin() +
                        static_cast<std::ptrdiff_t>(Held.LiveCount),
                    Held.Leases.end());
}

} // namespace

std::vector<Settlement> tickIngress(LeaseTable &State, Instant Now, bool All) {
  std::vector<Settlement> Messages;
  const Instant IdleSince = All ? Now : Now - IdleReturn;
  for (auto &[Customer, Held] : State.Customers) {
    std::erase_if(Held.PendingBorrows, [&](const PendingBorrow &Entry) {
      return Now - Entry.SentAt >= PendingLimit;
    });
    if (!Held.Leases.empty())
      settleCustomer(State, Customer, Held, IdleSince, Now, Messages);
  }
  return Messages;
}

bool isIdle(const LeaseTable &State, Instant Now) {
  return std::ranges::all_of(State.Customers, [&](const auto &Entry) {
    const CustomerLeases &Held = Entry.second;
    return Held.Leases.empty() && Held.PendingBorrows.empty() &&
           Now - Held.LastSpentAt >= IdleReturn;
  });
}

std::vector<BorrowRequest> prefetch(LeaseTable &State, Instant Now) {
  std::vector<BorrowRequest> Requests;
  for (auto &[Customer, Held] : State.Customers) {
    const std::uint32_t Spent = std::exchange(Held.SpendsInTick, 0);
    // Tokens for a rarer caller would be returned unused.
    if (Held.Holders.empty() || !Held.PendingBorrows.empty() ||
        Now < Held.NextPrefetchAt || Now - Held.LastSpentAt >= IdleReturn ||
        Held.LastSpentAt - Held.PreviousSpentAt >= IdleReturn)
      continue;
    MicroTokens Left;
    for (std::size_t I = 0; I < Held.LiveCount; ++I)
      Left += Held.Leases[I].Unspent;
    const std::uint32_t Target = std::clamp(2 * Spent, 1U, MaxPrefetch);
    if (Left >= MicroTokens{std::int64_t{std::max(Spent, 1U)} * OneToken.Value})
      continue;
    Requests.push_back(beginBorrow(State, Customer, Held.Holders.front(),
                                   MicroTokens{}, Target, Now));
  }
  return Requests;
}

} // namespace pollenwick
