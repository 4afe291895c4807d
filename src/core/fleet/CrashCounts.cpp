#include "core/fleet/CrashCounts.h"

#include <algorithm>
#include <numeric>

namespace pollenwick {
namespace {

constexpr Duration CrashMemory = std::chrono::seconds(120);
/// Bounds the memory: many calls run when a busy server crashes.
constexpr std::size_t LargestCount = 4096;

} // namespace

void countCrash(CrashCounts &Counts, std::uint64_t Fingerprint,
                const std::string &Node, Instant Now) {
  if (Counts.Requests.size() >= LargestCount &&
      !Counts.Requests.contains(Fingerprint))
    return;
  CrashCounts::Entry &Entry = Counts.Requests[Fingerprint];
  ++Entry.ByNode[Node];
  Entry.Last = Now;
}

void reportCrash(CrashCounts &Counts, std::uint64_t Fingerprint,
                 const std::string &Node, std::uint32_t Count, Instant Now) {
  if (Counts.Requests.size() >= LargestCount &&
      !Counts.Requests.contains(Fingerprint))
    return;
  CrashCounts::Entry &Entry = Counts.Requests[Fingerprint];
  std::uint32_t &Held = Entry.ByNode[Node];
  if (Count <= Held)
    return;
  Held = Count;
  Entry.Last = Now;
}

bool isQuarantined(const CrashCounts &Counts, std::uint64_t Fingerprint) {
  const auto Found = Counts.Requests.find(Fingerprint);
  if (Found == Counts.Requests.end())
    return false;
  const std::uint32_t Total = std::accumulate(
      Found->second.ByNode.begin(), Found->second.ByNode.end(), 0U,
      [](std::uint32_t Sum, const auto &Node) { return Sum + Node.second; });
  return Total >= CrashLimit;
}

void expireCrashes(CrashCounts &Counts, Instant Now) {
  std::erase_if(Counts.Requests, [Now](const auto &Item) {
    return Now - Item.second.Last > CrashMemory;
  });
}

} // namespace pollenwick
