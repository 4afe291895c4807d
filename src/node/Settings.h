#ifndef POLLENWICK_NODE_SETTINGS_H
#define POLLENWICK_NODE_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Network address of a server.
struct Endpoint {
  std::string Address; ///< IP address.
  std::uint16_t Port = 0;
};

/// Settings of a node, validated when the process starts.
struct Settings {
  HostId Host;
  ZoneId Zone;
  std::string Address; ///< IP address on which callers and peers connect.
  std::uint16_t CallerPort = 0;
  std::uint16_t EgressPort = 0;     ///< TCP, on loopback.
  std::uint16_t PeerPort = 0;       ///< TCP.
  std::uint16_t MembershipPort = 0; ///< UDP.
  std::uint16_t AdminPort = 0;      ///< TCP, on loopback.
  Endpoint Backend;                 ///< Local backend server.
  Endpoint ConfigService;
  Endpoint HostList;               ///< Platform's host list; port 0 when unset.
  std::string OperatorKeyFile;     ///< Path of the operators' public key.
  std::vector<Endpoint> Seeds;     ///< Peer ports to ask for a first bundle.
  std::uint32_t CallerThreads = 0; ///< Caller connections served at once.
  std::uint32_t QueueCapacity = 0; ///< Capacity of each internal queue.
  /// Time for connected callers to move to another node before shutdown.
  Duration DrainGracePeriod{};
  std::string TlsCertificateFile; ///< PEM file; empty without TLS.
  std::string TlsKeyFile;         ///< PEM file; empty without TLS.
  std::string LogFormat;          ///< `text` or `json`.
};

/// Reads the settings from the environment (`POLLENWICK_` and the flag's name
/// in capitals) and from the command line, which takes precedence, and
/// validates them. Returns all errors found; `Out` is usable only when there
/// are none.
std::vector<std::string> readSettings(int &Argc, char **&Argv, Settings &Out);

} // namespace pollenwick

#endif
