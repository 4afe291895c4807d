#ifndef POLLENWICK_CORE_ADMISSION_CALLQUEUE_H
#define POLLENWICK_CORE_ADMISSION_CALLQUEUE_H

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "core/admission/BundleIndex.h"
#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// A call at its callee node. The class and the hash are those of the root.
struct OfferedCall {
  CallId Id; ///< Unique at this callee node.
  RouteIndex Route = 0;
  CustomerIndex Customer = 0;
  std::uint32_t Rank = 0;
  std::uint64_t Hash = 0;
  bool Nested = false;      ///< A sub-call: work was done for its root.
  Instant RootAdmittedAt{}; ///< On this node's clock: receipt minus root age.
  Instant Deadline{};
  Instant ArrivedAt{};
};

struct ServedBefore {
  bool operator()(const OfferedCall &A, const OfferedCall &B) const;
};

struct ShedAfter {
  bool operator()(const OfferedCall &A, const OfferedCall &B) const;
};

/// Waiting calls in two orders. Served first: work already done, then better
/// class, then older root. Shed first: worse class, then no work done, then
/// younger root.
struct CallQueue {
  std::set<OfferedCall, ServedBefore> ServeOrder;
  std::set<OfferedCall, ShedAfter> ShedOrder;
  std::unordered_map<CallId, OfferedCall> ById;
};

void pushCall(CallQueue &Queue, const OfferedCall &Call);
std::optional<OfferedCall> popNext(CallQueue &Queue);
/// The call that is shed first, or null.
const OfferedCall *nextToShed(const CallQueue &Queue);
bool removeCall(CallQueue &Queue, CallId Id);

} // namespace pollenwick

#endif
