#ifndef POLLENWICK_CORE_VIEW_VIEWLEASE_H
#define POLLENWICK_CORE_VIEW_VIEWLEASE_H

#include <compare>
#include <optional>

#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Orders racing revisions the same way on every node.
struct RevisionKey {
  Revision Number;
  Digest Root{};
  // clang-tidy 14 reports the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const RevisionKey &, const RevisionKey &) = default;
};

/// Permission to act on the view, as it stands at one moment. A value: cheap
/// to copy to other duties, which compare `Until` with the clock themselves
/// immediately before each grant, admission and dispatch.
struct ViewLease {
  Instant Until{};       ///< The view may be acted on strictly before this.
  Instant ConfirmedAt{}; ///< The held revision was the newest at this time.
  /// First revision with the host list that is held. Keeps a lease from being
  /// applied to the ownership of another list.
  RevisionKey HostsSince;
  /// From this time on a majority of the witnesses knows the host list that
  /// is held, so nobody obtains a lease on an older one.
  std::optional<Instant> HostListMajorityAt;

  bool isValidAt(Instant Now) const { return Now < Until; }
};

} // namespace pollenwick

#endif
