#ifndef POLLENWICK_NODE_LOG_H
#define POLLENWICK_NODE_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace pollenwick {

/// A named value in a log line.
struct LogField {
  std::string_view Name;
  std::string Value;
};

/// Sets up logging to standard error. Each line names `Host` and is a JSON
/// object when `Json` is true, otherwise a list of key="value" pairs.
void configureLog(bool Json, const std::string &Host);

/// Logs a state change of the component `ComponentName` at level INFO.
void logState(std::string_view ComponentName, std::string_view Event,
              std::initializer_list<LogField> Fields = {});
/// Logs an error of the component `ComponentName` at level ERROR.
void logError(std::string_view ComponentName, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace pollenwick

#endif
