#include "core/hosts/SourceReaders.h"

#include <algorithm>
#include <utility>

#include "core/hash/StableHash.h"

namespace pollenwick {
namespace {

/// Readers of the whole fleet. Two may fail in the same moment without any
/// change being delayed by the time until they are replaced.
constexpr std::size_t MinReaders = 3;

/// The order does not follow the addresses, because neighbouring addresses are
/// often started, stopped or replaced together.
std::pair<std::uint64_t, std::string> rankOf(const std::string &Ip) {
  return {stableHash({Ip}), Ip};
}

} // namespace

std::size_t readersPerZone(std::size_t Zones) {
  const std::size_t Count = std::max<std::size_t>(Zones, 1);
  return (MinReaders + Count - 1) / Count;
}

SourceUse chooseSourceUse(const std::string &OwnIp,
                          std::span<const ZonePeer> Peers,
                          std::size_t ReadersPerZone) {
  const auto OwnRank = rankOf(OwnIp);
  std::size_t Readers = 0;
  std::size_t Lost = 0;
  for (const ZonePeer &Peer : Peers) {
    if (!Peer.Reachable || rankOf(Peer.Ip) >= OwnRank)
      continue;
    ++(Peer.SourceLost ? Lost : Readers);
  }
  if (Readers >= ReadersPerZone)
    return SourceUse::Idle;
  return Lost > ReadersPerZone ? SourceUse::Probe : SourceUse::Read;
}

} // namespace pollenwick
