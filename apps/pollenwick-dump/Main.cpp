#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>
#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <gflags/gflags.h>
#include <iostream>
#include <string_view>

#include "ExitCodes.h"
#include "Fetch.h"
#include "Format.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

DEFINE_string(admin, "", "IP:PORT of admin ports, comma-separated");
DEFINE_bool(json, false, "print JSON instead of text");
DEFINE_bool(refusals, false, "list the last refusals instead of the table");
DEFINE_string(tenant, "", "only refusals of this tenant (--refusals)");
DEFINE_string(route, "", "only refusals of this route (--refusals)");
DEFINE_string(reason, "", "only refusals for this reason (--refusals)");
DEFINE_int32(timeout_ms, 2000, "longest wait for one node, 1 to 60000");

DECLARE_bool(help);
DECLARE_bool(version);

namespace {

using namespace pollenwick;

constexpr std::string_view Help =
    R"(pollenwick-dump - shows the state of nodes and why calls were refused

Usage: pollenwick-dump --admin IP:PORT,... [--json]
       pollenwick-dump --admin IP:PORT,... --refusals [--tenant ID]
                       [--route SERVICE/ROUTE] [--reason REASON] [--json]

Reads GET /state of the given admin ports. The first form prints a row for
each node and its refusals by reason. The second form lists refused calls,
newest first, to answer why a call was refused. A node keeps its last 64
refusals of calls that came to its caller port.

Columns:
  REV      revision of the bundle in force, 0 without one
  LEASE    time left of the view lease; none: closed routes are refused
  SLOTS    calls that run on the local backend server
  WAIT     calls that wait for a slot
  LIMIT    concurrency limit in force, - without a configuration
  DRAIN    yes: the node refuses new calls
  ANSWERED calls from callers that ended with outcome done

Flags:
  --admin IP:PORT,...  admin ports (they listen on loopback only)
  --refusals           list the last refusals
  --tenant, --route, --reason  filters of --refusals, exact values
  --json               print JSON
  --timeout_ms N       longest wait for one node, 1 to 60000 (default 2000)
  --help, --version

Every flag but the last two can also come from the environment:
POLLENWICK_ADMIN sets --admin and so on.

Exit codes:
  0  every node gave its state
  1  wrong usage
  2  some nodes are not reachable; the others are shown
  3  no node is reachable
  4  an address answered, but not with the state of a node

Examples:
  pollenwick-dump --admin 127.0.0.1:21601,127.0.0.1:21602
  pollenwick-dump --admin 127.0.0.1:21601 --refusals --reason over-rate
)";

// Environment variables give defaults, so that flags take precedence.
void readEnvironment() {
  for (const char *Name : {"admin", "json", "refusals", "tenant", "route",
                           "reason", "timeout_ms"}) {
    std::string Variable = std::string("POLLENWICK_") + Name;
    std::ranges::transform(Variable, Variable.begin(), [](unsigned char C) {
      return static_cast<char>(std::toupper(C));
    });
    if (const char *Value = std::getenv(Variable.c_str()))
      gflags::SetCommandLineOptionWithMode(Name, Value,
                                           gflags::SET_FLAGS_DEFAULT);
  }
}

ExitCode usageError(const std::string &Message) {
  std::cerr << "pollenwick-dump: " << Message
            << "; `pollenwick-dump --help` explains\n";
  return ExitUsage;
}

bool isAddress(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  Poco::Net::IPAddress Address;
  unsigned Port = 0;
  return Colon != std::string::npos &&
         Poco::Net::IPAddress::tryParse(Text.substr(0, Colon), Address) &&
         Poco::NumberParser::tryParseUnsigned(Text.substr(Colon + 1), Port) &&
         Port >= 1 && Port <= 65535;
}

ExitCode exitCodeOf(const Fleet &All) {
  if (std::ranges::any_of(All.Missing, &MissingNode::Answered))
    return ExitNotState;
  if (All.Missing.empty())
    return ExitOk;
  return All.Nodes.empty() ? ExitAllUnreachable : ExitSomeUnreachable;
}

ExitCode runMain(int Count, char **Values) {
  readEnvironment();
  gflags::SetVersionString(POLLENWICK_VERSION);
  gflags::ParseCommandLineNonHelpFlags(&Count, &Values, true);
  if (FLAGS_version) {
    std::cout << "pollenwick-dump " << POLLENWICK_VERSION << '\n';
    return ExitOk;
  }
  if (FLAGS_help) {
    std::cout << Help;
    return ExitOk;
  }
  if (Count > 1)
    return usageError(absl::StrCat("unexpected argument \"", Values[1], "\""));
  const std::vector<std::string> Admins =
      absl::StrSplit(FLAGS_admin, ',', absl::SkipWhitespace());
  if (Admins.empty())
    return usageError("--admin IP:PORT,... is needed");
  const auto Wrong = std::ranges::find_if_not(Admins, isAddress);
  if (Wrong != Admins.end())
    return usageError("--admin has \"" + *Wrong + "\"; use a numeric IP:PORT");
  constexpr std::int32_t MaxTimeoutMs = 60'000;
  if (FLAGS_timeout_ms < 1 || FLAGS_timeout_ms > MaxTimeoutMs)
    return usageError("--timeout_ms must be 1 to 60000");
  const RefusalFilter Wanted{FLAGS_tenant, FLAGS_route, FLAGS_reason};
  if (!FLAGS_refusals &&
      !(Wanted.Customer + Wanted.Route + Wanted.Reason).empty())
    return usageError("--tenant, --route and --reason need --refusals");
  if (!Wanted.Reason.empty() && !isReason(Wanted.Reason))
    return usageError("--reason is \"" + Wanted.Reason +
                      "\", which no node gives; see docs/protocol.md");
  const Fleet All =
      fetchStates(Admins, std::chrono::milliseconds(FLAGS_timeout_ms));
  if (FLAGS_refusals) {
    const auto Rows = selectRefusals(All, Wanted);
    std::cout << (FLAGS_json ? formatRefusalsJson(Rows, All)
                             : formatRefusals(Rows, All));
  } else {
    std::cout << (FLAGS_json ? formatTableJson(All) : formatTable(All));
  }
  return exitCodeOf(All);
}

} // namespace

int main(int Count, char **Values) {
  try {
    return runMain(Count, Values);
  } catch (const std::exception &Error) {
    return usageError(Error.what());
  }
}
