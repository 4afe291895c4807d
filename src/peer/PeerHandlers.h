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

using ReplyCallback = std::function<void(CallReply)>;
/// Set when the caller of a call is gone or has given up.
using CancelFlag = std::shared_ptr<std::atomic<bool>>;

/// What a node answers to its peers. All are called on the peer duty's thread
/// and must not block it; the two that run calls answer later, from any
/// thread.
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
  /// Empty document when there is none; without a root: the one in force.
  /// Nothing when the one in force has the root `KnownRoot`.
  std::function<std::optional<std::string>(
      const std::optional<Digest> &Root,
      const std::optional<Digest> &KnownRoot)>
      OnPointer;
  std::function<std::optional<std::string>(const Digest &)> OnChunk;
};

} // namespace pollenwick

#endif
