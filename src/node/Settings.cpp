#include "node/Settings.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <optional>

#include <Poco/File.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <gflags/gflags.h>

DEFINE_string(host_id, "", "ID of this host in the configuration bundle");
DEFINE_string(zone, "",
              "availability zone of this host in the configuration bundle");
DEFINE_string(address, "127.0.0.1",
              "IP address on which callers and other nodes connect");
DEFINE_int32(caller_port, 0, "TCP port on which callers connect");
DEFINE_int32(egress_port, 0,
             "loopback TCP port for sub-calls of the local backend server");
DEFINE_int32(peer_port, 0, "TCP port for other nodes");
DEFINE_int32(membership_port, 0, "UDP port for heartbeats of other nodes");
DEFINE_int32(admin_port, 0, "loopback TCP port for operators");
DEFINE_string(backend, "", "IP:PORT of the local backend server");
DEFINE_string(config_service, "", "IP:PORT of the configuration service");
DEFINE_string(host_list, "", "IP:PORT of the platform's host list (optional)");
DEFINE_string(operator_key, "",
              "path of the file with the operators' public key");
DEFINE_string(
    seeds, "",
    "IP:PORT,... peer ports of nodes to ask for a first configuration");
DEFINE_int32(caller_threads, 128,
             "maximum caller connections served at once, 4 to 2000");
DEFINE_int32(ring_capacity, 1024,
             "maximum calls waiting in each internal queue, 16 to 65536");
DEFINE_int32(drain_grace_ms, 1500,
             "milliseconds that connected callers have to move to other nodes "
             "at shutdown, 0 to 60000");
DEFINE_string(tls_certificate, "",
              "path of a PEM certificate; together with --tls_key enables TLS");
DEFINE_string(tls_key, "",
              "path of a PEM key; together with --tls_certificate enables TLS");
DEFINE_string(log_format, "text", "format of log lines: text or json");

namespace pollenwick {
namespace {

constexpr const char *NodeFlags[] = {
    "host_id",         "zone",           "address",         "caller_port",
    "egress_port",     "peer_port",      "membership_port", "admin_port",
    "backend",         "config_service", "host_list",       "operator_key",
    "seeds",           "caller_threads", "ring_capacity",   "drain_grace_ms",
    "tls_certificate", "tls_key",        "log_format"};

/// Returns the environment variable that sets `Flag`.
std::string environmentName(std::string Flag) {
  std::ranges::transform(Flag, Flag.begin(), [](unsigned char C) {
    return static_cast<char>(std::toupper(C));
  });
  return "POLLENWICK_" + Flag;
}

void readEnvironment(std::vector<std::string> &Errors) {
  for (const char *Flag : NodeFlags) {
    const std::string Name = environmentName(Flag);
    const char *Value = std::getenv(Name.c_str());
    if (Value && gflags::SetCommandLineOption(Flag, Value).empty())
      Errors.push_back(Name + " is \"" + Value + "\"; use a value that --" +
                       Flag + " accepts");
  }
}

/// Parses IP:PORT. Returns nothing when `Text` has another form.
std::optional<Endpoint> parseEndpoint(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  Poco::Net::IPAddress Address;
  unsigned Port = 0;
  if (!Poco::Net::IPAddress::tryParse(Text.substr(0, Colon), Address) ||
      !Poco::NumberParser::tryParseUnsigned(Text.substr(Colon + 1), Port) ||
      Port == 0 || Port > 65535)
    return std::nullopt;
  return Endpoint{Address.toString(), static_cast<std::uint16_t>(Port)};
}

/// Validates settings and collects the errors of all invalid ones. Each check
/// appends an error that names the flag, its value and the values it accepts.
class SettingsChecker {
public:
  explicit SettingsChecker(std::vector<std::string> &E) : Errors(E) {}

  std::string required(const char *Flag, const std::string &Value) {
    if (Value.empty())
      Errors.push_back(std::string("--") + Flag +
                       " is not set; set the flag or " + environmentName(Flag));
    return Value;
  }

  std::uint16_t port(const char *Flag, std::int32_t Value) {
    return static_cast<std::uint16_t>(range(Flag, Value, 1, 65535));
  }

