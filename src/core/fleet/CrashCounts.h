#ifndef POLLENWICK_CORE_FLEET_CRASHCOUNTS_H
#define POLLENWICK_CORE_FLEET_CRASHCOUNTS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pollenwick/Time.h"

namespace pollenwick {

/// How often each request was running when a server crashed, over the fleet.
struct CrashCounts {
  struct Entry {
    std::map<std::string, std::uint32_t> CrashesByNode;
    Instant LastCrashAt;
  };
  std::map<std::uint64_t, Entry> EntriesByFingerprint;
};

/// Crashes after which a request is refused everywhere.
inline constexpr std::uint32_t CrashesToQuarantine = 2;

void countCrash(CrashCounts &Counts, std::uint64_t Fingerprint,
                const std::string &Node, Instant Now);

/// Takes in a node's total for a request.
void applyCrashReport(CrashCounts &Counts, std::uint64_t Fingerprint,
                      const std::string &Node, std::uint32_t Count,
                      Instant Now);

bool isQuarantined(const CrashCounts &Counts, std::uint64_t Fingerprint);

/// Forgets requests that crashed nothing for a while.
void expireCrashes(CrashCounts &Counts, Instant Now);

} // namespace pollenwick

#endif
