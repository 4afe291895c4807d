#ifndef POLLENWICK_CORE_VIEW_VIEWLEASE_H
#define POLLENWICK_CORE_VIEW_VIEWLEASE_H

#include <compare>
#include <optional>

#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Identifies a revision. The order is the same at every node, also for
/// revisions that were published concurrently.
struct RevisionKey {
  Revision Number;
  Digest Root{};
  // clang-tidy 14 reports the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const RevisionKey &, const RevisionKey &) = default;
};

/// Snapshot of a node's permission to act on its view of the configuration. It
/// is cheap to copy to other threads, which compare `Until` with the clock
/// immediately before each grant, admission and dispatch.
struct ViewLease {
  Instant Until{};       ///< End of the lease, exclusive.
  Instant ConfirmedAt{}; ///< When the held revision was the newest.
  /// First revision with the held host list. Prevents a lease from being
  /// applied to shard ownership under another host list.
  RevisionKey HostsSince;
  /// Time from which a majority of the witnesses holds this host list, so that
  /// no node obtains a lease on an older one; unset if not yet known.
  std::optional<Instant> HostListMajorityAt;

  bool isValidAt(Instant Now) const { return Now < Until; }
};

} // namespace pollenwick

#endif
