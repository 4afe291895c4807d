#include <fstream>
#include <iostream>

#include <gflags/gflags.h>

#include "LogTrace.h"

DEFINE_string(request, "", "id of the request");
DEFINE_bool(prefix, false,
            "also show requests whose ids begin with it, such as nested calls "
            "whose ids extend the one of their parent");

namespace {

enum ExitCode : int { Shown = 0, NotFound = 1, BadUsage = 2 };

void readLog(std::istream &Input, pollenwick::trace::LogTrace &Trace) {
  std::string Line;
  while (std::getline(Input, Line))
    if (const auto Entry = pollenwick::trace::parseEntry(Line))
      Trace.take(*Entry);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetVersionString(POLLENWICK_VERSION);
  gflags::SetUsageMessage(
      "shows how a request was answered, and what the node believed then.\n"
      "pollenwick-trace --request ID LOG...\nLogs of several nodes may stand "
      "in one file; \"-\" is standard input. Exit codes: 0 shown, 1 not found, "
      "2 bad usage.");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (FLAGS_request.empty() || Argc < 2) {
    std::cerr << "pollenwick-trace: " << gflags::ProgramUsage() << '\n';
    return BadUsage;
  }
  pollenwick::trace::LogTrace Trace(FLAGS_request, FLAGS_prefix);
  for (int I = 1; I < Argc; ++I) {
    const std::string Name = Argv[I];
    if (Name == "-") {
      readLog(std::cin, Trace);
      continue;
    }
    std::ifstream File(Name);
    if (!File) {
      std::cerr << "pollenwick-trace: cannot read \"" << Name
                << "\"; name a log file\n";
      return BadUsage;
    }
    readLog(File, Trace);
  }
  for (const auto &Found : Trace.answers())
    std::cout << pollenwick::trace::describe(Found);
  if (!Trace.answers().empty())
    return Shown;
  std::cerr << "pollenwick-trace: no line about request \"" << FLAGS_request
            << "\"; only refused and failed requests are logged, and beyond "
               "40 a second they are summed by reason\n";
  return NotFound;
}
