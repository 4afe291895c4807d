#ifndef POLLENWICK_APPS_BUNDLE_COMMANDS_H
#define POLLENWICK_APPS_BUNDLE_COMMANDS_H

#include <string>
#include <vector>

#include "ExitCodes.h"

namespace pollenwick {

using Arguments = std::vector<std::string>;

ExitCode runInit(const Arguments &Args);
ExitCode runKeygen(const Arguments &Args);
ExitCode runCheck(const Arguments &Args);
ExitCode runDiff(const Arguments &Args);
ExitCode runSign(const Arguments &Args);
ExitCode runShow(const Arguments &Args);
ExitCode runExplain(const Arguments &Args);
ExitCode runRollout(const Arguments &Args);

/// Prints the message to standard error and returns the code.
ExitCode fail(ExitCode Code, const std::string &Message);

} // namespace pollenwick

#endif
