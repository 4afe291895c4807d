#include "node/QuotaService.h"

#include <algorithm>
#include <chrono>

#include <Poco/JSON/Array.h>

#include "peer/Clock.h"
#include "peer/QuotaWire.h"

namespace pollenwick {
namespace {

/// Covers a round trip between regions. A holder that does not answer within
/// this time is treated as unreachable for the request.
constexpr Duration BorrowTimeout = std::chrono::milliseconds(250);
constexpr Duration MessageTimeout = std::chrono::milliseconds(500);
constexpr std::uint32_t MaxBatch = 64;
/// While no tokens are lent or borrowed, no tick is due, and a new lease ends
/// the wait early. Ticking every 2 ms all the time used 0.3 % of a core, which
/// was half of the CPU use of an idle node.
constexpr Duration IdleTickInterval = std::chrono::milliseconds(100);

Refusal overRateRefusal(const CustomerId &Customer) {
  Refusal Out;
  Out.Reason = RefusalReason::OverRate;
  Out.RetryAfter = std::chrono::seconds(1);
  Out.Message = "tenant \"" + Customer.Text +
                "\" is over its rate; send fewer requests or raise its rate";
  return Out;
}

Refusal noViewLeaseRefusal() {
  Refusal Out;
  Out.Reason = RefusalReason::NoViewLease;
  Out.RetryAfter = std::chrono::seconds(1);
  Out.Message = "this node cannot confirm its configuration; try another node";
  return Out;
}

} // namespace

QuotaService::QuotaService(const IncarnationId &S, const ZoneId &Zone,
                           const ComponentRegistry &Registry)
    : Self(S), NodeCounters(Registry.find<Counters>("counters")),
      View(Registry.find<ViewService>("view")),
      Bundles(Registry.find<BundleStore>("bundles")),
      Peers(Registry.find<PeerTransport>("peers")),
      Holder(makeHolder(S, Zone, now())), Table(makeLeaseTable(S, Zone)) {}

void QuotaService::start() {
  Thread = std::thread([this] { run(); });
}

void QuotaService::stop() {
  Stopping = true;
  wake();
  if (Thread.joinable())
    Thread.join();
  // Returns unspent tokens to their holders, so that no customer loses tokens
  // in a planned shutdown.
  std::vector<Settlement> Last;
  {
    std::scoped_lock Lock(TableMutex);
    Last = tickIngress(Table, now(), true);
  }
  std::ranges::for_each(Last, [this](const Settlement &M) { send(M); });
}

void QuotaService::onBundle(const BundlePtr &Old, const BundlePtr &New) {
  {
    std::scoped_lock Lock(HolderMutex);
    applyBundle(Holder, *New->SourceBundle, New->ActiveRevision,
                New->HostListHistory, Old ? Old->SourceBundle.get() : nullptr,
                now());
  }
  {
    std::scoped_lock Lock(TableMutex);
    applyBundle(Table, *New->SourceBundle);
  }
  wake();
}

bool QuotaService::allShardsActive() const {
  std::scoped_lock Lock(HolderMutex);
  return std::ranges::all_of(Holder.Shards, [](const auto &Entry) {
    return Entry.second.Active || Entry.second.Retired;
  });
}

std::optional<PeerAddress> QuotaService::addressOf(const HostId &Host) const {
  const BundlePtr Bundle = Bundles.current();
  const HostSpec *Spec = Bundle ? findHost(*Bundle, Host) : nullptr;
  if (!Spec)
    return std::nullopt;
  return peerAddress(*Spec);
}

SpendResult QuotaService::trySpend(const CustomerId &Customer) {
  const ViewLease Lease = View.lease();
  std::scoped_lock Lock(TableMutex);
  return spend(Table, Customer, Lease, now());
}

BorrowReply QuotaService::lendLocally(const BorrowRequest &Request) {
  const ViewLease Lease = View.lease();
  LendResult Result;
  {
    std::scoped_lock Lock(HolderMutex);
    Result = lend(Holder, Request, Lease, now());
  }
  wake();
  std::ranges::for_each(Result.Recalls, [this](const Recall &M) { send(M); });
  return Result.Reply;
}

std::optional<BorrowReply> QuotaService::borrow(const BorrowRequest &Request) {
  NodeCounters.add(Counter::QuotaBorrows);
  if (Request.Holder == Self.Host)
    return lendLocally(Request);
  const auto Address = addressOf(Request.Holder);
  if (!Address)
    return std::nullopt;
  BorrowReply Reply;
  const PeerError Error =
      Peers.exchange(*Address, BorrowTimeout, [&](wire::Peer::Client &Peer) {
        auto Message = Peer.borrowRequest();
        writeMessage(Message.initRequest(), Request);
        return Message.send().then([&Reply](auto &&Response) {
          Reply = readMessage(Response.getReply());
        });
      });
  if (Error != PeerError::None)
    return std::nullopt;
  return Reply;
}

SpendResult QuotaService::borrowAndSpend(const CustomerId &Customer,
                                         SpendResult Result, Instant Deadline) {
  BorrowSearch Search;
  Search.Customer = Customer;
  while (Result.Status == SpendStatus::NeedsBorrow && now() < Deadline) {
    BorrowStep Step;
    {
      std::scoped_lock Lock(TableMutex);
      Step =
          nextBorrowStep(Table, Search, Result.MissingTokens,
                         std::min(WaitingSpenders[Customer], MaxBatch), now());
    }
    switch (Step.NextAction) {
    case BorrowStep::Kind::Refuse:
      return Result;
    case BorrowStep::Kind::Wait:
      std::this_thread::sleep_for(Step.Wait);
      break;
    case BorrowStep::Kind::SendRequest: {
      wake();
      const auto Reply = borrow(Step.Request);
      recordReply(Search, Reply ? &*Reply : nullptr);
      if (Reply) {
        std::scoped_lock Lock(TableMutex);
        acceptLease(Table, *Reply, now());
      }
      wake();
      break;
    }
    }
    Result = trySpend(Customer);
  }
  return Result;
}

std::optional<Refusal> QuotaService::spendToken(const CustomerId &Customer,
                                                Instant Deadline) {
  SpendResult Result = trySpend(Customer);
  if (Result.Status == SpendStatus::Spent) {
    NodeCounters.add(Counter::QuotaCachedSpends);
    return std::nullopt;
  }
  {
    std::scoped_lock Lock(TableMutex);
    ++WaitingSpenders[Customer];
  }
  Result = borrowAndSpend(Customer, Result, Deadline);
  {
    std::scoped_lock Lock(TableMutex);
    --WaitingSpenders[Customer];
  }
  switch (Result.Status) {
  case SpendStatus::Spent:
    return std::nullopt;
  case SpendStatus::NoViewLease:
    return noViewLeaseRefusal();
  case SpendStatus::NeedsBorrow:
  case SpendStatus::UnknownCustomer:
    break;
  }
  return overRateRefusal(Customer);
}

void QuotaService::wake() {
  {
    std::scoped_lock Lock(WakeMutex);
    WakeRequested = true;
  }
  WakeCondition.notify_one();
}

void QuotaService::waitForWork() {
  {
    // Reset the flag before checking for idleness, so that a lease that arrives
    // after the check still ends the wait.
    std::scoped_lock Lock(WakeMutex);
    WakeRequested = false;
  }
  bool Idle = false;
  {
    std::scoped_lock Lock(TableMutex);
    Idle = isIdle(Table, now());
  }
  if (Idle) {
    std::scoped_lock Lock(HolderMutex);
    Idle = isIdle(Holder);
  }
  if (!Idle)
    return std::this_thread::sleep_for(IngressTickInterval);
  std::unique_lock Lock(WakeMutex);
  WakeCondition.wait_for(Lock, IdleTickInterval,
                         [this] { return WakeRequested || Stopping; });
}

void QuotaService::run() {
  Instant NextHolderTick = now();
  while (!Stopping) {
    waitForWork();
    std::vector<Settlement> Settlements;
    std::vector<BorrowRequest> Prefetches;
    {
      std::scoped_lock Lock(TableMutex);
      Settlements = tickIngress(Table, now());
      Prefetches = prefetch(Table, now());
    }
    std::ranges::for_each(Prefetches,
                          [this](const BorrowRequest &M) { send(M); });
    std::ranges::for_each(Settlements,
                          [this](const Settlement &M) { send(M); });
    if (now() < NextHolderTick)
      continue;
    NextHolderTick = now() + HolderTickInterval;
    const ViewLease Lease = View.lease();
    HolderActions Actions;
    {
      std::scoped_lock Lock(HolderMutex);
      Actions = tickHolder(Holder, Lease, now());
    }
    std::ranges::for_each(Actions.Pulls,
                          [this](const PullRequest &M) { send(M); });
    std::ranges::for_each(Actions.Claims, [this](const Claim &M) { send(M); });
  }
}

void QuotaService::send(const BorrowRequest &Prefetch) {
  NodeCounters.add(Counter::QuotaPrefetches);
  if (Prefetch.Holder == Self.Host) {
    const BorrowReply Reply = lendLocally(Prefetch);
    std::scoped_lock Lock(TableMutex);
    acceptLease(Table, Reply, now());
    return;
  }
  if (const auto To = addressOf(Prefetch.Holder))
    Peers.post(*To, BorrowTimeout, [this, Prefetch](wire::Peer::Client &Peer) {
      auto Request = Peer.borrowRequest();
      writeMessage(Request.initRequest(), Prefetch);
      return Request.send().then([this](auto &&Response) {
        std::scoped_lock Lock(TableMutex);
        acceptLease(Table, readMessage(Response.getReply()), now());
      });
    });
}

void QuotaService::send(const Settlement &Message) {
  if (Message.Holder.Host == Self.Host) {
    std::scoped_lock Lock(HolderMutex);
    applySettlement(Holder, Message, now());
    return;
  }
  if (const auto To = addressOf(Message.Holder.Host))
    Peers.post(*To, MessageTimeout, [Message](wire::Peer::Client &Peer) {
      auto Request = Peer.settleRequest();
      writeMessage(Request.initSettlement(), Message);
      return Request.send().ignoreResult();
    });
}

void QuotaService::send(const Recall &Message) {
  if (Message.Borrower.Host == Self.Host) {
    std::optional<Settlement> Answer;
    {
      std::scoped_lock Lock(TableMutex);
      Answer = pollenwick::returnRecalledLease(Table, Message);
    }
    if (Answer)
      send(*Answer);
    return;
  }
  if (const auto To = addressOf(Message.Borrower.Host))
    Peers.post(*To, MessageTimeout, [this, Message](wire::Peer::Client &Peer) {
      auto Request = Peer.recallRequest();
      writeMessage(Request.initRecall(), Message);
      return Request.send().then([this](auto &&Response) {
        if (!Response.getHeld())
          return;
        std::scoped_lock Lock(HolderMutex);
        applySettlement(Holder, readMessage(Response.getSettlement()), now());
      });
    });
}

void QuotaService::send(const PullRequest &Message) {
  if (Message.Holder == Self.Host) {
    const ViewLease Lease = View.lease();
    std::scoped_lock Lock(HolderMutex);
    const PullReply Reply = answerPull(Holder, Message, Lease, now());
    applyPullReply(Holder, Reply, now());
    return;
  }
  if (const auto To = addressOf(Message.Holder))
    Peers.post(*To, MessageTimeout, [this, Message](wire::Peer::Client &Peer) {
      auto Request = Peer.pullRequest();
      writeMessage(Request.initRequest(), Message);
      return Request.send().then([this](auto &&Response) {
        std::scoped_lock Lock(HolderMutex);
        applyPullReply(Holder, readMessage(Response.getReply()), now());
      });
    });
}

void QuotaService::send(const Claim &Message) {
  if (const auto To = addressOf(Message.PreviousHolder))
    Peers.post(*To, MessageTimeout, [this, Message](wire::Peer::Client &Peer) {
      auto Request = Peer.releaseRequest();
      writeMessage(Request.initClaim(), Message);
      return Request.send().then([this](auto &&Response) {
        if (!Response.getReleased())
          return;
        const ViewLease Lease = View.lease();
        std::scoped_lock Lock(HolderMutex);
        acceptHandover(Holder, readMessage(Response.getHandover()), Lease,
                       now());
      });
    });
}

void QuotaService::onBorrow(wire::BorrowRequest::Reader In,
                            wire::BorrowReply::Builder Out) {
  writeMessage(Out, lendLocally(readMessage(In)));
}

void QuotaService::onSettle(wire::Settlement::Reader In) {
  std::scoped_lock Lock(HolderMutex);
  applySettlement(Holder, readMessage(In), now());
}

void QuotaService::onRecall(wire::Recall::Reader In,
                            wire::Peer::RecallResults::Builder Out) {
  NodeCounters.add(Counter::QuotaRecalls);
  std::scoped_lock Lock(TableMutex);
  const auto Answer = pollenwick::returnRecalledLease(Table, readMessage(In));
  Out.setHeld(Answer.has_value());
  if (Answer)
    writeMessage(Out.initSettlement(), *Answer);
}

void QuotaService::onPull(wire::PullRequest::Reader In,
                          wire::PullReply::Builder Out) {
  const ViewLease Lease = View.lease();
  {
    std::scoped_lock Lock(HolderMutex);
    writeMessage(Out, answerPull(Holder, readMessage(In), Lease, now()));
  }
  wake();
}

void QuotaService::onRelease(wire::ShardClaim::Reader In,
                             wire::Peer::ReleaseResults::Builder Out) {
  std::scoped_lock Lock(HolderMutex);
  const auto Answer = releaseShard(Holder, readMessage(In), now());
  Out.setReleased(Answer.has_value());
  if (Answer)
    writeMessage(Out.initHandover(), *Answer);
}

void QuotaService::dump(Poco::JSON::Object &Out) const {
  Poco::JSON::Array::Ptr Shards = new Poco::JSON::Array;
  {
    std::scoped_lock Lock(HolderMutex);
    for (const auto &[Customer, Kept] : Holder.Shards) {
      Poco::JSON::Object::Ptr One = new Poco::JSON::Object;
      One->set("tenant", Customer.Text);
      One->set("active", Kept.Active);
      One->set("balance_micro", Kept.Balance.Value);
      One->set("outstanding_micro", Kept.Outstanding.Value);
      One->set("rate_micro", Kept.Share.RatePerSecond.Value);
      One->set("burst_micro", Kept.Share.Burst.Value);
      Shards->add(One);
    }
  }
  Out.set("shards", Shards);
  Poco::JSON::Array::Ptr Leases = new Poco::JSON::Array;
  std::scoped_lock Lock(TableMutex);
  for (const auto &[Customer, Held] : Table.Customers) {
    Poco::JSON::Object::Ptr One = new Poco::JSON::Object;
    One->set("tenant", Customer.Text);
    One->set("leases", Held.Leases.size());
    Leases->add(One);
  }
  Out.set("held", Leases);
}

} // namespace pollenwick
