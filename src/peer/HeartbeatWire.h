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

/// Maximum size of a membership datagram, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 8192;

/// Encodes a datagram as a packed Cap'n Proto message.
std::string encodeDatagram(const MembershipDatagram &Content);
/// Decodes a membership datagram. Returns nothing if the bytes are not a
/// complete and valid datagram.
std::optional<MembershipDatagram> decodeDatagram(std::span<const char> Bytes);

} // namespace pollenwick

#endif
