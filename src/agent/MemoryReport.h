#ifndef POLLENWICK_AGENT_MEMORYREPORT_H
#define POLLENWICK_AGENT_MEMORYREPORT_H

#include <cstdint>

#include "agent/CallerListener.h"
#include "agent/Log.h"
#include "agent/Metrics.h"
#include "core/memory/MemoryAccount.h"

namespace pollenwick::agent {

/// Tells operators what is held in memory and which bounds take effect.
class MemoryReport {
public:
  MemoryReport(const MemoryAccount &TheMemory, const CallerListener &TheCallers)
      : Memory(TheMemory), Callers(TheCallers) {}

  /// Logs that memory has become short or is so no longer, and that callers
  /// were refused for lack of descriptors, each at most once in a while.
  void tick(LogWriter &Log, Instant Now);
  void fillMetrics(Metrics &Counters) const;

private:
  void logMemory(LogWriter &Log, Instant Now);
  void logConnections(LogWriter &Log, Instant Now);

  const MemoryAccount &Memory;
  const CallerListener &Callers;
  bool LoggedShort = false;
  Instant MemoryLoggedAt;
  std::uint64_t LoggedRefusals = 0;
  Instant RefusalsLoggedAt;
};

} // namespace pollenwick::agent

#endif
