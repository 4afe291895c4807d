#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

#include <gflags/gflags.h>

#include "../common/HttpApp.h"
#include "../common/Json.h"
#include "Arrivals.h"
#include "Caller.h"
#include "Compare.h"
#include "Report.h"

namespace {

bool validShare(const char *Flag, double Value) {
  if (Value >= 0 && Value <= 1)
    return true;
  std::cerr << "--" << Flag << ": " << Value << " must be from 0 to 1\n";
  return false;
}

} // namespace

DEFINE_string(targets, "", "caller ports of nodes, as host:port,...");
DEFINE_string(plan, "", "JSON file with the phases of the load");
DEFINE_int32(connections, 64,
             "connections, which is also the number of "
             "requests in flight at a time");
DEFINE_validator(connections, &pollenwick::tools::validPositive);
DEFINE_uint64(seed, 1, "seed of the arrivals and of the choice of routes");
DEFINE_string(id_prefix, "", "start of the request ids; default: the seed");
DEFINE_string(out, "", "file for the results as JSON");
DEFINE_string(outcomes, "", "file for one line of JSON per request");
DEFINE_int32(timeout_ms, 10'000, "time limit of a connection, in ms");
DEFINE_validator(timeout_ms, &pollenwick::tools::validPositive);
DEFINE_double(ticket_elsewhere, 0.1,
              "share of tickets that are sent to another node");
DEFINE_validator(ticket_elsewhere, &validShare);
DEFINE_string(compare_direct, "",
              "backend server, as host:port: measures the added latency");
DEFINE_int32(compare_count, 2000, "pairs of requests that are compared");
DEFINE_validator(compare_count, &pollenwick::tools::validPositive);
DEFINE_int32(compare_gap_us, 500, "pause between two requests, in us");
DEFINE_validator(compare_gap_us, &pollenwick::tools::validNotNegative);

namespace pollenwick::tools {
namespace {

constexpr int CompareWarmup = 200;
// Lets all threads start before the first arrival is due.
constexpr std::chrono::milliseconds StartDelay{50};

void writeOut(const JsonObject::Ptr &Results) {
  if (FLAGS_out.empty())
    return;
  std::ofstream Out(FLAGS_out);
  Results->stringify(Out, 1);
  Out << '\n';
  if (!Out)
    throw Poco::WriteFileException(FLAGS_out + " cannot be written");
}

int compare(const Plan &Source, const std::vector<Target> &Targets) {
  CompareSettings Settings;
  Settings.Node = Targets.front();
  Settings.Direct = parseTargets(FLAGS_compare_direct).front();
  Settings.Timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  Settings.Count = FLAGS_compare_count;
  Settings.Warmup = CompareWarmup;
  Settings.Gap = std::chrono::microseconds(FLAGS_compare_gap_us);
  const JsonObject::Ptr Results =
      compareLatency(Settings, Source.front().Customers.front());
  writeOut(Results);
  for (const char *Name : {"node", "direct", "added"}) {
    const JsonObject::Ptr Row = Results->getObject(Name);
    std::cout << Name << ": min " << Row->getValue<double>("min_ms")
              << " ms, median " << Row->getValue<double>("median_ms")
              << " ms, p99 " << Row->getValue<double>("p99_ms") << " ms\n";
  }
  return 0;
}

int run() {
  // A write to a closed connection is reported as an error instead.
  (void)std::signal(SIGPIPE, SIG_IGN);
  const std::vector<Target> Targets = parseTargets(FLAGS_targets);
  const Plan Source = readPlan(FLAGS_plan);
  if (!FLAGS_compare_direct.empty())
    return compare(Source, Targets);
  CallerSettings Settings;
  Settings.Targets = Targets;
  Settings.IdPrefix = FLAGS_id_prefix.empty() ? std::to_string(FLAGS_seed) + "-"
                                              : FLAGS_id_prefix;
  Settings.Timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  Settings.TicketElsewhere = FLAGS_ticket_elsewhere;
  Arrivals Planned(Source, FLAGS_seed);
  JobQueue Jobs(Planned, Clock::now() + StartDelay);
  Report Results(FLAGS_outcomes);
  std::vector<std::thread> Threads;
  Threads.reserve(static_cast<std::size_t>(FLAGS_connections));
  for (int Index = 0; Index < FLAGS_connections; ++Index)
    Threads.emplace_back([&, Index] {
      Caller(Settings, static_cast<std::size_t>(Index), Jobs, Results).run();
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  writeOut(Results.json());
  Results.printTable(std::cout);
  return 0;
}

} // namespace
} // namespace pollenwick::tools

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(
      "open-loop load generator: arrivals follow the plan, not the answers");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return pollenwick::tools::runMain(pollenwick::tools::run);
}
