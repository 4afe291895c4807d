#ifndef POLLENWICK_CORE_VIEW_VIEW_H
#define POLLENWICK_CORE_VIEW_VIEW_H

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/view/ViewLease.h"
#include "pollenwick/Bundle.h"

namespace pollenwick {

/// Kind of source that is asked for the newest revision.
enum class ViewSource : std::uint8_t { Service, Parent, Witness };

/// A query for the newest revision. The reply is matched by `Nonce`.
struct ViewQuery {
  ViewSource Source = ViewSource::Service;
  HostId Target; ///< Empty for the configuration service.
  std::uint64_t Nonce = 0;
};

/// Reply of a peer that is asked to confirm its revision.
struct ConfirmReply {
  RevisionKey HeldRevision;
  Duration Age{}; ///< Time since the last confirmation of `HeldRevision`.
};

/// Reply of a witness with the revision and host list it holds.
struct WitnessReply {
  RevisionKey HeldRevision;
  RevisionKey HostsSince;  ///< First revision with the host list that is held.
  Duration HostsHeldFor{}; ///< Time since the witness adopted the host list.
};

/// What one node knows about the newest revision and who confirmed it. Owned by
/// one thread.
struct ViewState {
  struct PendingQuery {
    ViewQuery Query;
    Instant SentAt{};
  };
  struct ReceivedWitnessReply {
    WitnessReply Reply;
    Instant SentAt{};
    Instant HostsHeldSince{}; ///< Latest possible time, on this node's clock.
  };

  HostId Self;
  Instant StartedAt{};
  Duration LeaseDuration = std::chrono::seconds(5);
  RevisionKey HeldRevision; ///< Number 0: no bundle yet.
  RevisionKey HostsSince;   ///< First revision with the host list that is held.
  Instant HostsHeldAt{};
  std::optional<Instant> HostListMajorityAt; ///< See `ViewLease`.
  std::vector<HostId> Witnesses;
  /// Witnesses of the previous host list. A host list is anchored once a
  /// majority of both sets of witnesses holds it.
  std::vector<HostId> PreviousWitnesses;
  std::vector<HostId> Parents; ///< Pull parents; set by the caller.
  bool IsWatcher =
      false; ///< Reads the configuration service; set by the caller.
  /// True if the node owns shards and needs to know when its host list is
  /// anchored.
  bool NeedsHostListMajority = true;

  RevisionKey NewestKnown; ///< Newest revision held or named by any answer.
  std::optional<Instant> ConfirmedAt; ///< Of `HeldRevision`; unset: never.
  /// Time of the last confirmation of `NewestKnown`, which may not be held yet;
  /// unset if it was never confirmed.
  std::optional<Instant> NewestConfirmedAt;
  std::map<HostId, ReceivedWitnessReply> WitnessReplies;
  std::map<std::uint64_t, PendingQuery> PendingQueries;
  std::map<HostId, Instant> LastQueriedAt; ///< The service has an empty id.
  std::uint64_t NextNonce = 1;
};

/// Returns the view of a node that holds no bundle.
ViewState makeViewState(HostId Self, Instant Now);

/// Adopts an accepted revision if it is newer than the held one. `HostsSince`
/// is the first of the consecutive revisions up to this one that have the same
/// host list and witnesses.
void adoptRevision(ViewState &State, const RevisionKey &Key,
                   const RevisionKey &HostsSince, const Policy &Rules,
                   Instant Now);

/// Returns the queries to send now. Witnesses are asked if neither the service
/// nor a parent has confirmed the revision recently, and as long as the host
/// list is not anchored.
std::vector<ViewQuery> dueViewQueries(ViewState &State, Instant Now);

/// Records a reply of the configuration service. Replies with an unknown nonce
/// are ignored.
void recordServiceReply(ViewState &State, std::uint64_t Nonce,
                        const RevisionKey &Newest);
/// Records a reply of a peer. The time of the confirmation is the sending time
/// of the query minus the age in the reply.
void recordConfirmReply(ViewState &State, std::uint64_t Nonce,
                        const ConfirmReply &Reply);
/// Records a reply of a witness.
void recordWitnessReply(ViewState &State, std::uint64_t Nonce,
                        const WitnessReply &Reply, Instant Now);
/// Records a revision announced by a heartbeat. An announcement confirms
/// nothing but ends the confirmation of older revisions. The pointer of the
/// revision must have been verified.
void recordAnnouncedRevision(ViewState &State, const RevisionKey &Key);

/// Returns this node's reply to a peer, or nothing if the held revision is not
/// confirmed.
std::optional<ConfirmReply> answerConfirm(const ViewState &State, Instant Now);
/// Returns this node's reply as a witness. A restarted witness has lost its
/// state and returns nothing until it has a confirmation newer than its start.
std::optional<WitnessReply> answerWitness(const ViewState &State, Instant Now);

/// Returns the current view lease.
ViewLease viewLease(const ViewState &State);

} // namespace pollenwick

#endif
