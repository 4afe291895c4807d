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

/// Ed25519 public key in raw form.
struct PublicKey {
  std::array<std::uint8_t, 32> Bytes{};
  friend bool operator==(const PublicKey &, const PublicKey &) = default;
};
/// Ed25519 private key in raw form.
struct PrivateKey {
  std::array<std::uint8_t, 32> Bytes{};
};
struct KeyPair {
  PublicKey Public;
  PrivateKey Private;
};

absl::StatusOr<KeyPair> generateKeyPair();
absl::StatusOr<PublicKey> derivePublicKey(const PrivateKey &Key);

/// Parse a key of 64 lower-case hex characters and ignore surrounding white
/// space. Return an error for any other text.
absl::StatusOr<PublicKey> parsePublicKey(std::string_view Text);
absl::StatusOr<PrivateKey> parsePrivateKey(std::string_view Text);
std::string keyToHex(const PublicKey &Key);
std::string keyToHex(const PrivateKey &Key);

/// Generates the text of a new customer key from the system's random source.
absl::StatusOr<std::string> generateCustomerKey();

/// Computes `Head.Root` and signs the pointer.
absl::Status signPointer(RevisionPointer &Head, const PrivateKey &Key);

/// Parses a pointer document and verifies its root digest and that one of the
/// trusted operators signed it. Returns an error if a check fails or if the
/// document differs from the canonical form in any byte.
absl::StatusOr<RevisionPointer>
verifyPointer(std::string_view Document, const std::vector<PublicKey> &Trusted);

} // namespace pollenwick

#endif
