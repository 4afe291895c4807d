#ifndef POLLENWICK_BUNDLE_SIGNING_H
#define POLLENWICK_BUNDLE_SIGNING_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "pollenwick/Pointer.h"

namespace pollenwick {

/// Ed25519 keys in their raw form.
struct PublicKey {
  std::array<std::uint8_t, 32> Bytes{};
  friend bool operator==(const PublicKey &, const PublicKey &) = default;
};
struct PrivateKey {
  std::array<std::uint8_t, 32> Bytes{};
};
struct KeyPair {
  PublicKey Public;
  PrivateKey Private;
};

absl::StatusOr<KeyPair> generateKeyPair();
absl::StatusOr<PublicKey> derivePublicKey(const PrivateKey &Key);

/// 64 lower-case hex characters; surrounding white space is ignored.
absl::StatusOr<PublicKey> parsePublicKey(std::string_view Text);
absl::StatusOr<PrivateKey> parsePrivateKey(std::string_view Text);
std::string keyToHex(const PublicKey &Key);
std::string keyToHex(const PrivateKey &Key);

/// Text from the system's random source, for a customer's key.
absl::StatusOr<std::string> generateCustomerKey();

/// Sets `Root` and the signature of the pointer.
absl::Status signPointer(RevisionPointer &Head, const PrivateKey &Key);

/// Parses a pointer document and checks its form, root digest and signature by
/// any of the trusted operators. Every byte counts: a document that differs
/// from the canonical one is refused.
absl::StatusOr<RevisionPointer>
verifyPointer(std::string_view Document, const std::vector<PublicKey> &Trusted);

} // namespace pollenwick

#endif
