#ifndef POLLENWICK_BUNDLE_DIGESTS_H
#define POLLENWICK_BUNDLE_DIGESTS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "pollenwick/Ids.h"

namespace pollenwick {

Digest sha256(std::string_view Bytes);

/// Returns the digest as 64 lower-case hex characters.
std::string digestToHex(const Digest &Value);
/// Parses a digest of exactly 64 lower-case hex characters; returns an error
/// for any other text.
absl::StatusOr<Digest> parseDigest(std::string_view Text);

/// Returns `2 * Size` lower-case hex characters.
std::string bytesToHex(const std::uint8_t *Bytes, std::size_t Size);
/// Decodes `2 * Size` lower-case hex characters into the `Size` bytes at `Out`.
/// Returns false if `Text` has another length or contains other characters.
bool parseHex(std::string_view Text, std::uint8_t *Out, std::size_t Size);

/// Returns the digest that represents a customer's key in the bundle, which
/// does not contain the key itself.
KeyDigest keyDigest(std::string_view KeyText);

} // namespace pollenwick

#endif
