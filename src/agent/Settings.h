#ifndef POLLENWICK_AGENT_SETTINGS_H
#define POLLENWICK_AGENT_SETTINGS_H

#include <string>
#include <vector>

#include "core/fleet/RetryBudget.h"
#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"

namespace pollenwick::agent {

/// Settings of one agent process.
struct Settings {
  std::string NodeName;
  std::string Ip; ///< Own address, without port.
  ZoneId Zone;
  ServiceId Service;          ///< Of the backend server on this host.
  std::string ServerAddress;  ///< Of that server, IP:PORT.
  std::string CallerAddress;  ///< Callers and the local server connect here.
  std::string PeerAddress;    ///< Other nodes connect here.
  std::string ReadyAddress;   ///< Readiness checks.
  std::string MetricsAddress; ///< Counters and histograms.
  std::string SourceAddress;  ///< Configuration service.
  bool FirstStart = false;    ///< The whole fleet starts for the first time.
  Duration DrainGrace = std::chrono::seconds(6); ///< From SIGTERM to the end.
  Duration RetryWindow = std::chrono::seconds(10);
  double RetryRatio = 0.2;
  double RetrySlack = 10;
};

/// Reads flags, environment and the flag file. Returns all errors at once.
std::vector<std::string> readSettings(int Argc, char **Argv, Settings &Out);

/// Reads the flag file again. Unchanged settings stay.
std::vector<std::string> reloadSettings(Settings &Out);

/// Path of the flag file; empty if there is none.
std::string settingsFilePath();

} // namespace pollenwick::agent

#endif
