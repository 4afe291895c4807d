#ifndef POLLENWICK_AGENT_PLATFORMADAPTER_H
#define POLLENWICK_AGENT_PLATFORMADAPTER_H

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "pollenwick/Rules.h"

namespace pollenwick::agent {

/// How callers, backend servers and the configuration service of a deployment
/// spell what the agent works with. Implemented by an adapter.
struct PlatformAdapter {
  std::string RequestIdHeader; ///< Unique for each attempt of a caller.
  std::string DeadlineHeader;  ///< Milliseconds that the caller still waits.
  std::string ApiKeyHeader;    ///< Customer's key; never passed on.
  std::string CustomerHeader;  ///< Name of the key's customer, set by us.
  std::string
      CallerServiceHeader; ///< Service beside which the call began, by us.
  std::string
      ExpectedServerHeader;      ///< Only this server may run the call, by us.
  std::string ServerStampHeader; ///< Present on an answer made by a server.
  std::string ServerLoadHeader;
  std::string NotRunHeader; ///< Present when the server did not run the call.
  std::string ReadyPath;

  std::function<absl::StatusOr<Rules>(std::string_view)> DecodeRules;
  std::function<absl::StatusOr<ServerEntry>(const std::string &Id,
                                            std::string_view)>
      DecodeServer;
};

/// Headers of a request that the agent replaces or removes.
std::vector<std::string> reservedRequestHeaders(const PlatformAdapter &Adapter);

} // namespace pollenwick::agent

#endif
