#ifndef POLLENWICK_CORE_FLEET_CRASHCOUNTS_H
#define POLLENWICK_CORE_FLEET_CRASHCOUNTS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Runs of a request that ended at the server of one node.
struct SuspectRuns {
  std::uint32_t Crashes = 0; ///< The server crashed meanwhile.
  /// The server answered. Only runs since the first crash that the node heard
  /// of, up to `MaxCountedCompletions`.
  std::uint32_t Completions = 0;
};

/// Fleet-wide counts of the requests, identified by their fingerprints, that
/// were running when a server crashed.
struct CrashCounts {
  struct Entry {
    std::map<std::string, SuspectRuns> RunsByNode;
    Instant LastCrashAt;
  };
  std::map<std::uint64_t, Entry> EntriesByFingerprint;
};

/// Number of crashes after which every node refuses a request.
inline constexpr std::uint32_t CrashesToQuarantine = 2;
/// A request that completes more often than this for each crash has only run
/// beside one that crashes servers: such a request completes nowhere.
inline constexpr std::uint32_t CompletionsPerCrash = 4;
/// Bound on what a node counts and reports of one request.
inline constexpr std::uint32_t MaxCountedCompletions = 1000;

/// Counts a server crash that `Node` saw while the request was running.
void countCrash(CrashCounts &Counts, std::uint64_t Fingerprint,
                const std::string &Node, Instant Now);

/// Counts a run that the server beside `Node` answered, if the request was
/// running at a crash.
void countCompletion(CrashCounts &Counts, std::uint64_t Fingerprint,
                     const std::string &Node);

/// Applies what `Node` reported of a request. Ignores a number that is not
/// larger than the known one.
void applyCrashReport(CrashCounts &Counts, std::uint64_t Fingerprint,
                      const std::string &Node, const SuspectRuns &Runs,
                      Instant Now);

/// Returns whether the request reached `CrashesToQuarantine` over all nodes,
/// and has not completed often enough since to be cleared.
bool isQuarantined(const CrashCounts &Counts, std::uint64_t Fingerprint);

/// Removes the requests that have not been running at a crash for 120 s.
void expireCrashes(CrashCounts &Counts, Instant Now);

} // namespace pollenwick

#endif
