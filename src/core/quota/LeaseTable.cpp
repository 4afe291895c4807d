#include "core/quota/LeaseTable.h"

#include <algorithm>
#include <utility>

namespace pollenwick {
namespace {

/// Time without use after which a lease is returned. Shorter than the lifetime
/// of a lease, so that its tokens do not expire. Holders that need tokens
/// sooner recall the lease.
constexpr Duration IdleLeaseTimeout = std::chrono::milliseconds(100);
/// Time until the next prefetch for a customer after a holder lent nothing.
constexpr Duration PrefetchRetryDelay = std::chrono::milliseconds(50);
constexpr std::uint32_t MaxPrefetchTokens = 16;
/// Time after which a pending borrow request is dropped. A later reply is
/// useless because its lease has expired.
constexpr Duration PendingBorrowTimeout = std::chrono::seconds(2);

LeaseReport closingReport(const BorrowedLease &Lease) {
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

/// Moves a lease behind the leases that have tokens to spend.
void deactivateLease(CustomerLeases &LeaseSet, std::size_t Index) {
  std::swap(LeaseSet.Leases[Index], LeaseSet.Leases[--LeaseSet.LiveCount]);
}

void dropExpired(CustomerLeases &LeaseSet, Instant Now) {
  for (std::size_t I = 0; I < LeaseSet.LiveCount;) {
    if (Now < LeaseSet.Leases[I].Expiry) {
      ++I;
      continue;
    }
    LeaseSet.Leases[I].Unspent = MicroTokens{};
    deactivateLease(LeaseSet, I);
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
    CustomerLeases LeaseSet;
    if (auto Found = State.Customers.find(Customer.Id);
        Found != State.Customers.end())
      LeaseSet = std::move(Found->second);
    LeaseSet.Holders = holdersOf(Rules, Customer.Id);
    LeaseSet.Collectors = LeaseSet.Holders;
    std::ranges::sort(LeaseSet.Collectors, {}, &ShardHolder::Host);
    std::stable_partition(
        LeaseSet.Holders.begin(), LeaseSet.Holders.end(),
        [&](const ShardHolder &H) { return H.Zone == State.Zone; });
    Customers.emplace(Customer.Id, std::move(LeaseSet));
  }
  State.Customers = std::move(Customers);
}

SpendResult spend(LeaseTable &State, const CustomerId &Customer,
                  const ViewLease &View, Instant Now) {
  auto Found = State.Customers.find(Customer);
  if (Found == State.Customers.end())
    return {};
  if (!View.isValidAt(Now))
    return {SpendStatus::NoViewLease, {}};
  CustomerLeases &LeaseSet = Found->second;
  dropExpired(LeaseSet, Now);
  MicroTokens AvailableTokens;
  std::size_t LeaseCount = 0;
  while (LeaseCount < LeaseSet.LiveCount && AvailableTokens < OneToken)
    AvailableTokens += LeaseSet.Leases[LeaseCount++].Unspent;
  if (AvailableTokens < OneToken)
    return {SpendStatus::NeedsBorrow, OneToken - AvailableTokens};
  LeaseSet.PreviousSpentAt = std::exchange(LeaseSet.LastSpentAt, Now);
  ++LeaseSet.SpendsInTick;
  MicroTokens RemainingTokens = OneToken;
  while (LeaseCount-- > 0) {
    BorrowedLease &Lease = LeaseSet.Leases[LeaseCount];
    const MicroTokens Part = std::min(RemainingTokens, Lease.Unspent);
    Lease.Unspent -= Part;
    Lease.Spent += Part;
    Lease.LastUsedAt = Now;
    RemainingTokens -= Part;
    if (Lease.Unspent == MicroTokens{})
      deactivateLease(LeaseSet, LeaseCount);
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
  const CustomerLeases &LeaseSet = Found->second;
  auto Ask = [&](const ShardHolder &Holder, bool CollectFractions) {
    Step.NextAction = BorrowStep::Kind::SendRequest;
    Step.Request =
        beginBorrow(State, Search.Customer, Holder, MissingTokens, Batch, Now);
    Step.Request.CollectFractions = CollectFractions;
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
    if (Search.HoldersAsked < LeaseSet.Holders.size())
      return Ask(LeaseSet.Holders[Search.HoldersAsked++], false);
    Search.CurrentStage = Stage::AskCollectors;
    Search.LastTimedOut = true;
    // Recalled leases return to their holders first; then a collector can
    // gather the tokens.
    if (Search.AskAgain)
      return Wait();
  }
  if (Search.CurrentStage == Stage::AskCollectors) {
    if (Search.LastTimedOut &&
        Search.CollectorsAsked < LeaseSet.Collectors.size())
      return Ask(LeaseSet.Collectors[Search.CollectorsAsked++], true);
    Search.CurrentStage = Stage::AskCollectorAgain;
    if (Search.AskAgain)
      return Wait();
    return Step;
  }
  if (std::exchange(Search.AskedCollectorAgain, true) ||
      Search.CollectorsAsked == 0)
    return Step;
  return Ask(LeaseSet.Collectors[Search.CollectorsAsked - 1], false);
}

void recordReply(BorrowSearch &Search, const BorrowReply *Reply) {
  Search.LastTimedOut = Reply == nullptr;
  Search.AskAgain = Search.AskAgain || (Reply != nullptr && Reply->AskAgain);
}

bool acceptLease(LeaseTable &State, const BorrowReply &Reply, Instant Now) {
  auto Found = State.Customers.find(Reply.Shard.Customer);
  if (Found == State.Customers.end() || Reply.Borrower != State.Self)
    return false;
  CustomerLeases &LeaseSet = Found->second;
  auto PendingRequest =
      std::ranges::find_if(LeaseSet.PendingBorrows, [&](const auto &Entry) {
        return Entry.Sequence == Reply.Sequence &&
               Entry.Zone == Reply.Shard.Zone &&
               Entry.Holder == Reply.Holder.Host;
      });
  if (PendingRequest == LeaseSet.PendingBorrows.end())
    return false;
  // The lender counts the lifetime from the grant, which is later than the
  // sending of the request, so the lease expires here before it does there.
  const Instant Expiry = PendingRequest->SentAt + Reply.Lifetime;
  LeaseSet.PendingBorrows.erase(PendingRequest);
  if (Reply.Tokens <= MicroTokens{})
    LeaseSet.NextPrefetchAt = Now + PrefetchRetryDelay;
  if (Reply.Tokens <= MicroTokens{} || Now >= Expiry)
    return false;
  LeaseSet.Leases.push_back({Reply.Lease, Reply.Shard.Zone, Reply.Holder,
                             Expiry, Now, Reply.Tokens, MicroTokens{},
                             MicroTokens{}});
  std::swap(LeaseSet.Leases.back(), LeaseSet.Leases[LeaseSet.LiveCount++]);
  return true;
}

std::optional<Settlement> returnRecalledLease(LeaseTable &State,
                                              const Recall &Message) {
  auto Found = State.Customers.find(Message.Shard.Customer);
  if (Found == State.Customers.end() || Message.Borrower != State.Self)
    return std::nullopt;
  CustomerLeases &LeaseSet = Found->second;
  for (std::size_t I = 0; I < LeaseSet.LiveCount; ++I) {
    if (LeaseSet.Leases[I].Id != Message.Lease ||
        LeaseSet.Leases[I].Holder != Message.Holder)
      continue;
    Settlement Reply{Message.Shard,
                     Message.Holder,
                     State.Self,
                     {closingReport(LeaseSet.Leases[I])}};
    deactivateLease(LeaseSet, I);
    LeaseSet.Leases.erase(LeaseSet.Leases.begin() +
                          static_cast<std::ptrdiff_t>(LeaseSet.LiveCount));
    return Reply;
  }
  return std::nullopt;
}

namespace {

/// Appends the reports that are due for one customer and removes closed leases.
/// A lease is closed when it is used up, expired or unused since `IdleSince`.
void settleCustomer(const LeaseTable &State, const CustomerId &Customer,
                    CustomerLeases &LeaseSet, Instant IdleSince, Instant Now,
                    std::vector<Settlement> &Messages) {
  dropExpired(LeaseSet, Now);
  for (std::size_t I = 0; I < LeaseSet.LiveCount;) {
    BorrowedLease &Lease = LeaseSet.Leases[I];
    if (Lease.LastUsedAt <= IdleSince) {
      deactivateLease(LeaseSet, I);
      continue;
    }
    if (Lease.Spent != Lease.ReportedSpent)
      addReport(Messages, State, Customer, Lease,
                {Lease.Id, Lease.Spent, {}, false});
    Lease.ReportedSpent = Lease.Spent;
    ++I;
  }
  for (std::size_t I = LeaseSet.LiveCount; I < LeaseSet.Leases.size(); ++I)
    if (Now < LeaseSet.Leases[I].Expiry)
      addReport(Messages, State, Customer, LeaseSet.Leases[I],
                closingReport(LeaseSet.Leases[I]));
  LeaseSet.Leases.erase(LeaseSet.Leases.begin() +
                            static_cast<std::ptrdiff_t>(LeaseSet.LiveCount),
                        LeaseSet.Leases.end());
}

} // namespace

std::vector<Settlement> tickIngress(LeaseTable &State, Instant Now,
                                    bool ReturnAll) {
  std::vector<Settlement> Messages;
  const Instant IdleSince = ReturnAll ? Now : Now - IdleLeaseTimeout;
  for (auto &[Customer, LeaseSet] : State.Customers) {
    std::erase_if(LeaseSet.PendingBorrows, [&](const PendingBorrow &Entry) {
      return Now - Entry.SentAt >= PendingBorrowTimeout;
    });
    if (!LeaseSet.Leases.empty())
      settleCustomer(State, Customer, LeaseSet, IdleSince, Now, Messages);
  }
  return Messages;
}

bool isIdle(const LeaseTable &State, Instant Now) {
  return std::ranges::all_of(State.Customers, [&](const auto &Entry) {
    const CustomerLeases &LeaseSet = Entry.second;
    return LeaseSet.Leases.empty() && LeaseSet.PendingBorrows.empty() &&
           Now - LeaseSet.LastSpentAt >= IdleLeaseTimeout;
  });
}

std::vector<BorrowRequest> prefetch(LeaseTable &State, Instant Now) {
  std::vector<BorrowRequest> Requests;
  for (auto &[Customer, LeaseSet] : State.Customers) {
    const std::uint32_t Spent = std::exchange(LeaseSet.SpendsInTick, 0);
    // Tokens for a customer with rarer requests would be returned unused.
    if (LeaseSet.Holders.empty() || !LeaseSet.PendingBorrows.empty() ||
        Now < LeaseSet.NextPrefetchAt ||
        Now - LeaseSet.LastSpentAt >= IdleLeaseTimeout ||
        LeaseSet.LastSpentAt - LeaseSet.PreviousSpentAt >= IdleLeaseTimeout)
      continue;
    MicroTokens UnspentTokens;
    for (std::size_t I = 0; I < LeaseSet.LiveCount; ++I)
      UnspentTokens += LeaseSet.Leases[I].Unspent;
    const std::uint32_t TargetTokens =
        std::clamp(2 * Spent, 1U, MaxPrefetchTokens);
    if (UnspentTokens >=
        MicroTokens{std::int64_t{std::max(Spent, 1U)} * OneToken.Value})
      continue;
    Requests.push_back(beginBorrow(State, Customer, LeaseSet.Holders.front(),
                                   MicroTokens{}, TargetTokens, Now));
  }
  return Requests;
}

} // namespace pollenwick
