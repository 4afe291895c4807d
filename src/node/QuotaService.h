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
#include "node/Counters.h"
#include "node/ServiceRegistry.h"
#include "node/ViewService.h"
#include "peer/PeerTransport.h"
#include "pollenwick/Outcome.h"

namespace pollenwick {

/// Quota of a node: leases it spends from and shards it holds. Its thread sends
/// what is due; the request path spends from any thread.
class QuotaService final : public Component {
public:
  QuotaService(const IncarnationId &Self, const ZoneId &Zone,
               const ServiceRegistry &Registry);

  std::string_view name() const override { return "quota"; }
  void start() override;
  void stop() override;
  void dump(Poco::JSON::Object &Out) const override;

  /// Spends one token of the customer, borrowing when none is held. Blocks for
  /// at most a few round trips to the holders, and not past `Deadline`. Empty
  /// when spent; otherwise the refusal, which is always "not run".
  std::optional<Refusal> spendToken(const CustomerId &Customer,
                                    Instant Deadline);

  /// True when every shard held here accrues and lends.
  bool allShardsActive() const;

  void onBundle(const BundlePtr &Old, const BundlePtr &New);

  // Requests of other nodes; called on the peer duty's thread.
  void onBorrow(wire::BorrowRequest::Reader In, wire::BorrowReply::Builder Out);
  void onSettle(wire::Settlement::Reader In);
  void onRecall(wire::Recall::Reader In,
                wire::Peer::RecallResults::Builder Out);
  void onPull(wire::PullRequest::Reader In, wire::PullReply::Builder Out);
  void onRelease(wire::ShardClaim::Reader In,
                 wire::Peer::ReleaseResults::Builder Out);

private:
  void run();
  /// Waits until the next tick; longer while nothing is lent.
  void waitForWork();
  /// Ends a long wait. Any thread.
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
  std::unordered_map<CustomerId, std::uint32_t>
      WaitingSpenders; ///< Spenders, by customer.

  std::mutex WakeMutex;
  std::condition_variable WakeCondition;
  bool WakeRequested = false;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace pollenwick

#endif
