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

/// Total order of revisions, the same at every node.
struct ConfigVersion {
  Revision Number;
  Digest Root{};
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const ConfigVersion &,
                          const ConfigVersion &) = default;
};

struct ConfigSettings {
  Duration PullInterval = std::chrono::seconds(1);
  Duration ServiceReadInterval = std::chrono::seconds(1); ///< Watchers only.
  Duration FetchTimeout = std::chrono::milliseconds(800);
  Duration FetchRetryDelay = std::chrono::milliseconds(100);
  /// A starting node that has heard of no bundle reads the service after a
  /// delay drawn from this span, so that a fleet that starts at once spreads
  /// its reads.
  Duration MaxStartReadDelay = std::chrono::seconds(4);
  Duration StartPullInterval = std::chrono::milliseconds(250);
  /// After this time a starting node serves with the answers it has.
  Duration MaxStartWait = std::chrono::seconds(5);
  /// After this time without a fetched ancestor the chain is given up.
  Duration ChainTimeout = std::chrono::seconds(10);
  std::size_t MaxKnownRevisions =
      512; ///< Known ancestors, also the longest chain.
  std::size_t MaxForks = 16;
  std::size_t MaxChunksInFlight = 16;
};

/// A revision whose signature was checked and whose ancestry is known.
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

struct Fetch {
  enum class Kind : std::uint8_t {
    Newest,   ///< The pointer in force at a peer, or published at the service.
    Ancestor, ///< A pointer by its root.
    Chunk,    ///< A chunk by its digest.
  };
  Kind ContentKind = Kind::Newest;
  Digest RequestedDigest{};
  std::optional<HostId> Peer; ///< Empty: the configuration service.
  friend bool operator==(const Fetch &, const Fetch &) = default;
};

/// Progress of fetching one digest.
struct FetchProgress {
  std::uint32_t Count = 0;
  Instant RetryAt;
};

/// A newer pointer whose ancestors are being fetched.
struct ChainCandidate {
  RevisionPointer Head;
  std::optional<HostId> OfferedBy;
  std::map<Digest, Lineage> Ancestors;
  Digest Next{};         ///< Root of the ancestor that is fetched next.
  Revision LowestNumber; ///< Numbers fall along the chain.
  Instant LastProgress;
};

/// Owned by the configuration duty. Bounded by the settings.
struct ConfigState {
  std::optional<RevisionPointer> InForce; ///< Newest whose chunks are all here.
  std::optional<RevisionPointer>
      PendingPointer; ///< Accepted, newer, chunks are missing.
  std::optional<HostId> PendingSource;
  std::optional<ChainCandidate> ChainHead;
  std::map<Digest, Lineage> KnownRevisions;
  std::set<Digest> HeldChunks; ///< Chunks that the shell keeps.
  std::map<Digest, FetchProgress> FetchesInProgress;
  std::vector<Fork> Forks;
  std::uint64_t ForkCount = 0;
  std::uint64_t AbandonedChains = 0;   ///< Accepted without a fetched ancestry.
  std::uint64_t UnusableRevisions = 0; ///< Revisions that did not assemble.
  Instant StartedAt;
  Instant StartReadAt; ///< When a starting node reads the service itself.
  Instant NextPullAt;
  Instant NextServiceReadAt;
  std::uint32_t PullRound = 0;
  ConfigVersion
      AnnouncedVersion; ///< Newer version that `AnnouncedBy` has announced.
  std::optional<HostId> AnnouncedBy;
  Instant AnnouncedRetryAt;
  bool ServiceAnswered = false;
  std::set<HostId> AnsweredPeers; ///< Until the node serves.
  bool Serving = false;
};

/// Where a node looks, as `src/core/membership` decides.
struct PullSources {
  bool IsWatcher = false;
  std::vector<HostId> Parents; ///< In order of preference.
  /// Asked as well until the node serves.
  std::vector<HostId> Witnesses;
};

enum class PointerVerdict : std::uint8_t {
  InForce,             ///< Accepted, all chunks are here.
  WaitingForChunks,    ///< Accepted, `dueFetches` names the chunks.
  WaitingForAncestors, ///< The parent is unknown, its chain is fetched.
  AlreadyKnown,
  Older, ///< Lower in the order; a revision never reverts.
  SignatureInvalid,
  Inconsistent, ///< Numbers do not fall along the chain of parents.
  Unrequested,  ///< Nothing asked for it.
};

/// `Salt` is a random number of the process; it spreads reads at start.
ConfigState beginConfig(const ConfigSettings &Settings,
                        std::uint64_t RandomSeed, Instant Now);

/// Offers the newest pointer of a peer or, if `From` is empty, of the service.
/// `SignatureValid` is the result of `verifyPointer`.
PointerVerdict offerPointer(ConfigState &State, const ConfigSettings &Settings,
                            const RevisionPointer &Head, bool SignatureValid,
                            const std::optional<HostId> &From, Instant Now);
/// Offers an ancestor that `dueFetches` asked for.
PointerVerdict offerAncestor(ConfigState &State, const ConfigSettings &Settings,
                             const RevisionPointer &Head, bool SignatureValid,
                             Instant Now);
/// Offers a chunk whose digest was checked by the shell.
PointerVerdict offerChunk(ConfigState &State, const Digest &ContentDigest);

/// The shell could not assemble the revision in force; the one before stays.
/// Every node reaches the same verdict, as it depends on the content only.
void revertInForce(ConfigState &State,
                   const std::optional<RevisionPointer> &Previous);

/// A source answered without content ("no bundle yet"); counts at start.
void onEmptyAnswer(ConfigState &State, const std::optional<HostId> &From);
/// A peer's confirmation by the service is young enough for a view lease; at
/// start it counts like an answer of the service.
void onServiceConfirmed(ConfigState &State);
/// A heartbeat of `From` announced a version. The pointer of a newer one is
/// pulled from there, as parents in the tree may be behind their children after
/// a restart.
void onVersionAnnounced(ConfigState &State, const ConfigVersion &Announced,
                        const HostId &From);
/// A fetch failed; the next source is tried after `FetchRetryDelay`.
void onFetchFailed(ConfigState &State, const ConfigSettings &Settings,
                   const Fetch &Failed, Instant Now);

/// What to fetch now. Each call for the same instant gives new fetches only.
std::vector<Fetch> dueFetches(ConfigState &State,
                              const ConfigSettings &Settings,
                              const PullSources &Sources, Instant Now);

/// Version in force; zero if none.
ConfigVersion versionInForce(const ConfigState &State);
/// Newest accepted version, in force or waiting for chunks; zero if none.
ConfigVersion newestAcceptedVersion(const ConfigState &State);

/// True once a starting node may serve: it has a revision in force, knows no
/// newer one, and has heard the service and a majority of `Witnesses`, or has
/// waited `MaxStartWait`. Stays true.
bool mayServe(ConfigState &State, const ConfigSettings &Settings,
              const std::vector<HostId> &Witnesses, Instant Now);

/// Forgets chunks that no accepted revision needs and returns their digests.
std::vector<Digest> dropUnusedChunks(ConfigState &State);

} // namespace pollenwick

#endif
