#ifndef POLLENWICK_NODE_QUOTASERVICE_H
#define POLLENWICK_NODE_QUOTASERVICE_H

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>

#include "core/quota/Holder.h"
#include "core/quota/LeaseTable.h"
#include "node/ComponentRegistry.h"
#include "node/Counters.h"
#include "node/ViewService.h"
#include "peer/PeerTransport.h"
#include "pollenwick/Outcome.h"

namespace pollenwick {

/// Manages the quota of a node: the leases from which it spends tokens and the
/// shards from which it lends them. A thread of the service sends due
/// settlements, prefetches, pulls and claims; spendToken() is thread-safe.
class QuotaService final : public Component {
public:
  QuotaService(const IncarnationId &Self, const ZoneId &Zone,
               const ComponentRegistry &Registry);

  std::string_view name() const override { return "quota"; }
  void start() override;
  void stop() override;
  void dump(Poco::JSON::Object &Out) const override;

  /// Spends one token of the customer. Borrows tokens when no lease has one
  /// left; this blocks for at most a few round trips to the holders and starts
  /// no round trip after `Deadline`. Returns nothing when the token was spent,
  /// otherwise a refusal, whose outcome is always NotRun.
  std::optional<Refusal> spendToken(const CustomerId &Customer,
                                    Instant Deadline);

  /// Returns true when every shard held by this node is retired or is active,
  /// that is, accrues and lends tokens.
  bool allShardsActive() const;

  /// Applies a new bundle to the shards and leases.
  void onBundle(const BundlePtr &Old, const BundlePtr &New);

  // Handlers of requests from other nodes, called on the peer transport's
  // thread.
  void onBorrow(wire::BorrowRequest::Reader In, wire::BorrowReply::Builder Out);
  void onSettle(wire::Settlement::Reader In);
  void onRecall(wire::Recall::Reader In,
                wire::Peer::RecallResults::Builder Out);
  void onPull(wire::PullRequest::Reader In, wire::PullReply::Builder Out);
  void onRelease(wire::ShardClaim::Reader In,
                 wire::Peer::ReleaseResults::Builder Out);

private:
  void run();
  /// Waits until the next tick. The interval is longer while no tokens are lent
  /// or borrowed.
  void waitForWork();
  /// Ends the long wait of an idle waitForWork(). Thread-safe.
  void wake();
  SpendResult trySpend(const CustomerId &Customer);
  SpendResult borrowAndSpend(const CustomerId &Customer, SpendResult First,
                             Instant Deadline);
  std::optional<BorrowReply> borrow(const BorrowRequest &Request);
  BorrowReply lendLocally(const BorrowRequest &Request);
  void send(const BorrowRequest &Prefetch);
  void send(const Settlement &Message);
  void send(const Recall &Message);
  void send(const PullRequest &Message);
  void send(const Claim &Message);
  std::optional<PeerAddress> addressOf(const HostId &Host) const;

  const IncarnationId Self;
  Counters &NodeCounters;
  ViewService &View;
  BundleStore &Bundles;
  PeerTransport &Peers;

  mutable std::mutex HolderMutex;
  HolderState Holder;
  mutable std::mutex TableMutex;
  LeaseTable Table;
  /// Number of requests that wait for a borrowed token, by customer.
  std::unordered_map<CustomerId, std::uint32_t> WaitingSpenders;

  std::mutex WakeMutex;
  std::condition_variable WakeCondition;
  bool WakeRequested = false;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace pollenwick

#endif
