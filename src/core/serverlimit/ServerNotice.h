#ifndef POLLENWICK_CORE_SERVERLIMIT_SERVERNOTICE_H
#define POLLENWICK_CORE_SERVERLIMIT_SERVERNOTICE_H

#include <optional>
#include <string_view>

namespace pollenwick {

/// Largest limit that a backend server can name, in requests per second.
inline constexpr double MaxNamedRequestsPerS = 1e6;

/// What a backend server says about itself in one answer.
struct ServerNotice {
  /// Requests per second that it takes from all nodes together; unset if the
  /// answer names no limit.
  std::optional<double> RequestsPerS;
  /// Whether the answer names a limit that is no number in range.
  bool LimitUnreadable = false;
  bool Leaving = false; ///< Whether the server is about to end.
};

/// Reads the notice of an answer; each text is empty if the answer has no such
/// field.
ServerNotice parseServerNotice(std::string_view Limit,
                               std::string_view Leaving);

} // namespace pollenwick

#endif
