#include "core/calls/OutgoingCalls.h"

#include <algorithm>
#include <utility>

namespace pollenwick {
namespace {

// Closes and returns the matching attempts, sorted by id so that the result
// does not depend on the iteration order of the hash table.
template <typename Predicate>
std::vector<OutgoingCall> closeIf(OutgoingCalls &Calls, Predicate Matches) {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Call] : Calls.Open)
    if (Matches(Call))
      Ids.push_back(Id);
  std::ranges::sort(Ids);
  std::vector<OutgoingCall> Closed;
  Closed.reserve(Ids.size());
  for (const std::uint64_t Id : Ids)
    Closed.push_back(std::move(Calls.Open.extract(Id).mapped()));
  return Closed;
}

} // namespace

std::optional<CallId> openOutgoingCall(OutgoingCalls &Calls,
                                       const OutgoingCall &Call) {
  if (Calls.Open.size() >= Calls.MaxCalls)
    return std::nullopt;
  const CallId Id(++Calls.LastCallId);
  Calls.Open.emplace(Id.Value, Call);
  return Id;
}

std::optional<OutgoingCall> closeOutgoingCall(OutgoingCalls &Calls,
                                              const IncarnationId &AnswerTo,
                                              CallId Id, const HostId &From) {
  if (AnswerTo != Calls.Self)
    return std::nullopt;
  const auto It = Calls.Open.find(Id.Value);
  if (It == Calls.Open.end() || It->second.Peer != From)
    return std::nullopt;
  OutgoingCall Closed = std::move(It->second);
  Calls.Open.erase(It);
  return Closed;
}

std::vector<OutgoingCall> closeOutgoingCallsTo(OutgoingCalls &Calls,
                                               const HostId &LostPeer) {
  return closeIf(
      Calls, [&](const OutgoingCall &Call) { return Call.Peer == LostPeer; });
}

std::vector<OutgoingCall> closeOverdueOutgoingCalls(OutgoingCalls &Calls,
                                                    Instant Now) {
  return closeIf(
      Calls, [&](const OutgoingCall &Call) { return Call.Deadline <= Now; });
}

} // namespace pollenwick
