#ifndef POLLENWICK_NODE_SETTINGS_H
#define POLLENWICK_NODE_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"

namespace pollenwick {

struct Endpoint {
  std::string Address; ///< IP number.
  std::uint16_t Port = 0;
};

/// Settings of a node, checked at the start of the process.
struct Settings {
  HostId Host;
  ZoneId Zone;
  std::string Address; ///< IP number on which callers and peers connect.
  std::uint16_t CallerPort = 0;
  std::uint16_t EgressPort = 0;     ///< On loopback.
  std::uint16_t PeerPort = 0;       ///< TCP.
  std::uint16_t MembershipPort = 0; ///< UDP.
  std::uint16_t AdminPort = 0;      ///< On loopback.
  Endpoint Backend;
  Endpoint ConfigService;
  Endpoint HostList;
  std::string OperatorKeyFile;
  std::vector<Endpoint> Seeds; ///< Peer ports of other nodes.
  std::uint32_t CallerThreads = 0;
  std::uint32_t QueueCapacity = 0;
  Duration DrainGracePeriod{};
  std::string TlsCertificateFile;
  std::string TlsKeyFile;
  std::string LogFormat; ///< `text` or `json`.
};

/// Fills in flags from the environment (`POLLENWICK_` and the flag's name in
/// capitals), parses the command line, which takes precedence, and checks all
/// settings. Returns every error found; empty when `Out` is usable.
std::vector<std::string> readSettings(int &Argc, char **&Argv, Settings &Out);

} // namespace pollenwick

#endif
