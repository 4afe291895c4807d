#include "agent/Settings.h"

#include <cstdlib>
#include <fstream>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <gflags/gflags.h>

#include "absl/strings/str_cat.h"

// NOLINTBEGIN(readability-identifier-naming): gflags fixes the names.
DEFINE_string(node_name, "", "name of this node in logs and metrics");
DEFINE_string(ip, "", "own IP address");
DEFINE_string(zone, "", "availability zone of this host");
DEFINE_string(service, "", "service of the backend server on this host");
DEFINE_string(server_address, "", "IP:PORT of the backend server");
DEFINE_string(caller_address, "", "IP:PORT for callers and the local server");
DEFINE_string(peer_address, "", "IP:PORT for the other nodes");
DEFINE_string(ready_address, "", "IP:PORT for readiness checks");
DEFINE_string(
    metrics_address, "",
    "IP:PORT for metrics and the state dump, which are not served when "
    "it is empty");
DEFINE_string(source_address, "", "IP:PORT of the configuration service");
DEFINE_bool(first_start, false,
            "the whole fleet starts for the first time, so that no customer "
            "has used any quota");
DEFINE_int32(apply_time_ms, 2000,
             "milliseconds within which a confirmed change of the "
             "configuration must be in force on all nodes");
DEFINE_int32(drain_grace_s, 6, "seconds from SIGTERM to the forced exit");
DEFINE_double(retry_ratio, 0.2, "retries allowed per request, 0 to 1");
DEFINE_double(retry_slack, 10, "additional retries allowed in each window");
DEFINE_int32(retry_window_s, 10,
             "length of the retry budget's window in seconds");
DEFINE_int32(memory_mb, 0,
             "memory of this process in MB, from which the limits on what is "
             "held for callers, servers and peers follow; 0 if unknown");
DEFINE_int32(pipeline_requests, 8,
             "requests of one caller connection that may run at once");
DEFINE_int32(pipeline_kb, 256,
             "received bytes of one caller connection that wait for earlier "
             "requests, in KB; beyond it nothing is read");
// NOLINTEND(readability-identifier-naming)

