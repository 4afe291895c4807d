#ifndef POLLENWICK_AGENT_SETTINGS_H
#define POLLENWICK_AGENT_SETTINGS_H

#include <string>
#include <vector>

#include "agent/CallerConnection.h"
#include "core/fleet/RetryBudget.h"
#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"

namespace pollenwick::agent {

/// Settings of one agent process.
struct Settings {
  std::string NodeName;
  std::string Ip; ///< IP address of this node, without a port.
  ZoneId Zone;
  ServiceId Service;         ///< Service of the backend server on this host.
  std::string ServerAddress; ///< IP:PORT of that backend server.
  std::string CallerAddress; ///< IP:PORT for callers and the local server.
  std::string PeerAddress;   ///< IP:PORT for other nodes.
  std::string ReadyAddress;  ///< IP:PORT for readiness checks.
  /// IP:PORT for counters and histograms; empty when they are not served.
  std::string MetricsAddress;
  std::string SourceAddress; ///< IP:PORT of the configuration service.
  /// True when the whole fleet starts for the first time, so that no customer
  /// has used any quota.
  bool FirstStart = false;
  /// Time within which a confirmed change of the configuration must be in force
  /// on all nodes.
  Duration ApplyTime = std::chrono::seconds(2);
  /// Time from SIGTERM to the forced exit.
  Duration DrainGrace = std::chrono::seconds(6);
  Duration RetryWindow = std::chrono::seconds(10); ///< Of the retry budget.
  double RetryRatio = 0.2;     ///< Retries allowed per request, 0 to 1.
  double RetrySlack = 10;      ///< Additional retries allowed in each window.
  std::size_t MemoryBytes = 0; ///< Limit of this process; 0 if unknown.
  PipelineLimits Pipeline;
};

/// Reads the flag file, which an environment variable names, and then the
/// command line. Returns all errors; `Out` is valid only if there are none.
std::vector<std::string> readSettings(int Argc, char **Argv, Settings &Out);

/// Reads the flag file again. A setting that the file does not name keeps its
/// value. Returns all errors; on an error, `Out` is unchanged.
std::vector<std::string> reloadSettings(Settings &Out);

/// Returns the path of the flag file; empty when none is configured.
std::string settingsFilePath();

} // namespace pollenwick::agent

#endif
