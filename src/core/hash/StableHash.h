#ifndef POLLENWICK_CORE_HASH_STABLEHASH_H
#define POLLENWICK_CORE_HASH_STABLEHASH_H

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace pollenwick {

/// Returns a 64-bit hash of the texts and their boundaries. It is the same in
/// every process and release, so nodes may compare their results.
std::uint64_t stableHash(std::initializer_list<std::string_view> Texts);

} // namespace pollenwick

#endif
