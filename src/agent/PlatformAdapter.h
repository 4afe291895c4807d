#ifndef POLLENWICK_AGENT_PLATFORMADAPTER_H
#define POLLENWICK_AGENT_PLATFORMADAPTER_H

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "pollenwick/Rules.h"

namespace pollenwick::agent {

/// Header names, paths and data formats that the callers, backend servers and
/// configuration service of a deployment use. Each platform's adapter fills it.
struct PlatformAdapter {
  std::string RequestIdHeader; ///< Differs for each attempt of a caller.
  std::string DeadlineHeader;  ///< Remaining time of the caller in ms.
  std::string ApiKeyHeader;    ///< Customer's key; never forwarded.
  std::string CustomerHeader; ///< Name of the key's customer; set by the agent.
  /// Service of the node where the call entered; set by the agent.
  std::string CallerServiceHeader;
  /// Id of the only server that may run the call; set by the agent.
  std::string ExpectedServerHeader;
  std::string ServerStampHeader; ///< Set on answers that a server made.
  std::string ServerLoadHeader;  ///< Load of the server, on its answers.
  std::string NotRunHeader;      ///< Set when the server did not run the call.
  /// Spellings of the header with the requests per second that the server takes
  /// from all nodes together, on its answers; the first one present counts.
  std::vector<std::string> RequestLimitHeaders;
  /// Spellings of the header on the answers of a server that is about to end.
  std::vector<std::string> ServerLeavingHeaders;
  /// How much longer a server stays cold in ms, on its health answers.
  std::string ColdRemainingHeader;
  std::string ServerIdHeader; ///< Id of the server, on its health answers.
  std::string ReadyPath;      ///< Path of the server's readiness check.

  /// Decodes a stored configuration; InvalidArgument if it is malformed.
  std::function<absl::StatusOr<Rules>(std::string_view)> DecodeRules;
  /// Decodes a server's stored entry; InvalidArgument if it is malformed.
  std::function<absl::StatusOr<ServerEntry>(const std::string &Id,
                                            std::string_view)>
      DecodeServer;
  /// Returns the zone that a record of the kind `Rules` asks to evacuate;
  /// NotFound if it is no such record, InvalidArgument if it is malformed.
  std::function<absl::StatusOr<ZoneId>(const std::string &Id)> DecodeEvacuation;
};

/// Returns the request headers that the agent replaces or removes.
std::vector<std::string> reservedRequestHeaders(const PlatformAdapter &Adapter);

} // namespace pollenwick::agent

#endif
