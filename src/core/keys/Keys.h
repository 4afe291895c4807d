#ifndef POLLENWICK_CORE_KEYS_KEYS_H
#define POLLENWICK_CORE_KEYS_KEYS_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

#include "absl/container/flat_hash_map.h"
#include "core/calls/RouteLookup.h"
#include "pollenwick/Outcome.h"

namespace pollenwick {

/// The digest is uniform already, so its first bytes serve as hash.
struct KeyDigestHash {
  std::size_t operator()(const KeyDigest &Key) const noexcept;
};

/// Keys of one bundle. Immutable, shared between threads.
struct KeyIndex {
  std::shared_ptr<const Bundle> Rules;
  /// Position of the customer in `Bundle::Customers`.
  absl::flat_hash_map<KeyDigest, std::uint32_t, KeyDigestHash> Customers;
};

/// Keys of customers that the bundle does not list are left out.
KeyIndex indexKeys(std::shared_ptr<const Bundle> Rules);

/// Whom a request runs for.
struct AuthorizedCaller {
  CustomerId Customer; ///< Empty on an open route without a valid key.
  friend bool operator==(const AuthorizedCaller &,
                         const AuthorizedCaller &) = default;
};

/// Decides for whom a request from the caller port may run. 401 without a
/// known key, 403 if the route is not for the customer or is internal. An open
/// route needs no key; an unknown key on it counts as none.
std::variant<AuthorizedCaller, Refusal>
authorizeRequest(const KeyIndex &Index, const RouteSpec &Route,
                 const std::optional<KeyDigest> &);

/// Repeats the check immediately before dispatch, with the newest bundle.
/// Refuses if the key now belongs to another customer as well.
std::optional<Refusal>
reauthorizeRequest(const KeyIndex &Index, const RouteSpec &Route,
                   const std::optional<KeyDigest> &Key,
                   const AuthorizedCaller &AuthorizedBefore);

/// Upper estimate of the heap bytes held, without the bundle.
std::size_t memoryOf(const KeyIndex &Index);

} // namespace pollenwick

#endif
