#ifndef POLLENWICK_NODE_CONFIGCLIENT_H
#define POLLENWICK_NODE_CONFIGCLIENT_H

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "node/Settings.h"

namespace pollenwick {

/// Reads values from the configuration service over HTTP. Used by one thread at
/// a time.
class ConfigClient {
public:
  explicit ConfigClient(Endpoint S) : Server(std::move(S)) {}

  /// Returns the content of a value. Errors: NotFound if the service has no
  /// such value, ResourceExhausted if it answers 429 (rate limit), Unavailable
  /// if it does not answer or its answer cannot be used.
  absl::StatusOr<std::string> read(std::string_view Name);

private:
  const Endpoint Server;
};

} // namespace pollenwick

#endif
