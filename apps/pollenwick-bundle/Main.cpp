#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string_view>

#include "Commands.h"

DEFINE_string(key, "", "file with the operator's private key (sign)");
DEFINE_string(out, "", "file or folder to write (init, keygen, sign)");
DEFINE_string(parent, "",
              "published folder that the new revision follows (sign)");
DEFINE_string(service, "",
              "HOST:PORT of the configuration service (sign, rollout)");
DEFINE_string(
    trust, "",
    "files with trusted public keys, comma-separated (show, rollout)");
DEFINE_string(admin, "",
              "HOST:PORT of admin ports, comma-separated (rollout --wait)");
DEFINE_bool(wait, false, "wait until the revision is in force (rollout)");
DEFINE_int32(timeout_seconds, 60, "longest wait, 1 to 86400 (rollout --wait)");
DEFINE_string(tenant, "", "tenant id (explain, keygen tenant)");
DEFINE_string(route, "", "route id, SERVICE/ROUTE (explain)");
DEFINE_string(klass, "",
              "class id to assume instead of the route's own (explain)");
DEFINE_int64(current, 0, "revision in force that must be exceeded (check)");

DECLARE_bool(help);
DECLARE_bool(version);

namespace {

using namespace pollenwick;

constexpr std::string_view Help =
    R"(pollenwick-bundle - makes, checks, signs and publishes configuration bundles

Usage: pollenwick-bundle COMMAND [ARGUMENT...] [--FLAG=VALUE...]

Commands:
  init                      Write a small bundle to start from
                            (--out FILE, else standard output).
  keygen operator           Write a signing key pair to FILE.key and FILE.pub
                            (--out FILE).
  keygen tenant             Print a new tenant key and its digest
                            (--tenant ID adds the bundle entry).
  check FILE...             Report every problem of each bundle
                            (--current N: revision that must be exceeded).
  diff OLD NEW              List added, removed and changed entries.
  sign FILE                 Write pointer and chunks (--key FILE.key --out DIR).
                            The parent is taken from --parent DIR or from
                            --service HOST:PORT, else from the file.
  show DIR                  Print pointer and chunks; verify with --trust.
  show FILE                 Print what a source file contains.
  explain BUNDLE            Say what happens to a call
                            (--route SERVICE/ROUTE --tenant ID, --klass ID).
  rollout DIR               Publish a signed folder (--service HOST:PORT).
                            With --wait, watch --admin HOST:PORT,... until the
                            revision is in force (--timeout_seconds N).

BUNDLE, OLD and NEW are source files or signed folders.

Every flag can also come from the environment: POLLENWICK_SERVICE sets
--service, POLLENWICK_KEY sets --key and so on.

Exit codes:
  0  done                      5  rollout refused: rollback or other parent
  1  wrong usage               6  configuration service not reachable
  2  input not readable        7  not in force everywhere in time
  3  check found problems      8  diff found differences
  4  signature not valid

Examples:
  pollenwick-bundle keygen operator --out ops
  pollenwick-bundle check examples/lantern/bundle.json
  pollenwick-bundle sign examples/lantern/bundle.json --key ops.key --out out/1
  pollenwick-bundle rollout out/1 --service 127.0.0.1:23000 --wait \
      --admin 127.0.0.1:21601,127.0.0.1:21602
)";

struct Command {
  std::string_view Name;
  ExitCode (*Run)(const Arguments &);
};

constexpr std::array Commands{
    Command{"init", runInit},       Command{"keygen", runKeygen},
    Command{"check", runCheck},     Command{"diff", runDiff},
    Command{"sign", runSign},       Command{"show", runShow},
    Command{"explain", runExplain}, Command{"rollout", runRollout}};

// Environment variables give defaults, so that flags take precedence.
void readEnvironment() {
  for (const char *Name :
       {"key", "out", "parent", "service", "trust", "admin", "wait",
        "timeout_seconds", "tenant", "route", "klass", "current"}) {
    std::string Variable = std::string("POLLENWICK_") + Name;
    std::transform(Variable.begin(), Variable.end(), Variable.begin(),
                   [](unsigned char C) { return std::toupper(C); });
    if (const char *Value = std::getenv(Variable.c_str()))
      gflags::SetCommandLineOptionWithMode(Name, Value,
                                           gflags::SET_FLAGS_DEFAULT);
  }
}

ExitCode runMain(int Count, char **Values) {
  readEnvironment();
  gflags::SetVersionString(POLLENWICK_VERSION);
  gflags::ParseCommandLineNonHelpFlags(&Count, &Values, true);
  const Arguments All(Values + 1, Values + Count);
  if (FLAGS_version) {
    std::cout << "pollenwick-bundle " << POLLENWICK_VERSION << '\n';
    return ExitOk;
  }
  if (FLAGS_help || (!All.empty() && All[0] == "help")) {
    std::cout << Help;
    return ExitOk;
  }
  if (All.empty()) {
    std::cerr << Help;
    return ExitUsage;
  }
  const auto *Found =
      std::find_if(Commands.begin(), Commands.end(),
                   [&](const Command &Item) { return Item.Name == All[0]; });
  if (Found == Commands.end())
    return fail(ExitUsage, "unknown command \"" + All[0] +
                               "\"; `pollenwick-bundle --help` lists them");
  return Found->Run(Arguments(All.begin() + 1, All.end()));
}

} // namespace

namespace pollenwick {

ExitCode fail(ExitCode Code, const std::string &Message) {
  std::cerr << "pollenwick-bundle: " << Message << '\n';
  return Code;
}

} // namespace pollenwick

int main(int Count, char **Values) {
  try {
    return runMain(Count, Values);
  } catch (const std::exception &Error) {
    return pollenwick::fail(pollenwick::ExitInput, Error.what());
  }
}
