#include "agent/ColdStartState.h"

#include <utility>

namespace pollenwick::agent {

ColdStartState::ColdStartState(LogWriter &TheLog, Instant Now)
    : Log(TheLog), Limiter(coldStartLimiter(Now)) {}

void ColdStartState::onEntry(const ServerEntry &Entry, bool Restarted,
                             Instant Now) {
  if (!Restarted && Entry.Revision <= EntryRevision)
    return;
  EntryRevision = Entry.Revision;
  const bool WasCold = isCold(Limiter, Now);
  if (Entry.ColdRemaining)
    reportCold(Limiter, *Entry.ColdRemaining, Now);
  else if (Restarted)
    reportCold(Limiter, Limiter.Rule.ColdTime, Now);
  logChange(WasCold, "entry", Now);
}

void ColdStartState::onHealthReport(Duration ColdRemaining, Instant Now) {
  const bool WasCold = isCold(Limiter, Now);
  reportCold(Limiter, ColdRemaining, Now);
  logChange(WasCold, "health-check", Now);
}

void ColdStartState::assumeCold(std::string_view Reason, Instant Now) {
  const bool WasCold = isCold(Limiter, Now);
  pollenwick::assumeCold(Limiter, Now);
  logChange(WasCold, Reason, Now);
}

void ColdStartState::onEntryRemoved() { Limiter.ColdUntil = Instant::max(); }

void ColdStartState::fillLoad(ServerLoad &Load, Instant Now) const {
  Load.Cold = isCold(Limiter, Now);
  Load.ColdStartsLeft = coldStartsLeft(Limiter, Now);
}

void ColdStartState::logChange(bool WasCold, std::string_view Reason,
                               Instant Now) {
  // The end of a cold time that passes by itself is part of the line on its
  // beginning.
  const bool Cold = isCold(Limiter, Now);
  if (Cold == WasCold)
    return;
  Log.logStateChange(
      std::move(LogLine(Cold ? "server-cold" : "server-warm", Now)
                    .field("reason", Reason)
                    .field("cold_ms",
                           Cold ? std::chrono::floor<std::chrono::milliseconds>(
                                      Limiter.ColdUntil - Now)
                                      .count()
                                : 0)));
}

} // namespace pollenwick::agent
