#ifndef POLLENWICK_CORE_ADMISSION_ADMISSIONLEVEL_H
#define POLLENWICK_CORE_ADMISSION_ADMISSIONLEVEL_H

#include <cstdint>
#include <limits>

namespace pollenwick {

/// Threshold in the shedding order, in 16.16 fixed point: the integer part is
/// the rank of a class, the fraction is the admitted share of that class.
/// Positions of requests use the same scale; a request is admitted if its
/// position is below the level.
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

/// Number of levels that one class rank spans.
inline constexpr std::uint32_t LevelsPerRank = 1U << 16;
/// Level that admits every request. It is used while the number of ranks is not
/// known.
inline constexpr AdmissionLevel AdmitAll{};

/// Returns the lowest level that admits every request when there are `Ranks`
/// ranks. Averages of levels need this finite value.
inline AdmissionLevel admitAllLevel(std::uint32_t Ranks) {
  return {Ranks * LevelsPerRank};
}

/// Returns the position of a request in the shedding order. Every node computes
/// the same position for all calls of one root request.
inline AdmissionLevel sheddingPosition(std::uint32_t Rank,
                                       std::uint64_t RequestHash) {
  // Hashes may be plain sequence numbers, so the finalizer of splitmix64
  // spreads them evenly.
  std::uint64_t Mixed = RequestHash + 0x9e3779b97f4a7c15ULL;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  Mixed ^= Mixed >> 31;
  return {Rank * LevelsPerRank + static_cast<std::uint32_t>(Mixed >> 48)};
}

/// Returns the level that admits all classes better than `Rank` and the share
/// `Fraction` (0 to 1) of the class with rank `Rank`.
inline AdmissionLevel levelAt(std::uint32_t Rank, double Fraction) {
  return {Rank * LevelsPerRank +
          static_cast<std::uint32_t>(Fraction * LevelsPerRank)};
}

} // namespace pollenwick

#endif
