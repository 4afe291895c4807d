#ifndef POLLENWICK_AGENT_COLDSTARTSTATE_H
#define POLLENWICK_AGENT_COLDSTARTSTATE_H

#include <string_view>

#include "agent/Log.h"
#include "core/coldstart/ColdStart.h"
#include "core/placement/Placement.h"

namespace pollenwick::agent {

/// What this node knows about whether its backend server is cold, and the
/// limiter that follows from it. Logs each change.
class ColdStartState {
public:
  ColdStartState(LogWriter &Log, Instant Now);

  void setRule(const ColdStartRule &Rule) { Limiter.Rule = Rule; }
  const ColdStartRule &rule() const { return Limiter.Rule; }
  /// Applies the server's entry, if it is newer than the last one. `Restarted`
  /// is set for the first entry of a server or of a run of it.
  void onEntry(const ServerEntry &Entry, bool Restarted, Instant Now);
  /// Applies what the server itself reported.
  void onHealthReport(Duration ColdRemaining, Instant Now);
  /// Assumes that the server is cold: it may have restarted, or its zone is
  /// taken back into service.
  void assumeCold(std::string_view Reason, Instant Now);
  /// Treats a server whose entry was removed as unknown.
  void onEntryRemoved();

  void recordStart(Instant Now) { pollenwick::recordStart(Limiter, Now); }
  void fillLoad(ServerLoad &Load, Instant Now) const;
  const ColdStartLimiter &limiter() const { return Limiter; }

private:
  void logChange(bool WasCold, std::string_view Reason, Instant Now);

  LogWriter &Log;
  ColdStartLimiter Limiter;
  std::uint64_t EntryRevision = 0; ///< Of the entry that was applied last.
};

} // namespace pollenwick::agent

#endif