namespace pollenwick::agent {
namespace {

constexpr const char *SettingsFileVariable = "POLLENWICK_SETTINGS";

void checkAddress(const char *Flag, const std::string &Value, bool Optional,
                  std::vector<std::string> &Errors) {
  if (Value.empty() && Optional)
    return;
  try {
    const Poco::Net::SocketAddress Parsed(Value);
    if (Value.empty() || Parsed.port() == 0)
      throw Poco::InvalidArgumentException("no port");
  } catch (const Poco::Exception &) {
    Errors.push_back(absl::StrCat("--", Flag, ": \"", Value,
                                  "\" is not an address; use IP:PORT"));
  }
}

void checkNotEmpty(const char *Flag, const std::string &Value,
                   std::vector<std::string> &Errors) {
  if (Value.empty())
    Errors.push_back(absl::StrCat("--", Flag, " is missing; set it"));
}

void checkRange(const char *Flag, double Value, double Min, double Max,
                std::vector<std::string> &Errors) {
  if (!(Value >= Min && Value <= Max))
    Errors.push_back(absl::StrCat("--", Flag, ": ", Value, " is outside ", Min,
                                  " to ", Max, "; use a value in that range"));
}

std::vector<std::string> validateAndCopyFlags(Settings &Out) {
  std::vector<std::string> Errors;
  checkNotEmpty("node_name", FLAGS_node_name, Errors);
  checkNotEmpty("zone", FLAGS_zone, Errors);
  checkNotEmpty("service", FLAGS_service, Errors);
  checkNotEmpty("ip", FLAGS_ip, Errors);
  checkAddress("server_address", FLAGS_server_address, false, Errors);
  checkAddress("caller_address", FLAGS_caller_address, false, Errors);
  checkAddress("peer_address", FLAGS_peer_address, false, Errors);
  checkAddress("ready_address", FLAGS_ready_address, false, Errors);
  checkAddress("metrics_address", FLAGS_metrics_address, true, Errors);
  checkAddress("source_address", FLAGS_source_address, false, Errors);
  checkRange("apply_time_ms", FLAGS_apply_time_ms, 500, 60'000, Errors);
  checkRange("drain_grace_s", FLAGS_drain_grace_s, 1, 600, Errors);
  checkRange("retry_ratio", FLAGS_retry_ratio, 0, 1, Errors);
  checkRange("retry_slack", FLAGS_retry_slack, 0, 1e6, Errors);
  checkRange("retry_window_s", FLAGS_retry_window_s, 1, 3600, Errors);
  checkRange("memory_mb", FLAGS_memory_mb, 0, 1 << 20, Errors);
  checkRange("pipeline_requests", FLAGS_pipeline_requests, 1, 256, Errors);
  checkRange("pipeline_kb", FLAGS_pipeline_kb, 1, 1 << 16, Errors);
  if (!Errors.empty())
    return Errors;
  Out.NodeName = FLAGS_node_name;
  Out.Ip = FLAGS_ip;
  Out.Zone = ZoneId(FLAGS_zone);
  Out.Service = ServiceId(FLAGS_service);
  Out.ServerAddress = FLAGS_server_address;
  Out.CallerAddress = FLAGS_caller_address;
  Out.PeerAddress = FLAGS_peer_address;
  Out.ReadyAddress = FLAGS_ready_address;
  Out.MetricsAddress = FLAGS_metrics_address;
  Out.SourceAddress = FLAGS_source_address;
  Out.FirstStart = FLAGS_first_start;
  Out.ApplyTime = std::chrono::milliseconds(FLAGS_apply_time_ms);
  Out.DrainGrace = std::chrono::seconds(FLAGS_drain_grace_s);
  Out.RetryRatio = FLAGS_retry_ratio;
  Out.RetrySlack = FLAGS_retry_slack;
  Out.RetryWindow = std::chrono::seconds(FLAGS_retry_window_s);
  Out.MemoryBytes = static_cast<std::size_t>(FLAGS_memory_mb) * 1024 * 1024;
  Out.Pipeline.MaxRequests = static_cast<std::size_t>(FLAGS_pipeline_requests);
  Out.Pipeline.MaxWaitingBytes =
      static_cast<std::size_t>(FLAGS_pipeline_kb) * 1024;
  return Errors;
}

/// Reads `--name=value` lines. Unknown names are ignored, so that a newer
/// template does not prevent an older agent from starting.
void readFlagFile(std::vector<std::string> &Errors) {
  const std::string Path = settingsFilePath();
  if (Path.empty())
    return;
  std::ifstream File(Path);
  if (!File) {
    Errors.push_back(absl::StrCat(SettingsFileVariable, ": cannot read \"",
                                  Path,
                                  "\"; check the path and its permissions"));
    return;
  }
  for (std::string Line; std::getline(File, Line);) {
    const std::size_t Equals = Line.find('=');
    if (!Line.starts_with("--") || Equals == std::string::npos)
      continue;
    const std::string Name = Line.substr(2, Equals - 2);
    const std::string Value = Line.substr(Equals + 1);
    gflags::CommandLineFlagInfo Info;
    if (!gflags::GetCommandLineFlagInfo(Name.c_str(), &Info))
      continue;
    if (gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty())
      Errors.push_back(absl::StrCat("--", Name, ": \"", Value,
                                    "\" is not of type ", Info.type,
                                    "; correct it in ", Path));
  }
}

} // namespace

std::string settingsFilePath() {
  const char *Path = std::getenv(SettingsFileVariable);
  return Path ? Path : "";
}

std::vector<std::string> readSettings(int Argc, char **Argv, Settings &Out) {
  std::vector<std::string> Errors;
  readFlagFile(Errors);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const std::vector<std::string> FlagErrors = validateAndCopyFlags(Out);
  Errors.insert(Errors.end(), FlagErrors.begin(), FlagErrors.end());
  return Errors;
}

std::vector<std::string> reloadSettings(Settings &Out) {
  std::vector<std::string> Errors;
  readFlagFile(Errors);
  if (!Errors.empty())
    return Errors;
  return validateAndCopyFlags(Out);
}

} // namespace pollenwick::agent
