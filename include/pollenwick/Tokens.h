#ifndef POLLENWICK_TOKENS_H
#define POLLENWICK_TOKENS_H

#include <compare>
#include <cstdint>

namespace pollenwick {

/// Amount of quota in millionths of a token. One admission costs `OneToken`.
/// Integers make the shares of a customer's quota sum exactly to the total.
struct MicroTokens {
  std::int64_t Value = 0;

  // clang-tidy 14 reports the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const MicroTokens &, const MicroTokens &) = default;
  MicroTokens &operator+=(MicroTokens Other) {
    Value += Other.Value;
    return *this;
  }
  MicroTokens &operator-=(MicroTokens Other) {
    Value -= Other.Value;
    return *this;
  }
  friend MicroTokens operator+(MicroTokens A, MicroTokens B) { return A += B; }
  friend MicroTokens operator-(MicroTokens A, MicroTokens B) { return A -= B; }
};

inline constexpr MicroTokens OneToken{1'000'000};

} // namespace pollenwick

#endif
