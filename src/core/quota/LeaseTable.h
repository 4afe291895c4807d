#ifndef POLLENWICK_CORE_QUOTA_LEASETABLE_H
#define POLLENWICK_CORE_QUOTA_LEASETABLE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/quota/Messages.h"
#include "core/view/ViewLease.h"

namespace pollenwick {

/// Lease of tokens at its borrower.
struct BorrowedLease {
  LeaseId Id;
  ZoneId Zone;
  IncarnationId Holder;
  Instant Expiry{};
  Instant LastUsedAt{}; ///< Time of the last spend, initially of arrival.
  MicroTokens Unspent;
  MicroTokens Spent;
  MicroTokens ReportedSpent; ///< `Spent` as of the last settlement.
};

/// Borrow request that has not been answered yet.
struct PendingBorrow {
  std::uint64_t Sequence = 0;
  ZoneId Zone;
  HostId Holder;
  Instant SentAt{};
};

/// Leases of one customer at one ingress.
struct CustomerLeases {
  std::vector<ShardHolder> Holders; ///< In the order of asking: own zone first.
  /// Holders that can collect fractions of a token, in the same order on every
  /// node. Each is asked only if all holders before it did not answer.
  std::vector<ShardHolder> Collectors;
  std::vector<BorrowedLease> Leases; ///< Those with unspent tokens first.
  std::size_t LiveCount = 0;         ///< Number of those with tokens.
  std::vector<PendingBorrow> PendingBorrows;
  Instant LastSpentAt{};          ///< Time of the last spend.
  Instant PreviousSpentAt{};      ///< Time of the spend before the last.
  std::uint32_t SpendsInTick = 0; ///< Tokens spent since the last `prefetch`.
  Instant NextPrefetchAt{};
};

/// All leases that one node has borrowed, by customer. Used by a single thread
/// or guarded by one mutex.
struct LeaseTable {
  IncarnationId Self;
  ZoneId Zone;
  std::unordered_map<CustomerId, CustomerLeases> Customers;
  std::uint64_t NextSequence = 1;
};

/// Outcome of an attempt to spend one token.
enum class SpendStatus : std::uint8_t {
  Spent,
  NeedsBorrow,     ///< Too few tokens: borrow, then try again.
  NoViewLease,     ///< Refuse: no holder lends without one.
  UnknownCustomer, ///< Not in the bundle.
};

struct SpendResult {
  SpendStatus Status = SpendStatus::UnknownCustomer;
  MicroTokens MissingTokens; ///< Tokens to borrow for one admission.
};

/// Progress of one request that waits for a token.
struct BorrowSearch {
  enum class Stage : std::uint8_t {
    AskHolders,
    AskCollectors,
    AskCollectorAgain
  };
  CustomerId Customer;
  Stage CurrentStage = Stage::AskHolders;
  std::size_t HoldersAsked = 0;     ///< Holders that were asked.
  std::size_t CollectorsAsked = 0;  ///< Collectors that were asked.
  bool AskAgain = false;            ///< Some reply set `AskAgain`.
  bool LastTimedOut = false;        ///< The last request timed out.
  bool AskedCollectorAgain = false; ///< A collector was asked twice.
};

/// Next step of a request that waits for a token: either it sends `Request` and
/// awaits the reply, or it waits for the time `Wait`, and then tries to spend
/// again; or it is refused.
struct BorrowStep {
  enum class Kind : std::uint8_t { SendRequest, Wait, Refuse };
  Kind NextAction = Kind::Refuse;
  BorrowRequest Request;
  Duration Wait{};
};

/// Creates a table without customers and leases.
LeaseTable makeLeaseTable(IncarnationId Self, ZoneId Zone);

/// Applies the customers and holders of an accepted bundle. Keeps the leases of
/// customers that remain; they expire at their own time.
void applyBundle(LeaseTable &State, const Bundle &Rules);

/// Spends one token from the borrowed leases. Does not allocate. The admission
/// counts as made at `Now`, so the caller must read the clock immediately
/// before the call.
SpendResult spend(LeaseTable &State, const CustomerId &Customer,
                  const ViewLease &View, Instant Now);

/// Returns the next step of a request for which `spend` returned `NeedsBorrow`.
/// The request asks the holder of its own zone, the other holders, and then a
/// collector. `MissingTokens` is the value from `spend`; `Batch` is the number
/// of tokens that the node can use now.
BorrowStep nextBorrowStep(LeaseTable &State, BorrowSearch &Search,
                          MicroTokens MissingTokens, std::uint32_t Batch,
                          Instant Now);
/// Records the reply to the last borrow request; null means that the request
/// timed out. Does not store the lease; the caller passes it to `acceptLease`.
void recordReply(BorrowSearch &Search, const BorrowReply *Reply);

/// Stores the lease of a reply. Returns false if the reply answers no pending
/// request, carries no tokens or arrived after the lease expired.
bool acceptLease(LeaseTable &State, const BorrowReply &Reply, Instant Now);

/// Closes a recalled lease and returns the settlement that gives its unspent
/// tokens back; nothing if the lease is no longer held or has no tokens.
std::optional<Settlement> returnRecalledLease(LeaseTable &State,
                                              const Recall &Message);

/// Returns the settlements that are due, including the returns of idle leases.
/// Must be called every `IngressTickInterval`, and with `ReturnAll` when the
/// process ends, which returns every lease.
std::vector<Settlement> tickIngress(LeaseTable &State, Instant Now,
                                    bool ReturnAll = false);

/// Returns borrow requests for the tokens that the next admissions of steadily
/// active customers will need. Holders lend for them only from the upper half
/// of a shard. The replies go to `acceptLease`. Must be called every
/// `IngressTickInterval`, after `tickIngress`.
std::vector<BorrowRequest> prefetch(LeaseTable &State, Instant Now);

/// Returns whether neither a settlement nor a prefetch is due: no lease is
/// held, no borrow request is pending and no customer spent a token recently.
bool isIdle(const LeaseTable &State, Instant Now);

inline constexpr Duration IngressTickInterval = std::chrono::milliseconds(2);

} // namespace pollenwick

#endif
