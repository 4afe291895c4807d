#ifndef POLLENWICK_NODE_LOG_H
#define POLLENWICK_NODE_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace pollenwick {

struct LogField {
  std::string_view Name;
  std::string Value;
};

/// Sends log lines to standard error. `Json` selects one JSON object a line,
/// otherwise key=value pairs.
void configureLog(bool Json, const std::string &Host);

/// One line for a change of state; `ComponentName` is the duty it belongs to.
void logState(std::string_view ComponentName, std::string_view Event,
              std::initializer_list<LogField> Fields = {});
void logError(std::string_view ComponentName, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace pollenwick

#endif
