#ifndef POLLENWICK_APPS_DUMP_EXIT_CODES_H
#define POLLENWICK_APPS_DUMP_EXIT_CODES_H

namespace pollenwick {

/// Exit codes of `pollenwick-dump`; listed in docs/OPERATIONS.md and `--help`.
enum ExitCode : int {
  ExitOk = 0,
  ExitUsage = 1, ///< Also used by gflags for unknown flags.
  ExitSomeUnreachable = 2,
  ExitAllUnreachable = 3,
  ExitNotState = 4,
};

} // namespace pollenwick

#endif
