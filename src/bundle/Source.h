#ifndef POLLENWICK_BUNDLE_SOURCE_H
#define POLLENWICK_BUNDLE_SOURCE_H

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "pollenwick/Bundle.h"

namespace pollenwick {

inline constexpr std::size_t MaxSourceBytes = 8U << 20;

/// Reads the JSON source form. Checks form, types and ranges; `checkBundle`
/// checks what the values mean together. An error names path, value, remedy.
absl::StatusOr<Bundle> parseBundle(std::string_view Text);

/// Source form of a bundle, indented.
std::string formatBundle(const Bundle &Source);

} // namespace pollenwick

#endif
