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

/// Call that has arrived at its callee node. Rank and hash are those of its
/// root request.
struct OfferedCall {
  CallId Id; ///< Unique at this callee node.
  RouteIndex Route = 0;
  CustomerIndex Customer = 0;
  std::uint32_t Rank = 0;
  std::uint64_t Hash = 0;
  bool Nested = false; ///< Sub-call, so work was already done for its root.
  Instant RootAdmittedAt{}; ///< Time of receipt minus age of the root, on this
                            ///< node's clock.
  Instant Deadline{};
  Instant ArrivedAt{};
};

/// Orders calls by service: nested calls first, then better classes, then older
/// roots.
struct ServedBefore {
  bool operator()(const OfferedCall &A, const OfferedCall &B) const;
};

/// Orders calls by shedding; the last call is shed first. Worse classes are
/// shed first, then calls that are not nested, then younger roots.
struct ShedAfter {
  bool operator()(const OfferedCall &A, const OfferedCall &B) const;
};

/// Waiting calls of a callee node, kept in the order in which they are served
/// and in the order in which they are shed.
struct CallQueue {
  std::set<OfferedCall, ServedBefore> ServeOrder;
  std::set<OfferedCall, ShedAfter> ShedOrder;
  std::unordered_map<CallId, OfferedCall> ById;
};

/// Adds a call whose id is not in the queue.
void pushCall(CallQueue &Queue, const OfferedCall &Call);
/// Removes and returns the call to serve next, or nothing if the queue is
/// empty.
std::optional<OfferedCall> popNext(CallQueue &Queue);
/// Returns the call to shed first, or null if the queue is empty.
const OfferedCall *nextToShed(const CallQueue &Queue);
/// Removes a call. Returns whether it was in the queue.
bool removeCall(CallQueue &Queue, CallId Id);

} // namespace pollenwick

#endif
