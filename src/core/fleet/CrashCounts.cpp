#include "core/fleet/CrashCounts.h"

#include <algorithm>
#include <numeric>

namespace pollenwick {
namespace {

/// Time after its last crash for which a request is tracked.
constexpr Duration CrashRetention = std::chrono::seconds(120);
/// Bounds the memory, because many calls may be running when a server crashes.
constexpr std::size_t MaxTrackedRequests = 4096;

} // namespace

void countCrash(CrashCounts &Counts, std::uint64_t Fingerprint,
                const std::string &Node, Instant Now) {
  if (Counts.EntriesByFingerprint.size() >= MaxTrackedRequests &&
      !Counts.EntriesByFingerprint.contains(Fingerprint))
    return;
  CrashCounts::Entry &Entry = Counts.EntriesByFingerprint[Fingerprint];
  ++Entry.CrashesByNode[Node];
  Entry.LastCrashAt = Now;
}

void applyCrashReport(CrashCounts &Counts, std::uint64_t Fingerprint,
                      const std::string &Node, std::uint32_t Count,
                      Instant Now) {
  if (Counts.EntriesByFingerprint.size() >= MaxTrackedRequests &&
      !Counts.EntriesByFingerprint.contains(Fingerprint))
    return;
  CrashCounts::Entry &Entry = Counts.EntriesByFingerprint[Fingerprint];
  std::uint32_t &KnownCount = Entry.CrashesByNode[Node];
  if (Count <= KnownCount)
    return;
  KnownCount = Count;
  Entry.LastCrashAt = Now;
}

bool isQuarantined(const CrashCounts &Counts, std::uint64_t Fingerprint) {
  const auto Found = Counts.EntriesByFingerprint.find(Fingerprint);
  if (Found == Counts.EntriesByFingerprint.end())
    return false;
  const std::uint32_t Total = std::accumulate(
      Found->second.CrashesByNode.begin(), Found->second.CrashesByNode.end(),
      0U,
      [](std::uint32_t Sum, const auto &Node) { return Sum + Node.second; });
  return Total >= CrashesToQuarantine;
}

void expireCrashes(CrashCounts &Counts, Instant Now) {
  std::erase_if(Counts.EntriesByFingerprint, [Now](const auto &Item) {
    return Now - Item.second.LastCrashAt > CrashRetention;
  });
}

} // namespace pollenwick
