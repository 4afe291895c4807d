#ifndef POLLENWICK_CORE_CONFIG_CONFIG_H
#define POLLENWICK_CORE_CONFIG_CONFIG_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "pollenwick/Ids.h"
#include "pollenwick/Pointer.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Version of a configuration. The order is total and the same at every node:
/// by number, then by root digest.
struct ConfigVersion {
  Revision Number;
  Digest Root{};
  // NOLINTBEGIN(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const ConfigVersion &,
                          const ConfigVersion &) = default;
  // NOLINTEND(modernize-use-nullptr,readability-identifier-naming)
};

/// Intervals, timeouts and limits of configuration distribution.
struct ConfigSettings {
  Duration PullInterval = std::chrono::seconds(1);
  Duration ServiceReadInterval =
      std::chrono::seconds(1); ///< For watchers only.
  Duration FetchTimeout = std::chrono::milliseconds(800);
  Duration FetchRetryDelay = std::chrono::milliseconds(100);
  /// Upper bound of the random delay after which a starting node that knows no
  /// bundle reads the configuration service. The delay spreads the reads of a
  /// fleet whose nodes all start at the same time.
  Duration MaxStartReadDelay = std::chrono::seconds(4);
  Duration StartPullInterval = std::chrono::milliseconds(250);
  /// Time after which a starting node serves even if it has not received all
  /// the answers it waits for.
  Duration MaxStartWait = std::chrono::seconds(5);
  /// Time without a newly fetched ancestor after which the node accepts a
  /// pointer without its remaining ancestors.
  Duration ChainTimeout = std::chrono::seconds(10);
  std::size_t MaxKnownRevisions =
      512; ///< Limit on remembered revisions and on the chain length.
  std::size_t MaxForks = 16;
  std::size_t MaxChunksInFlight = 16;
};

/// Number and parent of a revision with a valid signature.
struct Lineage {
  Revision Number;
  Digest Parent{};
};

/// Two revisions that claim the same number or follow the same parent.
struct Fork {
  ConfigVersion Lower;
  ConfigVersion Higher;
  friend bool operator==(const Fork &, const Fork &) = default;
};

/// A request for a pointer or a chunk, and the source it goes to.
struct Fetch {
  enum class Kind : std::uint8_t {
    Newest,   ///< The pointer in force at a peer or published at the service.
    Ancestor, ///< The pointer with the requested root digest.
    Chunk,    ///< The chunk with the requested digest.
  };
  Kind ContentKind = Kind::Newest;
  Digest RequestedDigest{};
  std::optional<HostId> Peer; ///< Unset: the configuration service.
  friend bool operator==(const Fetch &, const Fetch &) = default;
};

/// Number of attempts to fetch one digest and the time of the next one.
struct FetchProgress {
  std::uint32_t Count = 0;
  Instant RetryAt;
};

/// A newer pointer whose ancestors are being fetched.
struct ChainCandidate {
  RevisionPointer Head;
  std::optional<HostId> OfferedBy;
  std::map<Digest, Lineage> Ancestors;
  Digest Next{};         ///< Root digest of the ancestor to fetch next.
  Revision LowestNumber; ///< Lowest number in the chain so far.
  Instant LastProgress;
};

/// Configuration state of one node. Owned by the configuration thread; its size
/// is bounded by the settings.
struct ConfigState {
  std::optional<RevisionPointer> InForce; ///< Newest with all chunks held.
  std::optional<RevisionPointer>
      PendingPointer; ///< Accepted and newer, but chunks are missing.
  std::optional<HostId> PendingSource;
  std::optional<ChainCandidate> ChainHead;
  std::map<Digest, Lineage> KnownRevisions;
  std::set<Digest> HeldChunks; ///< Digests of the stored chunks.
  std::map<Digest, FetchProgress> FetchesInProgress;
  std::vector<Fork> Forks;
  std::uint64_t ForkCount = 0;
  std::uint64_t AbandonedChains =
      0; ///< Pointers accepted without all ancestors.
  std::uint64_t UnusableRevisions =
      0; ///< Revisions that `revertInForce` undid.
  Instant StartedAt;
  Instant StartReadAt; ///< When a node without a bundle reads the service.
  Instant NextPullAt;
  Instant NextServiceReadAt;
  std::uint32_t PullRound = 0;
  ConfigVersion AnnouncedVersion; ///< Newer version announced by `AnnouncedBy`.
  std::optional<HostId> AnnouncedBy;
  Instant AnnouncedRetryAt;
  bool ServiceAnswered = false;
  std::set<HostId> AnsweredPeers; ///< Collected until the node serves.
  bool Serving = false;
};

