#ifndef POLLENWICK_AGENT_CONFIGURATIONSOURCE_H
#define POLLENWICK_AGENT_CONFIGURATIONSOURCE_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/hosts/RecordTable.h"

namespace pollenwick::agent {

/// News from the configuration service.
struct ConfigurationUpdate {
  RecordKind Kind = RecordKind::Rules;
  bool IsFullList = false;  ///< `Records` is everything that exists.
  bool AfterOutage = false; ///< The service could not be read before.
  std::uint64_t AsOfRevision = 0;
  std::vector<Record> Records;
  bool Unavailable =
      false; ///< The service cannot be read; nothing else is set.
  std::string UnavailableReason; ///< Why it was lost.
};

/// Reads the configuration service in threads of its own. `OnUpdate` is called
/// on those threads.
class ConfigurationSource {
public:
  virtual ~ConfigurationSource() = default;
  virtual void start(std::function<void(ConfigurationUpdate &&)> OnUpdate) = 0;
  virtual void stop() = 0;
};

} // namespace pollenwick::agent

#endif
