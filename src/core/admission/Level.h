#ifndef POLLENWICK_CORE_ADMISSION_LEVEL_H
#define POLLENWICK_CORE_ADMISSION_LEVEL_H

#include <cstdint>
#include <limits>

namespace pollenwick {

/// Point in the shedding order, 16.16 fixed point: the integer part is a class
/// rank, the fraction is the admitted share of that class. A request at
/// position P is admitted if P is below the level.
struct Level {
  std::uint32_t Value = std::numeric_limits<std::uint32_t>::max();

  friend bool operator==(Level A, Level B) { return A.Value == B.Value; }
  friend bool operator<(Level A, Level B) { return A.Value < B.Value; }
  friend bool operator>=(Level A, Level B) { return A.Value >= B.Value; }
};

inline constexpr std::uint32_t LevelUnit = 1U << 16;
/// Level of a reply or an ingress that cuts nothing, before the number of ranks
/// is known.
inline constexpr Level AdmitAll{};

/// Level that cuts nothing. Averages of levels need this finite value.
inline Level admitAll(std::uint32_t Ranks) { return {Ranks * LevelUnit}; }

/// Position of a request in the shedding order. Every node computes the same
/// position for all calls of one root request.
inline Level positionOf(std::uint32_t Rank, std::uint64_t RequestHash) {
  // The finalizer of splitmix64 spreads hashes that are only sequence numbers.
  std::uint64_t Mixed = RequestHash + 0x9e3779b97f4a7c15ULL;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  Mixed ^= Mixed >> 31;
  return {Rank * LevelUnit + static_cast<std::uint32_t>(Mixed >> 48)};
}

/// Level that admits `Fraction` (0 to 1) of the class with rank `Rank` and all
/// better classes.
inline Level levelAt(std::uint32_t Rank, double Fraction) {
  return {Rank * LevelUnit + static_cast<std::uint32_t>(Fraction * LevelUnit)};
}

} // namespace pollenwick

#endif
