#ifndef POLLENWICK_TESTS_CHOICES_H
#define POLLENWICK_TESTS_CHOICES_H

#include <cstdint>
#include <random>
#include <vector>

#include <rapidcheck.h>

namespace pollenwick {

/// Random decisions of a simulated schedule. They are stored as data so that
/// RapidCheck can shrink them; every decision after the end is 0.
struct Choices {
  std::vector<std::uint8_t> Bytes;
  std::size_t Next = 0;

  bool done() const { return Next >= Bytes.size(); }
  unsigned pick(unsigned Count) {
    return done() || Count == 0 ? 0 : Bytes[Next++] % Count;
  }
  bool chance(unsigned Percent) { return pick(100) < Percent; }
};

inline Choices drawChoices(std::size_t Count) {
  const auto Byte =
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint8_t>(0, 255));
  return {*rc::gen::container<std::vector<std::uint8_t>>(Count, Byte)};
}

inline Choices seededChoices(std::uint32_t Seed, std::size_t Count) {
  std::mt19937 Random(Seed);
  Choices Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.Bytes.push_back(static_cast<std::uint8_t>(Random() % 255));
  return Result;
}

} // namespace pollenwick

#endif
