#ifndef POLLENWICK_AGENT_DIALECT_H
#define POLLENWICK_AGENT_DIALECT_H

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "pollenwick/Rules.h"

namespace pollenwick::agent {

/// How callers, backend servers and the configuration service of a deployment
/// spell what the agent works with. Implemented by an adapter.
struct Dialect {
  std::string RequestId;      ///< Unique for each attempt of a caller.
  std::string Deadline;       ///< Milliseconds that the caller still waits.
  std::string Key;            ///< Customer's key; never passed on.
  std::string Customer;       ///< Name of the key's customer, set by us.
  std::string CallerService;  ///< Service beside which the call began, by us.
  std::string ExpectedServer; ///< Only this server may run the call, by us.
  std::string ServerStamp;    ///< Present on an answer made by a server.
  std::string ServerLoad;
  std::string NotRun; ///< Present when the server did not run the call.
  std::string ReadyPath;

  std::function<absl::StatusOr<Rules>(std::string_view)> DecodeRules;
  std::function<absl::StatusOr<ServerEntry>(const std::string &Id,
                                            std::string_view)>
      DecodeServer;
};

/// Headers of a request that the agent replaces or removes.
std::vector<std::string> ownedRequestHeaders(const Dialect &Words);

} // namespace pollenwick::agent

#endif
