#ifndef POLLENWICK_AGENT_STRINGUTIL_H
#define POLLENWICK_AGENT_STRINGUTIL_H

#include <concepts>
#include <string>
#include <string_view>

#include "absl/strings/string_view.h"

namespace pollenwick::agent {

// These helpers accept `std::string_view`. Debian builds Abseil with its own
// `absl::string_view`, which cannot be constructed from a `std::string_view`.

inline void append(std::string &Out, std::string_view Part) {
  Out.append(Part);
}
inline void append(std::string &Out, std::integral auto Part) {
  Out.append(std::to_string(Part));
}

/// Concatenates strings and integers into one string.
template <typename... Parts> std::string concat(const Parts &...Values) {
  std::string Out;
  (append(Out, Values), ...);
  return Out;
}

template <typename... Parts>
void appendAll(std::string &Out, const Parts &...Values) {
  (append(Out, Values), ...);
}

inline std::string_view toStdStringView(absl::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace pollenwick::agent

#endif
