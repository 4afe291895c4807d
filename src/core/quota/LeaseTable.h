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

/// A lease as its borrower holds it.
struct BorrowedLease {
  LeaseId Id;
  ZoneId Zone;
  IncarnationId Holder;
  Instant Expiry{};
  Instant LastUsedAt{}; ///< Last spent from; at first the time of arrival.
  MicroTokens Unspent;
  MicroTokens Spent;
  MicroTokens ReportedSpent; ///< Spent count of the last settlement.
};

/// A borrow request without an answer yet.
struct PendingBorrow {
  std::uint64_t Sequence = 0;
  ZoneId Zone;
  HostId Holder;
  Instant SentAt{};
};

/// Leases of one customer at one ingress.
struct CustomerLeases {
  std::vector<ShardHolder> Holders; ///< To ask, the own zone's first.
  /// Holders that collect fractions of a token, in the same order on every
  /// node; a later one is asked only if the ones before do not answer.
  std::vector<ShardHolder> Collectors;
  std::vector<BorrowedLease> Leases; ///< First the ones with tokens.
  std::size_t LiveCount = 0;         ///< How many have tokens.
  std::vector<PendingBorrow> PendingBorrows;
  Instant LastSpentAt{}; ///< Last spend; the one before at `PreviousSpentAt`.
  Instant PreviousSpentAt{};
  std::uint32_t SpendsInTick = 0;
  Instant NextPrefetchAt{};
};

/// ReturnAll leases of one node. Owned by one duty thread or guarded by one
/// mutex.
struct LeaseTable {
  IncarnationId Self;
  ZoneId Zone;
  std::unordered_map<CustomerId, CustomerLeases> Customers;
  std::uint64_t NextSequence = 1;
};

enum class SpendStatus : std::uint8_t {
  Spent,
  NeedsBorrow,     ///< Borrow first, then try again.
  NoViewLease,     ///< Refuse; no holder would help.
  UnknownCustomer, ///< Not in the bundle.
};

struct SpendResult {
  SpendStatus Status = SpendStatus::UnknownCustomer;
  MicroTokens MissingTokens; ///< What is missing for one admission.
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
  std::size_t HoldersAsked = 0;     ///< Holders asked in the round.
  std::size_t CollectorsAsked = 0;  ///< Collectors asked.
  bool AskAgain = false;            ///< Some answer promised more.
  bool LastTimedOut = false;        ///< The last question timed out.
  bool AskedCollectorAgain = false; ///< The collector was asked once more.
};

/// What a waiting request does next: send `Request` and wait for the reply, or
/// wait for `Wait`, and then try to spend again; or be refused.
struct BorrowStep {
  enum class Kind : std::uint8_t { SendRequest, Wait, Refuse };
  Kind NextAction = Kind::Refuse;
  BorrowRequest Request;
  Duration Wait{};
};

LeaseTable makeLeaseTable(IncarnationId Self, ZoneId Zone);

/// Takes over customers and holders of an accepted bundle. Leases are kept;
/// they end by themselves.
void applyBundle(LeaseTable &State, const Bundle &Rules);

/// Spends one token from the leases that are held. Does not allocate. The
/// admission counts at `Now`; read the clock immediately before the call.
SpendResult spend(LeaseTable &State, const CustomerId &Customer,
                  const ViewLease &View, Instant Now);

/// Next step of a request for which `spend` answered `NeedsBorrow`: the holder
/// of the own zone, the other holders, then a collector. `MissingTokens` is
/// from `spend`; `Batch` is the number of tokens that would be of use now.
BorrowStep nextBorrowStep(LeaseTable &State, BorrowSearch &Search,
                          MicroTokens MissingTokens, std::uint32_t Batch,
                          Instant Now);
/// Notes the answer to the last question, or that it timed out (null). The
/// lease itself goes to `acceptLease`.
void recordReply(BorrowSearch &Search, const BorrowReply *Reply);

/// Stores a lease. Returns false if the reply was not expected or came after
/// the end of the lease.
bool acceptLease(LeaseTable &State, const BorrowReply &Reply, Instant Now);

/// Returns the unspent part of a recalled lease.
std::optional<Settlement> returnRecalledLease(LeaseTable &State,
                                              const Recall &Message);

/// Settlements and returns of idle leases that are due. Call it every
/// `IngressTickInterval`, and with `ReturnAll` when the process ends.
std::vector<Settlement> tickIngress(LeaseTable &State, Instant Now,
                                    bool ReturnAll = false);

/// Requests for tokens that the next admissions will need, for customers in
/// steady use. Holders answer them only from the upper half of a shard. The
/// replies go to `acceptLease`. Call it every `IngressTickInterval`, after
/// `tickIngress`.
std::vector<BorrowRequest> prefetch(LeaseTable &State, Instant Now);

/// True while no lease and no answer is outstanding and no customer is in
/// steady use, so that neither a settlement nor a prefetch is due.
bool isIdle(const LeaseTable &State, Instant Now);

inline constexpr Duration IngressTickInterval = std::chrono::milliseconds(2);

} // namespace pollenwick

#endif
