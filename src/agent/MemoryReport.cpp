#include "agent/MemoryReport.h"

#include "agent/StringUtil.h"

namespace pollenwick::agent {
namespace {

/// Least time between two lines on the same bound.
constexpr Duration LogInterval = std::chrono::seconds(5);

} // namespace

void MemoryReport::tick(LogWriter &Log, Instant Now) {
  logMemory(Log, Now);
  logConnections(Log, Now);
}

void MemoryReport::logMemory(LogWriter &Log, Instant Now) {
  const bool Short = Memory.isShort();
  if (Short == LoggedShort || Now - MemoryLoggedAt < LogInterval)
    return;
  LoggedShort = Short;
  MemoryLoggedAt = Now;
  LogLine Line(Short ? "memory-short" : "memory-regained", Now);
  Line.field("limit_bytes", static_cast<std::int64_t>(Memory.limit()));
  for (std::size_t Kind = 0; Kind < MemoryKinds; ++Kind)
    Line.field(
        concat(memoryKindName(static_cast<MemoryKind>(Kind)), "_bytes"),
        static_cast<std::int64_t>(Memory.held(static_cast<MemoryKind>(Kind))));
  Log.logStateChange(std::move(Line));
}

void MemoryReport::logConnections(LogWriter &Log, Instant Now) {
  const std::uint64_t Refused = Callers.refusedConnections();
  if (Refused == LoggedRefusals || Now - RefusalsLoggedAt < LogInterval)
    return;
  Log.logStateChange(std::move(
      LogLine("callers-limited", Now)
          .field("closed", static_cast<std::int64_t>(Refused - LoggedRefusals))
          .field("open", static_cast<std::int64_t>(Callers.connectionCount()))
          .field("limit",
                 static_cast<std::int64_t>(Callers.connectionLimit()))));
  LoggedRefusals = Refused;
  RefusalsLoggedAt = Now;
}

void MemoryReport::fillMetrics(Metrics &Counters) const {
  for (std::size_t Kind = 0; Kind < MemoryKinds; ++Kind)
    Counters.setGauge(
        concat("memory_held_bytes{kind=\"",
               memoryKindName(static_cast<MemoryKind>(Kind)), "\"}"),
        static_cast<std::int64_t>(Memory.held(static_cast<MemoryKind>(Kind))));
  Counters.setGauge("memory_limit_bytes",
                    Memory.limit() == SIZE_MAX
                        ? 0
                        : static_cast<std::int64_t>(Memory.limit()));
  Counters.setGauge("bodies_waiting_for_memory",
                    static_cast<std::int64_t>(Callers.waitingBodies()));
  Counters.setGauge("callers_limit",
                    static_cast<std::int64_t>(Callers.connectionLimit()));
  Counters.setGauge("callers_closed_by_limit",
                    static_cast<std::int64_t>(Callers.refusedConnections()));
}

} // namespace pollenwick::agent
