#ifndef POLLENWICK_APPS_DUMP_FETCH_H
#define POLLENWICK_APPS_DUMP_FETCH_H

#include <chrono>
#include <string>
#include <vector>

#include "State.h"

namespace pollenwick {

/// Asks all nodes for their state, several at a time, each for at most
/// `Limit`. Addresses are numeric IP:PORT. Keeps the order of `Admins`.
Fleet fetchStates(const std::vector<std::string> &Admins,
                  std::chrono::milliseconds Limit);

} // namespace pollenwick

#endif
