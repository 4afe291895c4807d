#ifndef POLLENWICK_BUNDLE_SOURCE_H
#define POLLENWICK_BUNDLE_SOURCE_H

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "pollenwick/Bundle.h"

namespace pollenwick {

/// Maximum size of the JSON source form of a bundle, in bytes.
inline constexpr std::size_t MaxSourceBytes = 8U << 20;

/// Parses the JSON source form of a bundle. Checks the syntax and the type and
/// range of each value; `checkBundle` checks that the values are consistent. An
/// error names the path of the field, its value and the remedy.
absl::StatusOr<Bundle> parseBundle(std::string_view Text);

/// Returns the JSON source form of a bundle with indentation.
std::string formatBundle(const Bundle &Source);

} // namespace pollenwick

#endif
