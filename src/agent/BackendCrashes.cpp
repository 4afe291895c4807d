#include "agent/Backend.h"

#include <array>
#include <utility>

#include "agent/BackendConnection.h"

// The part of `Backend` that finds out whether its server has crashed.

namespace pollenwick::agent {
namespace {

/// Calls that were lost at most this long before the server became unreachable
/// are considered to have been running when it crashed.
constexpr Duration CrashWindow = std::chrono::milliseconds(1500);
/// Calls that were lost at most this long before a new run of the server is
/// known were running at the end of the earlier one. Its entry takes seconds.
constexpr Duration RestartWindow = std::chrono::seconds(5);
/// When the server is probed after a call was lost. The second probe is for a
/// server whose connections end before its listening socket.
constexpr std::array<Duration, 2> ProbeDelays{std::chrono::milliseconds(50),
                                              std::chrono::milliseconds(400)};
constexpr std::size_t MaxLostCalls = 1024;

} // namespace

void Backend::recordLostCall(const PendingCall &Call) {
  // A server that is known to end may cut what still runs.
  if (!serverRefusal(Call.Request.ServerId).empty())
    return;
  if (LostCalls.size() >= MaxLostCalls)
    LostCalls.pop_front();
  const Instant LostAt = Loop.now();
  const bool Checked = !LostCalls.empty() && LostCalls.back().LostAt == LostAt;
  LostCalls.push_back({LostAt, Call.Request.Fingerprint});
  if (Checked)
    return;
  for (const Duration Delay : ProbeDelays)
    Loop.callAt(LostAt + Delay, [this, LostAt] { probeServer(LostAt); });
}

void Backend::probeServer(Instant LostAt) {
  if (LastAnswerAt > LostAt || !Server)
    return;
  auto New = std::make_shared<BackendConnection>(Loop, Protocol, *this);
  if (!New->open(Address)) {
    onServerUnreachable();
    return;
  }
  ++Counts.ConnectionsOpened;
  BackendConnection *Raw = New.get();
  Connections.emplace(Raw, std::move(New));
}

void Backend::onProbeConnected(BackendConnection &Connection) {
  IdleConnections.push_back(&Connection);
}

void Backend::reportCrash(Instant Since) {
  std::vector<std::uint64_t> Fingerprints;
  for (const LostCall &Call : LostCalls)
    if (Call.LostAt >= Since)
      Fingerprints.push_back(Call.Fingerprint);
  LostCalls.clear();
  Log.logStateChange(
      std::move(LogLine("server-crashed", Loop.now())
                    .field("server", serverId())
                    .field("lost_calls",
                           static_cast<std::int64_t>(Fingerprints.size()))));
  OnCrash(Fingerprints);
}

void Backend::onServerUnreachable() {
  ColdStart.assumeCold("server-unreachable", Loop.now());
  const Instant Since = Loop.now() - CrashWindow;
  const bool Crashed = !LostCalls.empty() && LostCalls.back().LostAt >= Since;
  if (std::exchange(Reachable, false))
    Log.logStateChange(std::move(
        LogLine("server-unreachable", Loop.now()).field("server", serverId())));
  if (Crashed)
    reportCrash(Since);
}

void Backend::reportCrashBeforeRestart() {
  const Instant Since = Loop.now() - RestartWindow;
  if (!LostCalls.empty() && LostCalls.back().LostAt >= Since &&
      LastAnswerAt < LostCalls.back().LostAt)
    reportCrash(Since);
}

} // namespace pollenwick::agent
