#ifndef POLLENWICK_AGENT_RECORDNAMES_H
#define POLLENWICK_AGENT_RECORDNAMES_H

#include <string_view>

#include "core/hosts/RecordTable.h"
#include "core/hosts/SourceReaders.h"

namespace pollenwick::agent {

/// Returns the name of the kind in the log and in metrics.
inline std::string_view recordKindName(RecordKind Kind) {
  return Kind == RecordKind::Rules ? "rules" : "servers";
}

/// Returns the name of the use in the log.
inline std::string_view sourceUseName(SourceUse Use) {
  switch (Use) {
  case SourceUse::Idle:
    return "idle";
  case SourceUse::Read:
    return "read";
  case SourceUse::Probe:
    return "probe";
  }
  return "read";
}

} // namespace pollenwick::agent

#endif
