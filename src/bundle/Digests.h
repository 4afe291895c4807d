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

/// Lower-case hex, 64 characters.
std::string digestToHex(const Digest &Value);
/// Accepts exactly 64 lower-case hex characters.
absl::StatusOr<Digest> parseDigest(std::string_view Text);

std::string bytesToHex(const std::uint8_t *Bytes, std::size_t Size);
/// Reads `2 * Size` lower-case hex characters into `Out`; false otherwise.
bool parseHex(std::string_view Text, std::uint8_t *Out, std::size_t Size);

/// Digest under which the bundle lists a caller's key.
KeyDigest keyDigest(std::string_view KeyText);

} // namespace pollenwick

#endif
