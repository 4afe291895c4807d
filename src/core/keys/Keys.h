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

/// Hashes a key by the first bytes of its digest, which are already uniformly
/// distributed.
struct KeyDigestHash {
  std::size_t operator()(const KeyDigest &Key) const noexcept;
};

/// Index of the keys of one bundle. Immutable, shared between threads.
struct KeyIndex {
  std::shared_ptr<const Bundle> Rules;
  /// Maps each key to the position of its customer in `Bundle::Customers`.
  absl::flat_hash_map<KeyDigest, std::uint32_t, KeyDigestHash> Customers;
};

/// Builds the index. Skips keys whose customer is not in the bundle.
KeyIndex indexKeys(std::shared_ptr<const Bundle> Rules);

/// The customer on whose behalf a request runs.
struct AuthorizedCaller {
  CustomerId Customer; ///< Empty on an open route without a valid key.
  friend bool operator==(const AuthorizedCaller &,
                         const AuthorizedCaller &) = default;
};

/// Authorizes a request from the caller port. Refuses it with status 401 if the
/// key is missing or unknown, and with 403 if the route is internal or does not
/// allow the customer. An open route needs no key and ignores an unknown one.
std::variant<AuthorizedCaller, Refusal>
authorizeRequest(const KeyIndex &Index, const RouteSpec &Route,
                 const std::optional<KeyDigest> &);

/// Repeats the authorization with the newest bundle immediately before
/// dispatch. Also refuses the request if the key has moved to another customer,
/// unless the route is open.
std::optional<Refusal>
reauthorizeRequest(const KeyIndex &Index, const RouteSpec &Route,
                   const std::optional<KeyDigest> &Key,
                   const AuthorizedCaller &AuthorizedBefore);

/// Returns an upper estimate of the heap memory in bytes, without the bundle.
std::size_t memoryOf(const KeyIndex &Index);

} // namespace pollenwick

#endif
