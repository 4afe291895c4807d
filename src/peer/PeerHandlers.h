#ifndef POLLENWICK_PEER_PEERHANDLERS_H
#define POLLENWICK_PEER_PEERHANDLERS_H

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "peer/Calls.h"
#include "peer/Peer.capnp.h"

namespace pollenwick {

/// Delivers the reply to a call. Any thread may call it.
using ReplyCallback = std::function<void(CallReply)>;
/// Flag that is set when the caller of a call disconnects or cancels the call.
using CancelFlag = std::shared_ptr<std::atomic<bool>>;

/// Handlers for requests from peers. They are called on the peer transport's
/// thread and must not block it. `OnCall` and `OnClaim` may reply later from
/// any thread; the other handlers reply before they return.
struct PeerHandlers {
  std::function<void(CallRequest, CancelFlag, ReplyCallback)> OnCall;
  std::function<void(std::string Ticket, CallRequest, CancelFlag,
                     ReplyCallback)>
      OnClaim;
  std::function<void(wire::BorrowRequest::Reader, wire::BorrowReply::Builder)>
      OnBorrow;
  std::function<void(wire::Settlement::Reader)> OnSettle;
  std::function<void(wire::Recall::Reader, wire::Peer::RecallResults::Builder)>
      OnRecall;
  std::function<void(wire::PullRequest::Reader, wire::PullReply::Builder)>
      OnPull;
  std::function<void(wire::ShardClaim::Reader,
                     wire::Peer::ReleaseResults::Builder)>
      OnRelease;
  std::function<void(wire::Confirmation::Builder)> OnConfirm;
  std::function<void(wire::WitnessAnswer::Builder)> OnWitness;
  std::function<void(capnp::List<wire::Suspicion>::Reader,
                     wire::Peer::SuspectResults::Builder)>
      OnSuspect;
  /// Returns the pointer document with the root `Root`, or the pointer in force
  /// if `Root` is unset. Returns an empty document if there is no such pointer,
  /// and nothing if the pointer in force was requested and has the root
  /// `KnownRoot`.
  std::function<std::optional<std::string>(
      const std::optional<Digest> &Root,
      const std::optional<Digest> &KnownRoot)>
      OnPointer;
  /// Returns the chunk with the given digest, or nothing if it is not known.
  std::function<std::optional<std::string>(const Digest &)> OnChunk;
};

} // namespace pollenwick

#endif