  std::uint32_t range(const char *Flag, std::int32_t Value, std::int32_t Low,
                      std::int32_t High) {
    if (Value < Low || Value > High)
      Errors.push_back(std::string("--") + Flag + " is " +
                       std::to_string(Value) + "; use " + std::to_string(Low) +
                       " to " + std::to_string(High));
    return static_cast<std::uint32_t>(Value);
  }

  Endpoint endpoint(const char *Flag, const std::string &Value,
                    bool Optional = false) {
    if (Value.empty() && Optional)
      return {};
    const auto Parsed = parseEndpoint(Value);
    if (!Parsed)
      Errors.push_back(std::string("--") + Flag + " is \"" + Value +
                       "\"; use IP:PORT");
    return Parsed.value_or(Endpoint{});
  }

  std::vector<Endpoint> endpoints(const char *Flag, const std::string &Value) {
    const Poco::StringTokenizer Parts(
        Value, ",",
        Poco::StringTokenizer::TOK_TRIM |
            Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    std::vector<Endpoint> Out;
    for (const auto &Part : Parts)
      Out.push_back(endpoint(Flag, Part));
    return Out;
  }

  std::string file(const char *Flag, const std::string &Value) {
    if (!Value.empty() && !Poco::File(Value).exists())
      Errors.push_back(
          std::string("--") + Flag + " is \"" + Value +
          "\", which does not exist; use the path of a readable file");
    return Value;
  }

  void require(bool Condition, std::string Message) {
    if (!Condition)
      Errors.push_back(std::move(Message));
  }

private:
  std::vector<std::string> &Errors;
};

} // namespace

std::vector<std::string> readSettings(int &Argc, char **&Argv, Settings &Out) {
  std::vector<std::string> Errors;
  readEnvironment(Errors);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  SettingsChecker Check(Errors);
  Check.require(
      Argc <= 1,
      "unexpected argument that is not a flag; set all settings by flags");
  Out.Host = HostId(Check.required("host_id", FLAGS_host_id));
  Out.Zone = ZoneId(Check.required("zone", FLAGS_zone));
  Poco::Net::IPAddress Address;
  Check.require(Poco::Net::IPAddress::tryParse(FLAGS_address, Address),
                "--address is \"" + FLAGS_address + "\"; use an IP address");
  Out.Address = FLAGS_address;
  Out.CallerPort = Check.port("caller_port", FLAGS_caller_port);
  Out.EgressPort = Check.port("egress_port", FLAGS_egress_port);
  Out.PeerPort = Check.port("peer_port", FLAGS_peer_port);
  Out.MembershipPort = Check.port("membership_port", FLAGS_membership_port);
  Out.AdminPort = Check.port("admin_port", FLAGS_admin_port);
  Out.Backend = Check.endpoint("backend", FLAGS_backend);
  Out.ConfigService = Check.endpoint("config_service", FLAGS_config_service);
  Out.HostList = Check.endpoint("host_list", FLAGS_host_list, true);
  Out.OperatorKeyFile = Check.file(
      "operator_key", Check.required("operator_key", FLAGS_operator_key));
  Out.Seeds = Check.endpoints("seeds", FLAGS_seeds);
  Out.CallerThreads =
      Check.range("caller_threads", FLAGS_caller_threads, 4, 2000);
  Out.QueueCapacity =
      Check.range("ring_capacity", FLAGS_ring_capacity, 16, 65536);
  Out.DrainGracePeriod = std::chrono::milliseconds(
      Check.range("drain_grace_ms", FLAGS_drain_grace_ms, 0, 60000));
  Out.TlsCertificateFile = Check.file("tls_certificate", FLAGS_tls_certificate);
  Out.TlsKeyFile = Check.file("tls_key", FLAGS_tls_key);
  Check.require(Out.TlsCertificateFile.empty() == Out.TlsKeyFile.empty(),
                "only one of --tls_certificate and --tls_key is set; set both "
                "or neither");
  Check.require(FLAGS_log_format == "text" || FLAGS_log_format == "json",
                "--log_format is \"" + FLAGS_log_format +
                    "\"; use text or json");
  Out.LogFormat = FLAGS_log_format;
  return Errors;
}

} // namespace pollenwick
