#ifndef POLLENWICK_APPS_DUMP_FORMAT_H
#define POLLENWICK_APPS_DUMP_FORMAT_H

#include <string>
#include <vector>

#include "State.h"

namespace pollenwick {

/// No line of the text forms is wider; control characters become '?'.
constexpr std::size_t MaxColumns = 80;

/// One row per node, its refusals by reason below it, missing nodes last.
std::string formatTable(const Fleet &All);
/// One block per refusal, missing nodes last.
std::string formatRefusals(const std::vector<ShownRefusal> &Rows,
                           const Fleet &All);

std::string formatTableJson(const Fleet &All);
std::string formatRefusalsJson(const std::vector<ShownRefusal> &Rows,
                               const Fleet &All);

} // namespace pollenwick

#endif
