#ifndef POLLENWICK_APPS_BUNDLE_EXIT_CODES_H
#define POLLENWICK_APPS_BUNDLE_EXIT_CODES_H

namespace pollenwick {

/// Exit codes of `pollenwick-bundle`; listed in docs/bundle.md and `--help`.
enum ExitCode : int {
  ExitOk = 0,
  ExitUsage = 1, ///< Also used by gflags for unknown flags.
  ExitInput = 2,
  ExitProblems = 3,
  ExitSignature = 4,
  ExitRefused = 5,
  ExitService = 6,
  ExitTimeout = 7,
  ExitDiffers = 8,
};

} // namespace pollenwick

#endif
