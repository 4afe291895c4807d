#include "agent/Agent.h"

#include <cmath>

#include "agent/StringUtil.h"

// The gauges that are read from the parts of the agent when they are served.

namespace pollenwick::agent {

std::string Agent::renderMetrics() {
  const ServerLoad Load = LocalBackend.load();
  Counters.setGauge("server_running", Load.Running);
  Counters.setGauge("server_waiting", Load.Waiting);
  Counters.setGauge("server_limit", Load.MaxRunning);
  Counters.setGauge("server_cold", Load.Cold ? 1 : 0);
  Counters.setGauge("server_cold_starts_left", Load.ColdStartsLeft);
  for (const auto &[Route, Work] : LocalBackend.routeWork().Routes)
    Counters.setGauge(concat("server_route_us{route=\"", Route, "\"}"),
                      Work.MeanSlotTime.count());
  Counters.setGauge(
      "calls_displaced_total",
      static_cast<std::int64_t>(LocalBackend.counts().CallsDisplaced));
  Counters.setGauge("server_service_us", Load.MeanServiceTime.count());
  const ServerPace &Pace = LocalBackend.pace();
  Counters.setGauge("server_pace_limit", Pace.limit());
  Counters.setGauge("server_slowdown_pct",
                    std::lround(100 * Pace.slowdown(Loop.now())));
  Counters.setGauge(
      "server_reports_ignored{kind=\"unreadable\"}",
      static_cast<std::int64_t>(Pace.ignoredReports().Unreadable));
  Counters.setGauge(
      "server_reports_ignored{kind=\"contradictory\"}",
      static_cast<std::int64_t>(Pace.ignoredReports().Contradictory));
  const ServerTerms &Terms = LocalBackend.terms();
  Counters.setGauge("server_request_limit_per_1000_s",
                    std::llround(1000 * Terms.limit().RequestsPerS));
  Counters.setGauge("server_leaving", Terms.leaving() ? 1 : 0);
  Counters.setGauge("server_limits_unreadable",
                    static_cast<std::int64_t>(Terms.unreadableLimits()));
  Counters.setGauge("server_failed_permille",
                    std::lround(1000 * Load.FailureRate));
  Counters.setGauge("peers_connected",
                    static_cast<std::int64_t>(Peers.connectedPeerCount()));
  for (std::size_t Kind = 0; Kind < PeerFrameKinds; ++Kind)
    Counters.setGauge(
        concat("peer_sent_bytes{frame=\"", peerFrameName(Kind), "\"}"),
        static_cast<std::int64_t>(Peers.sentBytes()[Kind]));
  Counters.setGauge("response_bytes_buffered",
                    static_cast<std::int64_t>(LocalBackend.bufferedBytes()));
  Counters.setGauge("callers_connected",
                    static_cast<std::int64_t>(Listener.connectionCount()));
  Counters.setGauge(
      "rules_version",
      ServerDirectory.rules()
          ? static_cast<std::int64_t>(ServerDirectory.rules()->Source.Version)
          : 0);
  MemoryState.fillMetrics(Counters);
  Records.fillMetrics(Counters);
  Counters.setGauge(
      "zones_evacuated",
      static_cast<std::int64_t>(ServerDirectory.evacuations().Zones.size()));
  for (const auto &[Key, Share] : Fleet.admissionPlan().AdmittedShareByKey)
    Counters.setGauge(concat("admitted_share_pct{key=\"", Key, "\"}"),
                      static_cast<std::int64_t>(100 * Share));
  CustomerShareReport::fillMetrics(Counters, Fleet.customerShares());
  return Counters.render();
}

} // namespace pollenwick::agent
