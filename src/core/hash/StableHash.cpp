#include "core/hash/StableHash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pollenwick {

std::uint64_t stableHash(std::initializer_list<std::string_view> Texts) {
  std::uint64_t Hash = 0;
  // The hash of a text depends on its length, and its seed on the texts before,
  // so the boundaries between texts count.
  for (const std::string_view Text : Texts)
    Hash = XXH3_64bits_withSeed(Text.data(), Text.size(), Hash);
  return Hash;
}

} // namespace pollenwick
