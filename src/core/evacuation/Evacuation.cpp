#include "core/evacuation/Evacuation.h"

namespace pollenwick {

bool setEvacuated(Evacuations &State, const ZoneId &Zone, bool Requested) {
  return Requested ? State.Zones.insert(Zone).second
                   : State.Zones.erase(Zone) > 0;
}

bool mayGetCalls(const Evacuations &State, const ZoneId &Zone) {
  return !State.Zones.contains(Zone);
}

const char *serverRefusalCause(const Evacuations &State, const ZoneId &NodeZone,
                               const ZoneId &ServerZone, bool RecordsKnown) {
  if (!mayGetCalls(State, NodeZone) || !mayGetCalls(State, ServerZone))
    return ZoneEvacuatedCause;
  // A process that has just started must not run a call before it knows whether
  // its zone is evacuated.
  return RecordsKnown ? "" : NoConfigurationCause;
}

} // namespace pollenwick
