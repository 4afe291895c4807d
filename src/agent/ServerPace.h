#ifndef POLLENWICK_AGENT_SERVERPACE_H
#define POLLENWICK_AGENT_SERVERPACE_H

#include <cstdint>
#include <optional>
#include <string>

#include "agent/Call.h"
#include "agent/Log.h"
#include "core/pace/HostSlowdown.h"
#include "core/pace/PaceLimit.h"
#include "core/pace/ServerReport.h"
#include "pollenwick/Rules.h"

namespace pollenwick::agent {

/// Adapts the concurrency limit of the backend server on this host to its
/// entry and to the calls that end there, and logs its changes.
class ServerPace {
public:
  /// Reports of the server that were not used.
  struct IgnoredReports {
    std::uint64_t Unreadable = 0;
    std::uint64_t Contradictory = 0;
  };

  explicit ServerPace(LogWriter &Log) : Log(Log) {}

  /// Applies the entry of the server. The limit begins low if the server has
  /// started since its previous entry, or if the entry says that it is cold.
  void setServer(const ServerEntry &Entry, Instant Now);
  /// Notes that the server answers again after it was unreachable.
  void onRecovered(Instant Now);
  /// Records a call that held a slot for `SlotTime`. `Running` is the number of
  /// calls that held one until now, including it.
  void onCallEnded(const CallRequest &Request, const CallResult &Result,
                   Duration SlotTime, std::uint32_t Running, Instant Now);
  /// Records a running call whose caller left.
  void onCallCancelled(const CallRequest &Request, Duration SlotTime,
                       std::uint32_t Running, Instant Now);
  /// Call it periodically; `Running` calls hold a slot.
  void tick(std::uint32_t Running, Instant Now);

  /// Notes that the mean service time is reset.
  void onMeanReset() { resetMeanSlowdown(Host); }

  std::uint32_t limit() const { return currentPace(Limit); }
  /// Slowdown of the host; 0 if unknown.
  double slowdown(Instant Now) const { return currentSlowdown(Host, Now); }
  /// Slowdown of the host relative to the time in which the mean service time
  /// was formed; 0 if unknown.
  double slowdownOfMean(Instant Now) const {
    return relativeSlowdown(Host, Now);
  }
  const IgnoredReports &ignoredReports() const { return Ignored; }

private:
  /// Returns the report if it is usable, and counts it otherwise.
  ServerReport usableReport(ServerReport Report, std::uint32_t Running);
  void logIgnoredReports(Instant Now);
  void startSlowly(std::string_view Cause, Instant Now);

  LogWriter &Log;
  PaceLimit Limit;
  HostSlowdown Host;
  IgnoredReports Ignored;
  IgnoredReports LoggedIgnored; ///< Counts of the latest log line.
  Instant IgnoredLoggedAt;
  std::optional<ServerEntry> Last; ///< Latest entry; kept when it is removed.
  std::string Cause;               ///< Of the latest slow start.
  double LoggedLimit = 0;          ///< 0 if none has been logged.
  Instant LoggedAt;
};

} // namespace pollenwick::agent

#endif
