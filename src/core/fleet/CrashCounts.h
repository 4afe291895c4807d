#ifndef POLLENWICK_CORE_FLEET_CRASHCOUNTS_H
#define POLLENWICK_CORE_FLEET_CRASHCOUNTS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pollenwick/Time.h"

namespace pollenwick {

/// Fleet-wide count of the server crashes during which each request, identified
/// by its fingerprint, was running.
struct CrashCounts {
  struct Entry {
    std::map<std::string, std::uint32_t> CrashesByNode;
    Instant LastCrashAt;
  };
  std::map<std::uint64_t, Entry> EntriesByFingerprint;
};

/// Number of crashes after which every node refuses a request.
inline constexpr std::uint32_t CrashesToQuarantine = 2;

/// Counts a server crash that `Node` saw while the request was running.
void countCrash(CrashCounts &Counts, std::uint64_t Fingerprint,
                const std::string &Node, Instant Now);

/// Applies the number of crashes that `Node` reported for a request. Ignores a
/// number that is not larger than the known one.
void applyCrashReport(CrashCounts &Counts, std::uint64_t Fingerprint,
                      const std::string &Node, std::uint32_t Count,
                      Instant Now);

/// Returns whether the request reached `CrashesToQuarantine` over all nodes.
bool isQuarantined(const CrashCounts &Counts, std::uint64_t Fingerprint);

/// Removes the requests that have not been running at a crash for 120 s.
void expireCrashes(CrashCounts &Counts, Instant Now);

} // namespace pollenwick

#endif
