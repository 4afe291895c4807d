#ifndef POLLENWICK_CORE_VIEW_VIEW_H
#define POLLENWICK_CORE_VIEW_VIEW_H

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/view/ViewLease.h"
#include "pollenwick/Bundle.h"

namespace pollenwick {

/// Whom a question about the newest revision goes to.
enum class ViewSource : std::uint8_t { Service, Parent, Witness };

/// One question that the shell sends. The answer is recorded under `Nonce`.
struct ViewQuery {
  ViewSource Source = ViewSource::Service;
  HostId Target; ///< Empty for the configuration service.
  std::uint64_t Nonce = 0;
};

/// Reply of a peer to `confirm`.
struct ConfirmReply {
  RevisionKey HeldRevision;
  Duration Age{}; ///< Since the newest confirmation of `Held`.
};

/// Reply of a witness.
struct WitnessReply {
  RevisionKey HeldRevision;
  RevisionKey HostsSince; ///< First revision with the host list that is held.
  Duration HostsHeldFor{};
};

/// View of one node. Owned by one duty thread.
struct ViewState {
  struct PendingQuery {
    ViewQuery Query;
    Instant SentAt{};
  };
  struct ReceivedWitnessReply {
    WitnessReply Reply;
    Instant SentAt{};
    Instant HostsHeldSince{}; ///< Upper bound, on the clock of this node.
  };

  HostId Self;
  Instant StartedAt{};
  Duration LeaseDuration = std::chrono::seconds(5);
  RevisionKey HeldRevision; ///< Number 0: no bundle yet.
  RevisionKey HostsSince;   ///< First revision with the host list that is held.
  Instant HostsHeldAt{};
  std::optional<Instant> HostListMajorityAt; ///< See `ViewLease`.
  std::vector<HostId> Witnesses;
  /// Of the host list before; a majority of both sets anchors a host list.
  std::vector<HostId> PreviousWitnesses;
  std::vector<HostId> Parents; ///< Set by the shell.
  bool IsWatcher =
      false; ///< Reads the configuration service. Set by the shell.
  /// The node keeps shards and needs to know when its host list is anchored.
  bool NeedsHostListMajority = true;

  RevisionKey NewestKnown; ///< Held or named by any answer.
  std::optional<Instant> ConfirmedAt;
  /// Confirmation of a revision that is not held yet.
  std::optional<Instant> NewestConfirmedAt;
  std::map<HostId, ReceivedWitnessReply> WitnessReplies;
  std::map<std::uint64_t, PendingQuery> PendingQueries;
  std::map<HostId, Instant> LastQueriedAt; ///< The service under an empty id.
  std::uint64_t NextNonce = 1;
};

/// A view that holds no bundle.
ViewState makeViewState(HostId Self, Instant Now);

/// Takes over an accepted revision; ignored unless it is newer than the held
/// one. `HostsSince` is the first revision of the unbroken run of revisions
/// with the same host list and witnesses that ends with this one.
void adoptRevision(ViewState &State, const RevisionKey &Key,
                   const RevisionKey &HostsSince, const Policy &Rules,
                   Instant Now);

/// Questions that are due. Witnesses are asked when the service and the
/// parents have not confirmed recently, and while the host list is not
/// anchored.
std::vector<ViewQuery> dueViewQueries(ViewState &State, Instant Now);

/// Answer of the configuration service. Answers to unknown nonces are ignored.
void recordServiceReply(ViewState &State, std::uint64_t Nonce,
                        const RevisionKey &Newest);
/// Answer of a peer. The confirmation dates from the sending of the question
/// minus the age.
void recordConfirmReply(ViewState &State, std::uint64_t Nonce,
                        const ConfirmReply &Reply);
/// Answer of a witness.
void recordWitnessReply(ViewState &State, std::uint64_t Nonce,
                        const WitnessReply &Reply, Instant Now);
/// A revision named by a heartbeat. It never confirms anything, but ends the
/// confirmation of older ones. Pass only revisions with a verified pointer.
void recordAnnouncedRevision(ViewState &State, const RevisionKey &Key);

/// What this node says to a peer; nothing while it has no confirmation.
std::optional<ConfirmReply> answerConfirm(const ViewState &State, Instant Now);
/// What this node says as a witness. A restarted witness has forgotten what it
/// knew and says nothing until a confirmation newer than its start.
std::optional<WitnessReply> answerWitness(const ViewState &State, Instant Now);

/// The lease at this moment.
ViewLease viewLease(const ViewState &State);

} // namespace pollenwick

#endif
