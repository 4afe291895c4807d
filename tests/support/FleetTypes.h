#ifndef POLLENWICK_TESTS_SUPPORT_FLEETTYPES_H
#define POLLENWICK_TESTS_SUPPORT_FLEETTYPES_H

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "core/quota/Holder.h"
#include "core/quota/LeaseTable.h"
#include "core/view/View.h"
#include "tests/support/Faults.h"

namespace pollenwick::test {

/// Faulty rules that the properties must catch.
struct Naive {
  bool CreditExpired = false; ///< Expired leases go back to the balance.
  bool NoFence = false;       ///< A new holder starts at once.
  bool NoViewLease = false;   ///< The view is acted on without a lease.
};

struct FleetOptions {
  std::uint32_t Hosts = 6;
  std::int64_t Rate = 200; ///< Tokens per second.
  std::int64_t Burst = 40;
  Policy Rules;
  std::uint32_t Seed = 1;
  std::vector<Fault> Faults;
  Naive Wrong;
  /// No fault hinders the way to the configuration service.
  bool ServiceReachable = false;
  Duration Tick = HolderTickInterval;
  Duration SettleTick = HolderTickInterval;
  Duration ZoneDelay = std::chrono::milliseconds(1); ///< One way.
  Duration LocalDelay = std::chrono::microseconds(200);
};

/// One node process.
struct FleetNode {
  HostId Id;
  ZoneId Zone;
  bool Up = true;
  Instant PausedUntil{};
  std::uint64_t Start = 1;
  std::size_t Revision = 0; ///< Index into the published bundles.
  ViewState View;
  HolderState Holder;
  LeaseTable Ingress;
};

/// The faulty rule `CreditExpired`.
inline void creditExpiredLeases(HolderState &Holder, Instant Now) {
  for (auto &[Id, Kept] : Holder.Shards)
    while (!Kept.Leases.empty() && Kept.Leases.begin()->second.Expiry <= Now) {
      const LentLease &Lease = Kept.Leases.begin()->second;
      Kept.Balance += Lease.Tokens - Lease.Spent;
      Kept.Outstanding -= Lease.Tokens - Lease.Spent;
      Kept.Leases.erase(Kept.Leases.begin());
    }
}

/// A bundle and when it was published.
struct Published {
  Bundle Rules;
  RevisionKey Key;
  HostListHistory Hosts;
  Instant At{};
  /// A majority of the witnesses held it or a newer one at once.
  std::optional<Instant> KnownAt{};
};

enum class Answer : std::uint8_t { None, Admitted, Refused, NoLease };
/// A request of a caller.
struct Arrival {
  Instant At{};
  std::uint32_t Node = 0;
  Answer Result = Answer::None;
};

/// Something that happens at a time, in the order of planning.
struct FleetEvent {
  Instant At{};
  std::uint64_t Order = 0;
  int Node = -1; ///< -1: not bound to a process.
  std::uint64_t Start = 0;
  std::function<void()> Action;
  friend bool operator<(const FleetEvent &A, const FleetEvent &B) {
    return std::pair(A.At, A.Order) > std::pair(B.At, B.Order);
  }
};

} // namespace pollenwick::test

#endif
