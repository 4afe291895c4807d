#ifndef POLLENWICK_NODE_CONFIGCLIENT_H
#define POLLENWICK_NODE_CONFIGCLIENT_H

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "node/Settings.h"

namespace pollenwick {

/// Reads values of the configuration service. One thread at a time.
class ConfigClient {
public:
  explicit ConfigClient(Endpoint S) : Server(std::move(S)) {}

  /// NotFound when there is no such value, Unavailable when the service does
  /// not answer, ResourceExhausted when it limits its readers.
  absl::StatusOr<std::string> read(std::string_view Name);

private:
  const Endpoint Server;
};

} // namespace pollenwick

#endif
