#ifndef POLLENWICK_CORE_MEMBERSHIP_PULLTREE_H
#define POLLENWICK_CORE_MEMBERSHIP_PULLTREE_H

#include <vector>

#include "core/membership/Membership.h"

namespace pollenwick {

/// Returns the watchers of a zone, which read the configuration service: its
/// two usable hosts with the highest rendezvous weight.
std::vector<HostId> watchers(const MembershipState &State, const ZoneId &Zone);
/// Returns true if the own host is a watcher of its zone.
bool isWatcher(const MembershipState &State);

/// Returns the hosts to pull the configuration from, in order of preference:
/// the parent in a tree over the usable hosts of the zone, then fallbacks of
/// higher weight. A watcher gets the watchers of other zones. Every parent in
/// the zone has a higher weight than the own host, so pulls within a zone have
/// no cycles even if the views of the hosts differ.
std::vector<HostId> pullParents(const MembershipState &State,
                                const MembershipSettings &Settings);

} // namespace pollenwick

#endif
