#ifndef POLLENWICK_AGENT_SOURCE_H
#define POLLENWICK_AGENT_SOURCE_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/hosts/RecordTable.h"

namespace pollenwick::agent {

/// News from the configuration service.
struct SourceNews {
  RecordKind Kind = RecordKind::Rules;
  bool FullList = false;    ///< `Records` is everything that exists.
  bool AfterOutage = false; ///< The service could not be read before.
  std::uint64_t AsOf = 0;
  std::vector<Record> Records;
  bool Lost = false;  ///< The service cannot be read; nothing else is set.
  std::string Reason; ///< Why it was lost.
};

/// Reads the configuration service in threads of its own. `OnNews` is called
/// on those threads.
class Source {
public:
  virtual ~Source() = default;
  virtual void start(std::function<void(SourceNews &&)> OnNews) = 0;
  virtual void stop() = 0;
};

} // namespace pollenwick::agent

#endif