/// Sources from which a node pulls the configuration; membership selects them.
struct PullSources {
  bool IsWatcher = false;
  std::vector<HostId> Parents; ///< In order of preference.
  /// Additional sources until the node serves.
  std::vector<HostId> Witnesses;
};

/// Result of offering a pointer or a chunk.
enum class PointerVerdict : std::uint8_t {
  InForce,             ///< Accepted, and all chunks are held.
  WaitingForChunks,    ///< Accepted; `dueFetches` requests the chunks.
  WaitingForAncestors, ///< Parent unknown; its ancestors are being fetched.
  AlreadyKnown,
  Older, ///< Lower version; a node never goes back to one.
  SignatureInvalid,
  Inconsistent, ///< A parent's number is not below its child's.
  Unrequested,  ///< The node did not request it.
};

/// Returns the state of a starting node. `RandomSeed` is a random number of the
/// process that spreads the first reads and pulls of the fleet.
ConfigState beginConfig(const ConfigSettings &Settings,
                        std::uint64_t RandomSeed, Instant Now);

/// Offers the newest pointer of a peer or, if `From` is unset, of the service.
/// `SignatureValid` is the result of `verifyPointer`.
PointerVerdict offerPointer(ConfigState &State, const ConfigSettings &Settings,
                            const RevisionPointer &Head, bool SignatureValid,
                            const std::optional<HostId> &From, Instant Now);
/// Offers an ancestor that `dueFetches` requested.
PointerVerdict offerAncestor(ConfigState &State, const ConfigSettings &Settings,
                             const RevisionPointer &Head, bool SignatureValid,
                             Instant Now);
/// Offers a chunk. The caller must have verified its digest.
PointerVerdict offerChunk(ConfigState &State, const Digest &ContentDigest);

/// Puts `Previous` back in force after the revision in force could not be
/// assembled. All nodes do the same, since the failure depends only on the
/// content.
void revertInForce(ConfigState &State,
                   const std::optional<RevisionPointer> &Previous);

/// Records that a source has no bundle yet. A starting node counts this as an
/// answer.
void onEmptyAnswer(ConfigState &State, const std::optional<HostId> &From);
/// Records that a peer's confirmation by the service is recent enough for a
/// view lease. A starting node counts this as an answer of the service.
void onServiceConfirmed(ConfigState &State);
/// Records a version announced in a heartbeat of `From`. If it is newer, its
/// pointer is pulled from `From`, because parents in the pull tree may be
/// behind their children after a restart.
void onVersionAnnounced(ConfigState &State, const ConfigVersion &Announced,
                        const HostId &From);
/// Records a failed fetch. Ancestors and chunks are requested from the next
/// source after `FetchRetryDelay`.
void onFetchFailed(ConfigState &State, const ConfigSettings &Settings,
                   const Fetch &Failed, Instant Now);

/// Returns the fetches to start now. A repeated call for the same instant does
/// not return them again.
std::vector<Fetch> dueFetches(ConfigState &State,
                              const ConfigSettings &Settings,
                              const PullSources &Sources, Instant Now);

/// Returns the version in force, or zero if there is none.
ConfigVersion versionInForce(const ConfigState &State);
/// Returns the newest accepted version, in force or waiting for chunks, or zero
/// if there is none.
ConfigVersion newestAcceptedVersion(const ConfigState &State);

/// Returns true once a starting node may serve: it has a revision in force and
/// knows no newer one, and either the service and a majority of `Witnesses`
/// have answered or `MaxStartWait` has passed. The result stays true.
bool mayServe(ConfigState &State, const ConfigSettings &Settings,
              const std::vector<HostId> &Witnesses, Instant Now);

/// Removes the chunks that no accepted revision needs and returns their
/// digests.
std::vector<Digest> dropUnusedChunks(ConfigState &State);

} // namespace pollenwick

#endif
