#ifndef POLLENWICK_CORE_ROUTING_HOSTTABLE_H
#define POLLENWICK_CORE_ROUTING_HOSTTABLE_H

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/admission/BundleIndex.h"
#include "pollenwick/Bundle.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Position in `HostTable::Hosts`; valid for one bundle only.
using HostIndex = std::uint32_t;

/// Parameters of load balancing, slow start and outlier ejection.
struct RoutingSettings {
  Duration SlowStartDuration = std::chrono::seconds(5);
  double SlowStartMinShare = 0.1; ///< Traffic share of a host at its start.
  /// Time after which a draining mark expires unless it is repeated, so that a
  /// host that aborts its drain gets calls again.
  Duration DrainingLifetime = std::chrono::seconds(30);
  /// Factor that multiplies the load of a host that the platform's host list
  /// marks as leaving.
  double LeavingLoadFactor = 4;
  std::uint32_t FailuresToEject = 5; ///< Consecutive failures.
  Duration BaseEjectionTime = std::chrono::seconds(2);
  Duration MaxEjectionTime = std::chrono::seconds(30);
  /// Largest share of a service's non-draining hosts that may be ejected; the
  /// number of hosts is rounded down.
  double MaxEjectedShare = 0.34;
  /// Half-life of the reported load of other callers.
  Duration LoadHalfLife = std::chrono::milliseconds(200);
  /// A call leaves the local zone only if the load of the zone's best host, in
  /// calls in flight per slot, is at least this value...
  double LocalZoneMaxLoad = 0.8;
  /// ...and exceeds the load of the best remote candidate by this factor.
  double ZoneImbalanceRatio = 1.3;
};

/// State that one node keeps about a host.
struct HostState {
  ServiceIndex Service = 0;
  std::uint32_t Zone = 0;
  std::uint64_t Start = 0;         ///< Last seen start id; 0: unknown.
  std::uint32_t LocalInFlight = 0; ///< Calls in flight from this node.
  float RemoteInFlight = 0; ///< Calls in flight from others, as reported.
  std::uint32_t ConsecutiveFailures = 0;
  std::uint32_t ConsecutiveEjections =
      0; ///< More of them lengthen the next one.
  bool LeavingHint = false;
  Instant LoadReportedAt{};
  Instant SlowStartEndsAt{}; ///< End of the slow start.
  Instant DrainingUntil{};   ///< End of the mark set by the host or gossip.
  Instant EjectedUntil{};
};

/// The hosts of one service.
struct ServiceHosts {
  std::uint32_t Slots = 1;
  std::vector<HostIndex> Hosts;
  std::vector<std::vector<HostIndex>> ByZone;
  std::vector<HostIndex> Ejected; ///< May include hosts whose ejection ended.
};

/// Routing state of one node. Owned by the request path and guarded by one
/// mutex.
struct HostTable {
  RoutingSettings Settings;
  std::vector<HostState> Hosts; ///< In the order of `Bundle::Hosts`.
  std::vector<ServiceHosts> Services;
  std::vector<ZoneId> Zones;
  std::unordered_map<HostId, HostIndex> IndexByHost;
};

/// Builds the table of a new bundle. Hosts that are in `Old` keep their state;
/// other hosts begin with a slow start, unless `Old` is null.
HostTable makeHostTable(const Bundle &Rules, const BundleIndex &Reach,
                        const HostTable *Old, Instant Now,
                        RoutingSettings Settings = {});

} // namespace pollenwick

#endif
