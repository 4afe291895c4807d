#ifndef POLLENWICK_IDS_H
#define POLLENWICK_IDS_H

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace pollenwick {

// clang-tidy 14 reports the code that the compiler generates for a defaulted
// operator<=>, hence the suppressions below.

/// Text identifier that cannot be mixed with identifiers of another kind.
template <typename Tag> struct TextId {
  std::string Text;

  TextId() = default;
  explicit TextId(std::string Value) : Text(std::move(Value)) {}

  bool empty() const { return Text.empty(); }
  // clang-tidy 14 reports the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const TextId &, const TextId &) = default;
  friend std::ostream &operator<<(std::ostream &Out, const TextId &Id) {
    return Out << Id.Text;
  }
};

/// Numeric identifier that cannot be mixed with identifiers of another kind.
template <typename Tag> struct NumberId {
  std::uint64_t Value = 0;

  NumberId() = default;
  constexpr explicit NumberId(std::uint64_t V) : Value(V) {}

  // clang-tidy 14 reports the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const NumberId &, const NumberId &) = default;
  friend std::ostream &operator<<(std::ostream &Out, const NumberId &Id) {
    return Out << Id.Value;
  }
};

using CustomerId = TextId<struct CustomerTag>;
using HostId = TextId<struct HostTag>;
using ServiceId = TextId<struct ServiceTag>;
using ZoneId = TextId<struct ZoneTag>;
using ClassId = TextId<struct ClassTag>;
/// Route id of the form `SERVICE/ROUTE`. A slash in front of it makes the path
/// prefix of the route.
using RouteId = TextId<struct RouteTag>;

/// Monotonically increasing number of a bundle; 0 means "no bundle".
using Revision = NumberId<struct RevisionTag>;
/// Random number that each process draws at start. Distinguishes successive
/// processes of the same host.
using StartId = NumberId<struct StartTag>;
/// Number of a call, unique within the incarnation that issued it.
using CallId = NumberId<struct CallTag>;
/// Identifies a root request; shared by all calls made on its behalf.
using RootId = NumberId<struct RootTag>;

/// SHA-256 digest.
using Digest = std::array<std::uint8_t, 32>;

/// SHA-256 digest of a caller's key. The key itself is never stored.
struct KeyDigest {
  Digest Bytes{};
  // clang-tidy 14 reports the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const KeyDigest &, const KeyDigest &) = default;
};

/// Identifies one run of a node process on a host.
struct IncarnationId {
  HostId Host;
  StartId Start;
  // clang-tidy 14 reports the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const IncarnationId &,
                          const IncarnationId &) = default;
};

} // namespace pollenwick

template <typename Tag> struct std::hash<pollenwick::TextId<Tag>> {
  std::size_t operator()(const pollenwick::TextId<Tag> &Id) const noexcept {
    return std::hash<std::string>()(Id.Text);
  }
};

template <typename Tag> struct std::hash<pollenwick::NumberId<Tag>> {
  std::size_t operator()(const pollenwick::NumberId<Tag> &Id) const noexcept {
    return std::hash<std::uint64_t>()(Id.Value);
  }
};

#endif
