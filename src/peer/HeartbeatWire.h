#ifndef POLLENWICK_PEER_HEARTBEATWIRE_H
#define POLLENWICK_PEER_HEARTBEATWIRE_H

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/membership/Membership.h"
#include "core/quarantine/Quarantine.h"

namespace pollenwick {

/// Content of one membership datagram.
struct MembershipDatagram {
  Heartbeat Beat;
  std::vector<Suspicion> Suspicions;
};

/// Largest datagram that is read or written, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 8192;

std::string encodeDatagram(const MembershipDatagram &Content);
/// Nothing for bytes that are not a whole datagram of this system.
std::optional<MembershipDatagram> decodeDatagram(std::span<const char> Bytes);

} // namespace pollenwick

#endif
