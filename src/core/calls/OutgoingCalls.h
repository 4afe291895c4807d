#ifndef POLLENWICK_CORE_CALLS_OUTGOINGCALLS_H
#define POLLENWICK_CORE_CALLS_OUTGOINGCALLS_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// An attempt to call a peer that has not been answered yet.
struct OutgoingCall {
  HostId Peer;                ///< Answers from other hosts are dropped.
  std::uint64_t WaiterId = 0; ///< Identifies the waiting request.
  Instant Deadline;
};

/// Matches answers to the attempts they belong to. Every attempt has its own
/// id, and ids are never reused within an incarnation.
struct OutgoingCalls {
  IncarnationId Self;
  std::uint64_t LastCallId = 0;
  std::size_t MaxCalls = 16'384;
  absl::flat_hash_map<std::uint64_t, OutgoingCall> Open; ///< By call id.
};

/// Registers an attempt and returns its id, or nothing if `MaxCalls` attempts
/// are open.
std::optional<CallId> openOutgoingCall(OutgoingCalls &Calls,
                                       const OutgoingCall &Call);

/// Closes the attempt that an answer belongs to and returns it. Returns nothing
/// if the answer is addressed to another incarnation, comes from another host,
/// or has a closed or unknown id; the caller then drops the answer.
std::optional<OutgoingCall> closeOutgoingCall(OutgoingCalls &Calls,
                                              const IncarnationId &AnswerTo,
                                              CallId Id, const HostId &From);

/// Closes and returns every attempt sent to `LostPeer`.
std::vector<OutgoingCall> closeOutgoingCallsTo(OutgoingCalls &Calls,
                                               const HostId &LostPeer);

/// Closes and returns every attempt whose deadline is `Now` or earlier.
std::vector<OutgoingCall> closeOverdueOutgoingCalls(OutgoingCalls &Calls,
                                                    Instant Now);

} // namespace pollenwick

#endif
