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

struct RoutingSettings {
  Duration SlowStartDuration = std::chrono::seconds(5);
  double SlowStartMinShare = 0.1; ///< Share of a host that has just started.
  /// A draining mark ends after this time unless it is repeated, so that a
  /// host that aborts its drain comes back.
  Duration DrainingLifetime = std::chrono::seconds(30);
  /// Weight of the platform's "leaving" hint: load counts this many times.
  double LeavingLoadFactor = 4;
  std::uint32_t FailuresToEject = 5; ///< In a row.
  Duration BaseEjectionTime = std::chrono::seconds(2);
  Duration MaxEjectionTime = std::chrono::seconds(30);
  double MaxEjectedShare = 0.34; ///< Share of a service's hosts, rounded down.
  /// Reported load of other callers halves in this time.
  Duration LoadHalfLife = std::chrono::milliseconds(200);
  /// The zone is left when its best host is this busy (in-flight per slot)...
  double LocalZoneMaxLoad = 0.8;
  /// ...and this many times as loaded as the best remote candidate.
  double ZoneImbalanceRatio = 1.3;
};

/// What one node knows about another host.
struct HostState {
  ServiceIndex Service = 0;
  std::uint32_t Zone = 0;
  std::uint64_t Start = 0;         ///< Incarnation seen last; 0 unknown.
  std::uint32_t LocalInFlight = 0; ///< Calls of this node in flight there.
  float RemoteInFlight = 0;        ///< Calls of other nodes, when reported.
  std::uint32_t ConsecutiveFailures = 0;
  std::uint32_t ConsecutiveEjections = 0; ///< In a row; lengthens the next one.
  bool LeavingHint = false;
  Instant LoadReportedAt{};
  Instant SlowStartEndsAt{}; ///< End of the slow start.
  Instant DrainingUntil{};   ///< Said by the host itself or by gossip.
  Instant EjectedUntil{};
};

struct ServiceHosts {
  std::uint32_t Slots = 1;
  std::vector<HostIndex> Hosts;
  std::vector<std::vector<HostIndex>> ByZone;
  std::vector<HostIndex> Ejected; ///< May hold hosts whose time is over.
};

/// Routing state of one node. Owner: the request path, under one mutex.
struct HostTable {
  RoutingSettings Settings;
  std::vector<HostState> Hosts; ///< In the order of `Bundle::Hosts`.
  std::vector<ServiceHosts> Services;
  std::vector<ZoneId> Zones;
  std::unordered_map<HostId, HostIndex> IndexByHost;
};

/// State that `Old` holds about hosts of the same name is kept. Hosts that
/// `Old` does not know start slowly, unless `Old` is null.
HostTable makeHostTable(const Bundle &Rules, const BundleIndex &Reach,
                        const HostTable *Old, Instant Now,
                        RoutingSettings Settings = {});

} // namespace pollenwick

#endif
