#ifndef POLLENWICK_CORE_ADMISSION_ADMISSIONLEVEL_H
#define POLLENWICK_CORE_ADMISSION_ADMISSIONLEVEL_H

#include <cstdint>
#include <limits>

namespace pollenwick {

/// Point in the shedding order, 16.16 fixed point: the integer part is a class
/// rank, the fraction is the admitted share of that class. A request at
/// position P is admitted if P is below the level.
struct AdmissionLevel {
  std::uint32_t Value = std::numeric_limits<std::uint32_t>::max();

  friend bool operator==(AdmissionLevel A, AdmissionLevel B) {
    return A.Value == B.Value;
  }
  friend bool operator<(AdmissionLevel A, AdmissionLevel B) {
    return A.Value < B.Value;
  }
  friend bool operator>=(AdmissionLevel A, AdmissionLevel B) {
    return A.Value >= B.Value;
  }
};

inline constexpr std::uint32_t LevelsPerRank = 1U << 16;
/// Level of a reply or an ingress that cuts nothing, before the number of ranks
/// is known.
inline constexpr AdmissionLevel AdmitAll{};

/// Level that cuts nothing. Averages of levels need this finite value.
inline AdmissionLevel admitAllLevel(std::uint32_t Ranks) {
  return {Ranks * LevelsPerRank};
}

/// Position of a request in the shedding order. Every node computes the same
/// position for all calls of one root request.
inline AdmissionLevel sheddingPosition(std::uint32_t Rank,
                                       std::uint64_t RequestHash) {
  // The finalizer of splitmix64 spreads hashes that are only sequence numbers.
  std::uint64_t Mixed = RequestHash + 0x9e3779b97f4a7c15ULL;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  Mixed ^= Mixed >> 31;
  return {Rank * LevelsPerRank + static_cast<std::uint32_t>(Mixed >> 48)};
}

/// Level that admits `Fraction` (0 to 1) of the class with rank `Rank` and all
/// better classes.
inline AdmissionLevel levelAt(std::uint32_t Rank, double Fraction) {
  return {Rank * LevelsPerRank +
          static_cast<std::uint32_t>(Fraction * LevelsPerRank)};
}

} // namespace pollenwick

#endif
