#ifndef POLLENWICK_CORE_QUOTA_INGRESS_H
#define POLLENWICK_CORE_QUOTA_INGRESS_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/quota/Messages.h"
#include "core/view/ViewLease.h"

namespace pollenwick {

/// A lease as its borrower holds it.
struct HeldLease {
  LeaseId Id;
  ZoneId Zone;
  IncarnationId Holder;
  Instant Expiry{};
  Instant UsedAt{}; ///< Last spent from; at first the time of arrival.
  MicroTokens Left;
  MicroTokens Spent;
  MicroTokens Reported; ///< Spent count of the last settlement.
};

/// A borrow request without an answer yet.
struct PendingBorrow {
  std::uint64_t Sequence = 0;
  ZoneId Zone;
  HostId Holder;
  Instant SentAt{};
};

/// Leases of one tenant at one ingress.
struct TenantLeases {
  std::vector<ShardHolder> Holders; ///< To ask, the own zone's first.
  std::vector<HeldLease> Leases;    ///< First the ones with tokens.
  std::size_t Live = 0;             ///< How many have tokens.
  std::vector<PendingBorrow> Pending;
};

/// All leases of one node. Owned by one duty thread or guarded by one mutex.
struct LeaseTable {
  IncarnationId Self;
  ZoneId Zone;
  std::unordered_map<TenantId, TenantLeases> Tenants;
  std::uint64_t NextSequence = 1;
};

enum class SpendStatus : std::uint8_t {
  Spent,
  Ask,           ///< Borrow first, then try again.
  NoViewLease,   ///< Refuse; no holder would help.
  UnknownTenant, ///< Not in the bundle.
};

struct SpendResult {
  SpendStatus Status = SpendStatus::UnknownTenant;
  MicroTokens Lacking; ///< What is missing for one admission.
  /// Holders to ask in this order. Valid until the next `adoptBundle`.
  std::span<const ShardHolder> Holders;
};

LeaseTable makeLeaseTable(IncarnationId Self, ZoneId Zone);

/// Takes over tenants and holders of an accepted bundle. Leases are kept; they
/// end by themselves.
void adoptBundle(LeaseTable &State, const Bundle &Rules);

/// Spends one token from the leases that are held. Does not allocate. The
/// admission counts at `Now`; read the clock immediately before the call.
SpendResult spend(LeaseTable &State, const TenantId &Tenant,
                  const ViewLease &View, Instant Now);

/// Request to one holder. `Batch` is the number of tokens that would be of use
/// now, counting other waiting requests.
BorrowRequest beginBorrow(LeaseTable &State, const TenantId &Tenant,
                          const ShardHolder &Holder, MicroTokens Needed,
                          std::uint32_t Batch, Instant Now);

/// Stores a lease. Returns false if the reply was not expected or came after
/// the end of the lease.
bool acceptLease(LeaseTable &State, const BorrowReply &Reply, Instant Now);

/// Returns the unspent part of a recalled lease.
std::optional<Settlement> onRecall(LeaseTable &State, const Recall &Message);

/// Returns everything unspent of a tenant, for example the parts of a token
/// that did not add up to a whole one before a refusal.
std::vector<Settlement> giveBackAll(LeaseTable &State, const TenantId &Tenant,
                                    Instant Now);

/// Settlements and returns of idle leases that are due. Call it every
/// `IngressTick`, and with `All` when the process ends.
std::vector<Settlement> tickIngress(LeaseTable &State, Instant Now,
                                    bool All = false);

inline constexpr Duration IngressTick = std::chrono::milliseconds(2);

} // namespace pollenwick

#endif
