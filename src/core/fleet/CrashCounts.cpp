#include "core/fleet/CrashCounts.h"

#include <algorithm>

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
  ++Entry.RunsByNode[Node].Crashes;
  Entry.LastCrashAt = Now;
}

void countCompletion(CrashCounts &Counts, std::uint64_t Fingerprint,
                     const std::string &Node) {
  const auto Found = Counts.EntriesByFingerprint.find(Fingerprint);
  if (Found == Counts.EntriesByFingerprint.end())
    return;
  std::uint32_t &Completions = Found->second.RunsByNode[Node].Completions;
  Completions = std::min(Completions + 1, MaxCountedCompletions);
}

void applyCrashReport(CrashCounts &Counts, std::uint64_t Fingerprint,
                      const std::string &Node, const SuspectRuns &Runs,
                      Instant Now) {
  // Only a crash makes a request a suspect.
  if (!Counts.EntriesByFingerprint.contains(Fingerprint) &&
      (Runs.Crashes == 0 ||
       Counts.EntriesByFingerprint.size() >= MaxTrackedRequests))
    return;
  CrashCounts::Entry &Entry = Counts.EntriesByFingerprint[Fingerprint];
  SuspectRuns &Known = Entry.RunsByNode[Node];
  Known.Completions = std::max(
      Known.Completions, std::min(Runs.Completions, MaxCountedCompletions));
  if (Runs.Crashes <= Known.Crashes)
    return;
  Known.Crashes = Runs.Crashes;
  Entry.LastCrashAt = Now;
}

bool isQuarantined(const CrashCounts &Counts, std::uint64_t Fingerprint) {
  const auto Found = Counts.EntriesByFingerprint.find(Fingerprint);
  if (Found == Counts.EntriesByFingerprint.end())
    return false;
  std::uint64_t Crashes = 0;
  std::uint64_t Completions = 0;
  for (const auto &[Node, Runs] : Found->second.RunsByNode) {
    Crashes += Runs.Crashes;
    Completions += Runs.Completions;
  }
  return Crashes >= CrashesToQuarantine &&
         Completions <= CompletionsPerCrash * Crashes;
}

void expireCrashes(CrashCounts &Counts, Instant Now) {
  std::erase_if(Counts.EntriesByFingerprint, [Now](const auto &Item) {
    return Now - Item.second.LastCrashAt > CrashRetention;
  });
}

} // namespace pollenwick
