#ifndef POLLENWICK_CORE_ROUTING_ROUTING_H
#define POLLENWICK_CORE_ROUTING_ROUTING_H

#include <cstdint>
#include <optional>
#include <random>
#include <span>

#include "core/routing/HostTable.h"
#include "pollenwick/Outcome.h"

namespace pollenwick {

struct HostChoiceRequest {
  ServiceIndex Service = 0;
  std::uint32_t Zone = 0; ///< Zone of this node, in `HostTable::Zones`.
  std::span<const HostIndex> Tried; ///< By earlier attempts of the same call.
};

struct HostChoice {
  std::optional<HostIndex> Host;
  RefusalReason Reason = RefusalReason::None; ///< Set when there is no host.
};

/// Chooses a host by power of two choices and counts the call as in flight.
/// Ejected and tried hosts are used when nothing else is left; hosts known to
/// drain are never used.
HostChoice chooseHost(HostTable &Table, const HostChoiceRequest &Request,
                      std::mt19937_64 &Random, Instant Now);

enum class HostReplyKind : std::uint8_t {
  Answered, ///< The host ran the call or refused it for load.
  Draining, ///< "not run: draining".
  Failed,   ///< No answer, connection lost or backend server lost.
  Abandoned ///< The caller cancelled; tells nothing about the host.
};

struct HostReply {
  HostReplyKind Kind = HostReplyKind::Answered;
  std::uint32_t InFlight = 0; ///< Reported; valid for `Answered`.
};

/// Ends a call that `chooseHost` counted.
void onHostReply(HostTable &Table, HostIndex Host, const HostReply &Reply,
                 Instant Now);

/// Gossip or the host itself says that it drains.
void onHostDraining(HostTable &Table, HostIndex Host, Instant Now);

/// Gossip names the running process of a host. A new incarnation clears the
/// draining mark and the failures, and starts slowly.
void onHostIncarnation(HostTable &Table, HostIndex Host, std::uint64_t Start,
                       Instant Now);

/// The platform's host list lags: its word only makes a host less attractive.
void onHostListHint(HostTable &Table, HostIndex Host, bool Leaving);

/// Estimated in-flight calls per slot, with slow start and hints applied.
double loadPerSlot(const HostTable &Table, HostIndex Host, Instant Now);

bool isDraining(const HostTable &Table, HostIndex Host, Instant Now);
bool isEjected(const HostTable &Table, HostIndex Host, Instant Now);

} // namespace pollenwick

#endif
