#ifndef POLLENWICK_CORE_ROUTING_ROUTING_H
#define POLLENWICK_CORE_ROUTING_ROUTING_H

#include <cstdint>
#include <optional>
#include <random>
#include <span>

#include "core/routing/HostTable.h"
#include "pollenwick/Outcome.h"

namespace pollenwick {

/// Input of `chooseHost`.
struct HostChoiceRequest {
  ServiceIndex Service = 0;
  std::uint32_t Zone = 0; ///< Zone of this node, in `HostTable::Zones`.
  std::span<const HostIndex> Tried; ///< Hosts of earlier attempts.
};

/// The chosen host, or the reason why there is none.
struct HostChoice {
  std::optional<HostIndex> Host;
  RefusalReason Reason = RefusalReason::None; ///< Set if `Host` is unset.
};

/// Chooses a host by power of two choices and counts the call as in flight.
/// Ejected hosts and hosts already tried are used only if no other host is
/// left; hosts known to be draining are never used.
HostChoice chooseHost(HostTable &Table, const HostChoiceRequest &Request,
                      std::mt19937_64 &Random, Instant Now);

/// How a call to a host ended.
enum class HostReplyKind : std::uint8_t {
  Answered, ///< The host ran the call or refused it because of overload.
  Draining, ///< The host replied "not run" because it is draining.
  Failed,   ///< No answer, connection lost or backend server lost.
  Abandoned ///< The caller cancelled; says nothing about the host.
};

/// The end of a call to a host and the load that the host reported.
struct HostReply {
  HostReplyKind Kind = HostReplyKind::Answered;
  std::uint32_t InFlight =
      0; ///< Reported calls in flight; for `Answered` only.
};

/// Ends a call that `chooseHost` counted as in flight and updates the host's
/// load, failures and draining mark.
void onHostReply(HostTable &Table, HostIndex Host, const HostReply &Reply,
                 Instant Now);

/// Marks a host as draining, as announced by gossip or by the host itself.
void onHostDraining(HostTable &Table, HostIndex Host, Instant Now);

/// Records the incarnation of a host, as announced by gossip. A new incarnation
/// clears the draining mark and the failures and begins a slow start.
void onHostIncarnation(HostTable &Table, HostIndex Host, std::uint64_t Start,
                       Instant Now);

/// Records whether the platform's host list marks a host as leaving. Since the
/// list lags behind, the hint raises the host's load but does not exclude it.
void onHostListHint(HostTable &Table, HostIndex Host, bool Leaving);

/// Returns the estimated number of calls in flight per slot, including the call
/// to be placed, scaled by slow start and the leaving hint.
double loadPerSlot(const HostTable &Table, HostIndex Host, Instant Now);

bool isDraining(const HostTable &Table, HostIndex Host, Instant Now);
bool isEjected(const HostTable &Table, HostIndex Host, Instant Now);

} // namespace pollenwick

#endif
