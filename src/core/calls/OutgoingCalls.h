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

/// One attempt that waits for its answer.
struct OutgoingCall {
  HostId Peer;                ///< Only this host may answer.
  std::uint64_t WaiterId = 0; ///< The shell's name for who waits.
  Instant Deadline;
};

/// Correlates answers with attempts. Every attempt has its own id, and ids are
/// never reused within an incarnation.
struct OutgoingCalls {
  IncarnationId Self;
  std::uint64_t LastCallId = 0;
  std::size_t MaxCalls = 16'384;
  absl::flat_hash_map<std::uint64_t, OutgoingCall> Open; ///< By call id.
};

/// Nothing at the limit.
std::optional<CallId> openOutgoingCall(OutgoingCalls &Calls,
                                       const OutgoingCall &Call);

/// Closes the attempt and returns it. Nothing for an answer to another
/// incarnation, from another host, to a closed id or to an unknown id; such an
/// answer is dropped.
std::optional<OutgoingCall> closeOutgoingCall(OutgoingCalls &Calls,
                                              const IncarnationId &AnswerTo,
                                              CallId Id, const HostId &From);

/// Closes and returns every attempt sent to a host that was lost.
std::vector<OutgoingCall> closeOutgoingCallsTo(OutgoingCalls &Calls,
                                               const HostId &LostPeer);

/// Closes and returns the attempts whose deadline has passed.
std::vector<OutgoingCall> closeOverdueOutgoingCalls(OutgoingCalls &Calls,
                                                    Instant Now);

} // namespace pollenwick

#endif
