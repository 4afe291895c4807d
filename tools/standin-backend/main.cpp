#include <iostream>

#include <gflags/gflags.h>

#include "../common/HttpApp.h"
#include "Backend.h"

namespace {

bool validName(const char *Flag, const std::string &Value) {
  if (!Value.empty())
    return true;
  std::cerr << "--" << Flag << " is needed\n";
  return false;
}

} // namespace

DEFINE_string(service, "", "service whose routes are served");
DEFINE_validator(service, &validName);
DEFINE_string(routes, "", "JSON source of the bundle, for the sub-calls");
DEFINE_validator(routes, &validName);
DEFINE_string(egress, "127.0.0.1:0",
              "egress port of the local node, as address:port");
DEFINE_int32(port, 0, "TCP port on 127.0.0.1; 0 lets the system choose");
DEFINE_validator(port, &pollenwick::tools::validPort);
DEFINE_int32(slots, 35, "calls that run at a time");
DEFINE_validator(slots, &pollenwick::tools::validPositive);
DEFINE_int32(max_waiting, 0, "calls that wait for a slot; 0: four per slot");
DEFINE_validator(max_waiting, &pollenwick::tools::validNotNegative);
DEFINE_int32(connections, 300, "connections served at a time");
DEFINE_validator(connections, &pollenwick::tools::validPositive);
DEFINE_int32(service_time_us, 1000, "work of a call, in microseconds");
DEFINE_validator(service_time_us, &pollenwick::tools::validNotNegative);
DEFINE_int32(cold_start_ms, 0,
             "time after the start in which calls are slower, in ms");
DEFINE_validator(cold_start_ms, &pollenwick::tools::validNotNegative);
DEFINE_int32(body_bytes, 256, "reply body when the query has no `bytes`");
DEFINE_validator(body_bytes, &pollenwick::tools::validNotNegative);
DEFINE_int32(max_runs, 200'000, "runs remembered; the oldest are dropped");
DEFINE_validator(max_runs, &pollenwick::tools::validPositive);

namespace pollenwick::tools {
namespace {

int run() {
  blockStopSignals();
  BackendSettings Settings;
  Settings.Service = FLAGS_service;
  Settings.Routes = readCallGraph(FLAGS_routes, FLAGS_service);
  if (Settings.Routes.empty()) {
    std::cerr << "error: " << FLAGS_routes << " has no route of service "
              << FLAGS_service << '\n';
    return 1;
  }
  Settings.Egress = Poco::Net::SocketAddress(FLAGS_egress);
  Settings.Slots = FLAGS_slots;
  Settings.MaxWaiting =
      FLAGS_max_waiting == 0 ? 4 * FLAGS_slots : FLAGS_max_waiting;
  Settings.ServiceTime = std::chrono::microseconds(FLAGS_service_time_us);
  Settings.ColdStart = std::chrono::milliseconds(FLAGS_cold_start_ms);
  Settings.BodyBytes = static_cast<std::size_t>(FLAGS_body_bytes);
  Settings.MaxRuns = static_cast<std::size_t>(FLAGS_max_runs);
  Backend Server(std::move(Settings));
  HttpApp App(static_cast<std::uint16_t>(FLAGS_port), FLAGS_connections,
              [&](HttpRequest &Request, HttpResponse &Response) {
                Server.serve(Request, Response);
              });
  std::cout << "port " << App.port() << std::endl;
  waitForStopSignal();
  return 0;
}

} // namespace
} // namespace pollenwick::tools

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("stand-in for a backend server of one service");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return pollenwick::tools::runMain(pollenwick::tools::run);
}
