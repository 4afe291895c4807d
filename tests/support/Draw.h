#ifndef POLLENWICK_TESTS_SUPPORT_DRAW_H
#define POLLENWICK_TESTS_SUPPORT_DRAW_H

#include <rapidcheck.h>

#include "tests/support/Faults.h"

namespace pollenwick::test {

/// A number of the whole range [Low, High). `rc::gen::inRange` alone stays near
/// `Low` in the first cases of a property.
inline std::uint32_t drawNumber(std::uint32_t Low, std::uint32_t High) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(Low, High));
}

/// One to three faults of the given kinds that start before `Before`.
inline std::vector<Fault> drawFaults(const std::vector<FaultKind> &Kinds,
                                     std::chrono::milliseconds Before) {
  std::vector<Fault> Faults(drawNumber(1, 4));
  for (Fault &F : Faults) {
    F.Kind = Kinds[drawNumber(0, static_cast<std::uint32_t>(Kinds.size()))];
    F.At = std::chrono::milliseconds(
        drawNumber(0, static_cast<std::uint32_t>(Before.count())));
    F.For = std::chrono::milliseconds(drawNumber(1, 2500));
    F.Target = drawNumber(0, 128);
    F.Amount = drawNumber(1, 60);
  }
  return Faults;
}

} // namespace pollenwick::test

#endif
