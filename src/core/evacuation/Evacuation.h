#ifndef POLLENWICK_CORE_EVACUATION_EVACUATION_H
#define POLLENWICK_CORE_EVACUATION_EVACUATION_H

#include <set>

#include "pollenwick/Ids.h"

namespace pollenwick {

/// Cause of a call that is refused because the zone of its server is evacuated.
inline constexpr const char *ZoneEvacuatedCause = "zone-evacuated";
/// Cause of a call that is refused because this node does not know yet which
/// zones are evacuated.
inline constexpr const char *NoConfigurationCause = "no-configuration-yet";

/// The availability zones whose servers must get no calls. A zone that no
/// server has stays listed and takes effect for servers that register later.
struct Evacuations {
  std::set<ZoneId> Zones;
};

/// Adds or removes the request to evacuate a zone. Returns whether it changed.
bool setEvacuated(Evacuations &State, const ZoneId &Zone, bool Requested);

/// Returns whether servers of the zone may get calls.
bool mayGetCalls(const Evacuations &State, const ZoneId &Zone);

/// Returns why the node beside a server must refuse all calls to it; empty if
/// it need not. `NodeZone` and `ServerZone` are the zones by the settings of
/// the node and by the entry of its server, which should be equal.
/// `RecordsKnown` is false until the node has a configuration and all
/// evacuations as of it.
const char *serverRefusalCause(const Evacuations &State, const ZoneId &NodeZone,
                               const ZoneId &ServerZone, bool RecordsKnown);

} // namespace pollenwick

#endif
