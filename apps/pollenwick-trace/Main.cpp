#include <fstream>
#include <functional>
#include <iostream>

#include <gflags/gflags.h>

#include "LogTrace.h"
#include "Summary.h"

DEFINE_string(request, "", "id of the request");
DEFINE_bool(prefix, false,
            "also show requests whose ids begin with it, such as nested calls "
            "whose ids extend the one of their parent");
DEFINE_bool(summary, false, "show how all requests of the logs ended");
DEFINE_bool(json, false, "print the summary as JSON");

namespace {

enum ExitCode : int { Shown = 0, NotFound = 1, BadUsage = 2 };

using EntryHandler = std::function<void(const pollenwick::trace::LogEntry &)>;

void readLog(std::istream &Input, const EntryHandler &Take) {
  std::string Line;
  while (std::getline(Input, Line))
    if (const auto Entry = pollenwick::trace::parseEntry(Line))
      Take(*Entry);
}

/// Reads the logs that the command line names. Returns false, with a message,
/// if one cannot be read.
bool readLogs(int Argc, char **Argv, const EntryHandler &Take) {
  for (int I = 1; I < Argc; ++I) {
    const std::string Name = Argv[I];
    if (Name == "-") {
      readLog(std::cin, Take);
      continue;
    }
    std::ifstream File(Name);
    if (!File) {
      std::cerr << "pollenwick-trace: cannot read \"" << Name
                << "\"; name a log file\n";
      return false;
    }
    readLog(File, Take);
  }
  return true;
}

int showSummary(int Argc, char **Argv) {
  pollenwick::trace::Summary Day;
  if (!readLogs(Argc, Argv, [&](const auto &Entry) { Day.take(Entry); }))
    return BadUsage;
  if (Day.lines() == 0) {
    std::cerr << "pollenwick-trace: no \"traffic-totals\" line; nodes write "
                 "one every 10 s and when they stop\n";
    return NotFound;
  }
  std::cout << (FLAGS_json ? toJson(Day) : describe(Day));
  return Shown;
}

int showRequest(int Argc, char **Argv) {
  pollenwick::trace::LogTrace Trace(FLAGS_request, FLAGS_prefix);
  if (!readLogs(Argc, Argv, [&](const auto &Entry) { Trace.take(Entry); }))
    return BadUsage;
  for (const auto &Found : Trace.answers())
    std::cout << pollenwick::trace::describe(Found);
  if (!Trace.answers().empty())
    return Shown;
  std::cerr << "pollenwick-trace: no line about request \"" << FLAGS_request
            << "\"; only refused and failed requests are logged, and beyond "
               "40 a second they are summed by reason\n";
  return NotFound;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetVersionString(POLLENWICK_VERSION);
  gflags::SetUsageMessage(
      "shows how a request was answered, and what the node believed then, or "
      "how all requests ended.\n"
      "pollenwick-trace --request ID LOG...\n"
      "pollenwick-trace --summary [--json] LOG...\n"
      "Logs of several nodes may stand in one file; \"-\" is standard input. "
      "Exit codes: 0 shown, 1 not found, 2 bad usage.");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (FLAGS_summary == !FLAGS_request.empty() || Argc < 2 ||
      (FLAGS_json && !FLAGS_summary)) {
    std::cerr << "pollenwick-trace: " << gflags::ProgramUsage() << '\n';
    return BadUsage;
  }
  return FLAGS_summary ? showSummary(Argc, Argv) : showRequest(Argc, Argv);
}
