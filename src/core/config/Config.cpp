#include "core/config/Config.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

constexpr Digest NoDigest{};

ConfigVersion versionOf(const RevisionPointer &Head) {
  return {Head.Number, Head.Root};
}

void recordFork(ConfigState &State, const ConfigSettings &Settings,
                ConfigVersion A, ConfigVersion B) {
  const Fork Found{std::min(A, B), std::max(A, B)};
  if (std::find(State.Forks.begin(), State.Forks.end(), Found) !=
      State.Forks.end())
    return;
  ++State.ForkCount;
  if (State.Forks.size() >= Settings.MaxForks)
    State.Forks.erase(State.Forks.begin());
  State.Forks.push_back(Found);
}

// Records a fork if another known revision has the same number or the same
// parent, which means that two operators published concurrently. First
// revisions have no parent and are compared by number only.
void detectForks(ConfigState &State, const ConfigSettings &Settings,
                 const RevisionPointer &Head) {
  for (const auto &[Root, Ancestry] : State.KnownRevisions)
    if (Root != Head.Root &&
        (Ancestry.Number == Head.Number ||
         (Ancestry.Parent == Head.Parent && Head.Parent != NoDigest)))
      recordFork(State, Settings, {Ancestry.Number, Root}, versionOf(Head));
}

void recordRevision(ConfigState &State, const ConfigSettings &Settings,
                    const Digest &Root, const Lineage &Ancestry) {
  State.KnownRevisions.emplace(Root, Ancestry);
  if (State.KnownRevisions.size() <= Settings.MaxKnownRevisions)
    return;
  State.KnownRevisions.erase(
      std::min_element(State.KnownRevisions.begin(), State.KnownRevisions.end(),
                       [](const auto &A, const auto &B) {
                         return A.second.Number < B.second.Number;
                       }));
}

bool chunksComplete(const ConfigState &State, const RevisionPointer &Head) {
  return std::all_of(Head.Chunks.begin(), Head.Chunks.end(),
                     [&](const ChunkRef &Ref) {
                       return State.HeldChunks.contains(Ref.ContentDigest);
                     });
}

PointerVerdict activatePending(ConfigState &State) {
  if (!State.PendingPointer || !chunksComplete(State, *State.PendingPointer))
    return PointerVerdict::WaitingForChunks;
  State.InForce = std::move(State.PendingPointer);
  State.PendingPointer.reset();
  State.PendingSource.reset();
  return PointerVerdict::InForce;
}

PointerVerdict acceptPointer(ConfigState &State, const ConfigSettings &Settings,
                             const RevisionPointer &Head,
                             const std::optional<HostId> &From) {
  recordRevision(State, Settings, Head.Root, {Head.Number, Head.Parent});
  State.PendingPointer = Head;
  State.PendingSource = From;
  if (State.ChainHead && versionOf(State.ChainHead->Head) <= versionOf(Head))
    State.ChainHead.reset();
  return activatePending(State);
}

void recordAnswer(ConfigState &State, const std::optional<HostId> &From) {
  if (!From)
    State.ServiceAnswered = true;
  else if (!State.Serving)
    State.AnsweredPeers.insert(*From);
}

PointerVerdict acceptCandidate(ConfigState &State,
                               const ConfigSettings &Settings) {
  ChainCandidate Completed = std::move(*State.ChainHead);
  State.ChainHead.reset();
  for (const auto &[Root, Ancestry] : Completed.Ancestors) {
    RevisionPointer Ancestor;
    Ancestor.Number = Ancestry.Number;
    Ancestor.Parent = Ancestry.Parent;
    Ancestor.Root = Root;
    detectForks(State, Settings, Ancestor);
    recordRevision(State, Settings, Root, Ancestry);
  }
  if (versionOf(Completed.Head) <= newestAcceptedVersion(State)) {
    recordRevision(State, Settings, Completed.Head.Root,
                   {Completed.Head.Number, Completed.Head.Parent});
    return PointerVerdict::Older;
  }
  return acceptPointer(State, Settings, Completed.Head, Completed.OfferedBy);
}

// Returns true if the chain reaches a known revision, the first revision, or
// the lowest number that this node remembers. In the last case the fork is
// older than the node's history. It is accepted, because all nodes must still
// agree on the highest version.
bool isConnected(const ConfigState &State, const ChainCandidate &Candidate) {
  const auto Lowest =
      std::min_element(State.KnownRevisions.begin(), State.KnownRevisions.end(),
                       [](const auto &A, const auto &B) {
                         return A.second.Number < B.second.Number;
                       });
  return Candidate.Next == NoDigest ||
         State.KnownRevisions.contains(Candidate.Next) ||
         Lowest == State.KnownRevisions.end() ||
         Candidate.LowestNumber <= Lowest->second.Number;
}

void beginCandidate(ConfigState &State, const RevisionPointer &Head,
                    const std::optional<HostId> &From, Instant Now) {
  ChainCandidate Next;
  Next.Head = Head;
  Next.OfferedBy = From;
  Next.Next = Head.Parent;
  Next.LowestNumber = Head.Number;
  Next.LastProgress = Now;
  // If the new pointer is a child of the previous candidate, the ancestors
  // fetched so far stay.
  if (State.ChainHead && State.ChainHead->Head.Root == Head.Parent) {
    const ChainCandidate &Old = *State.ChainHead;
    Next.Ancestors = Old.Ancestors;
    Next.Ancestors.emplace(Old.Head.Root,
                           Lineage{Old.Head.Number, Old.Head.Parent});
    Next.Next = Old.Next;
    Next.LowestNumber = Old.LowestNumber;
    Next.LastProgress = Old.LastProgress;
  }
  State.ChainHead = std::move(Next);
}

/// Starts an attempt to fetch a digest and sets `Round` to its number, which
/// selects the source. Returns false while an earlier attempt is in progress.
bool beginAttempt(ConfigState &State, const ConfigSettings &Settings,
                  const Digest &Wanted, Instant Now, std::uint32_t &Round) {
  FetchProgress &Progress = State.FetchesInProgress[Wanted];
  if (Now < Progress.RetryAt)
    return false;
  Round = Progress.Count++;
  Progress.RetryAt = Now + Settings.FetchTimeout;
  return true;
}

/// Returns the source of a digest for the given round: the node that offered
/// it, the parents, or the configuration service. Only watchers, nodes without
/// a parent and nodes without a bundle read the service; otherwise its reads
/// would grow with the fleet.
std::optional<HostId> chooseSource(const ConfigState &State,
                                   const std::optional<HostId> &OfferedBy,
                                   const PullSources &Sources,
                                   std::uint32_t Round) {
  std::vector<std::optional<HostId>> Candidates;
  const bool MayRead =
      Sources.IsWatcher || Sources.Parents.empty() || !State.InForce;
  if (OfferedBy || MayRead)
    Candidates.push_back(OfferedBy);
  for (const HostId &Parent : Sources.Parents)
    if (std::find(Candidates.begin(), Candidates.end(), Parent) ==
        Candidates.end())
      Candidates.emplace_back(Parent);
  if (MayRead && OfferedBy)
    Candidates.emplace_back(std::nullopt);
  return Candidates[Round % Candidates.size()];
}

} // namespace

ConfigState beginConfig(const ConfigSettings &Settings,
                        std::uint64_t RandomSeed, Instant Now) {
  ConfigState State;
  State.StartedAt = Now;
  // The cube root makes a few nodes of a fleet read early and most of them
  // late: by half of the span, one node in eight has read the service, and the
  // others have usually learned the pointer from a peer.
  constexpr std::uint64_t Steps = 1U << 20U;
  const double UnitDraw = static_cast<double>(RandomSeed % Steps) / Steps;
  const auto Spread = static_cast<double>(Settings.MaxStartReadDelay.count());
  State.StartReadAt =
      Now + Duration(static_cast<Duration::rep>(Spread * std::cbrt(UnitDraw)));
  // A random first pull spreads the load on the parents over the interval.
  const auto Interval = static_cast<std::uint64_t>(
      std::max<Duration::rep>(Settings.StartPullInterval.count(), 1));
  State.NextPullAt =
      Now +
      Duration(static_cast<Duration::rep>((RandomSeed >> 20U) % Interval));
  State.NextServiceReadAt = State.NextPullAt;
  return State;
}

PointerVerdict offerPointer(ConfigState &State, const ConfigSettings &Settings,
                            const RevisionPointer &Head, bool SignatureValid,
                            const std::optional<HostId> &From, Instant Now) {
  if (!SignatureValid)
    return PointerVerdict::SignatureInvalid;
  recordAnswer(State, From);
  const ConfigVersion Offered = versionOf(Head);
  if (State.KnownRevisions.contains(Head.Root))
    return PointerVerdict::AlreadyKnown;
  const bool IsFirst = State.KnownRevisions.empty();
  detectForks(State, Settings, Head);
  if (!IsFirst && Offered < newestAcceptedVersion(State)) {
    if (State.KnownRevisions.contains(Head.Parent))
      recordRevision(State, Settings, Head.Root, {Head.Number, Head.Parent});
    return PointerVerdict::Older;
  }
  // A starting node has no history and can check the signature only.
  if (IsFirst)
    return acceptPointer(State, Settings, Head, From);
  if (Head.Parent == NoDigest) {
    recordFork(State, Settings, newestAcceptedVersion(State), Offered);
    return acceptPointer(State, Settings, Head, From);
  }
  if (const auto Parent = State.KnownRevisions.find(Head.Parent);
      Parent != State.KnownRevisions.end()) {
    if (Parent->second.Number >= Head.Number)
      return PointerVerdict::Inconsistent;
    return acceptPointer(State, Settings, Head, From);
  }
  if (State.ChainHead && Offered <= versionOf(State.ChainHead->Head))
    return PointerVerdict::WaitingForAncestors;
  beginCandidate(State, Head, From, Now);
  return PointerVerdict::WaitingForAncestors;
}

PointerVerdict offerAncestor(ConfigState &State, const ConfigSettings &Settings,
                             const RevisionPointer &Head, bool SignatureValid,
                             Instant Now) {
  if (!SignatureValid)
    return PointerVerdict::SignatureInvalid;
  if (!State.ChainHead || State.ChainHead->Next != Head.Root)
    return PointerVerdict::Unrequested;
  ChainCandidate &Candidate = *State.ChainHead;
  if (Head.Number >= Candidate.LowestNumber) {
    State.ChainHead.reset();
    return PointerVerdict::Inconsistent;
  }
  State.FetchesInProgress.erase(Head.Root);
  Candidate.Ancestors.emplace(Head.Root, Lineage{Head.Number, Head.Parent});
  Candidate.LowestNumber = Head.Number;
  Candidate.Next = Head.Parent;
  Candidate.LastProgress = Now;
  if (isConnected(State, Candidate))
    return acceptCandidate(State, Settings);
  if (Candidate.Ancestors.size() >= Settings.MaxKnownRevisions) {
    ++State.AbandonedChains;
    return acceptCandidate(State, Settings);
  }
  return PointerVerdict::WaitingForAncestors;
}

PointerVerdict offerChunk(ConfigState &State, const Digest &ContentDigest) {
  const auto ListsChunk = [&](const std::optional<RevisionPointer> &Head) {
    return Head && std::any_of(Head->Chunks.begin(), Head->Chunks.end(),
                               [&](const ChunkRef &Ref) {
                                 return Ref.ContentDigest == ContentDigest;
                               });
  };
  State.FetchesInProgress.erase(ContentDigest);
  if (!ListsChunk(State.PendingPointer))
    return PointerVerdict::Unrequested;
  if (!State.HeldChunks.insert(ContentDigest).second)
    return PointerVerdict::AlreadyKnown;
  return activatePending(State);
}

void revertInForce(ConfigState &State,
                   const std::optional<RevisionPointer> &Previous) {
  ++State.UnusableRevisions;
  State.InForce = Previous;
}

void onEmptyAnswer(ConfigState &State, const std::optional<HostId> &From) {
  recordAnswer(State, From);
}

void onServiceConfirmed(ConfigState &State) { State.ServiceAnswered = true; }

void onVersionAnnounced(ConfigState &State, const ConfigVersion &Announced,
                        const HostId &From) {
  if (Announced <= newestAcceptedVersion(State) ||
      Announced < State.AnnouncedVersion ||
      State.KnownRevisions.contains(Announced.Root))
    return;
  State.AnnouncedVersion = Announced;
  State.AnnouncedBy = From;
}

void onFetchFailed(ConfigState &State, const ConfigSettings &Settings,
                   const Fetch &Failed, Instant Now) {
  if (Failed.ContentKind == Fetch::Kind::Newest) {
    // The next pull fetches the newest pointer again. An announcement is
    // dropped, so that a host that announces a version it does not have is not
    // asked forever.
    if (Failed.Peer == State.AnnouncedBy) {
      State.AnnouncedBy.reset();
      State.AnnouncedVersion = {};
    }
    return;
  }
  if (const auto Found = State.FetchesInProgress.find(Failed.RequestedDigest);
      Found != State.FetchesInProgress.end())
    Found->second.RetryAt =
        std::min(Found->second.RetryAt, Now + Settings.FetchRetryDelay);
}

std::vector<Fetch> dueFetches(ConfigState &State,
                              const ConfigSettings &Settings,
                              const PullSources &Sources, Instant Now) {
  std::vector<Fetch> Due;
  if (Now >= State.NextPullAt && !Sources.Parents.empty()) {
    State.NextPullAt = Now + (State.Serving ? Settings.PullInterval
                                            : Settings.StartPullInterval);
    Due.push_back({Fetch::Kind::Newest, {}, Sources.Parents.front()});
    // Each pull also asks one of the other parents in turn, in case the first
    // parent is cut off from new revisions but still answers.
    if (const std::size_t OtherParents = Sources.Parents.size() - 1;
        OtherParents > 0)
      Due.push_back({Fetch::Kind::Newest,
                     {},
                     Sources.Parents[1 + State.PullRound++ % OtherParents]});
    if (!State.Serving)
      for (const HostId &Witness : Sources.Witnesses)
        if (!State.AnsweredPeers.contains(Witness))
          Due.push_back({Fetch::Kind::Newest, {}, Witness});
  }
  if (State.AnnouncedBy &&
      (State.AnnouncedVersion <= newestAcceptedVersion(State) ||
       State.KnownRevisions.contains(State.AnnouncedVersion.Root))) {
    State.AnnouncedBy.reset();
    State.AnnouncedVersion = {};
  }
  if (State.AnnouncedBy && Now >= State.AnnouncedRetryAt) {
    State.AnnouncedRetryAt = Now + Settings.FetchTimeout;
    Due.push_back({Fetch::Kind::Newest, {}, State.AnnouncedBy});
  }
  const bool NeedsStartRead =
      State.KnownRevisions.empty() && Now >= State.StartReadAt;
  if ((Sources.IsWatcher || NeedsStartRead) && Now >= State.NextServiceReadAt) {
    // A node that is not a watcher uses the longer interval of starting nodes.
    State.NextServiceReadAt =
        Now + (Sources.IsWatcher ? Settings.ServiceReadInterval
                                 : Settings.MaxStartReadDelay);
    Due.push_back({Fetch::Kind::Newest, {}, std::nullopt});
  }
  std::uint32_t Round = 0;
  if (State.ChainHead) {
    if (Now - State.ChainHead->LastProgress >= Settings.ChainTimeout) {
      // After a restart the node would accept this pointer immediately, so
      // waiting longer would only keep it on an old revision.
      ++State.AbandonedChains;
      acceptCandidate(State, Settings);
    } else if (const Digest Next = State.ChainHead->Next;
               beginAttempt(State, Settings, Next, Now, Round)) {
      Due.push_back(
          {Fetch::Kind::Ancestor, Next,
           chooseSource(State, State.ChainHead->OfferedBy, Sources, Round)});
    }
  }
  if (State.PendingPointer) {
    std::size_t ChunksInFlight = 0;
    for (const ChunkRef &Ref : State.PendingPointer->Chunks)
      if (!State.HeldChunks.contains(Ref.ContentDigest) &&
          ChunksInFlight++ < Settings.MaxChunksInFlight &&
          beginAttempt(State, Settings, Ref.ContentDigest, Now, Round))
        Due.push_back(
            {Fetch::Kind::Chunk, Ref.ContentDigest,
             chooseSource(State, State.PendingSource, Sources, Round)});
  }
  return Due;
}

ConfigVersion versionInForce(const ConfigState &State) {
  return State.InForce ? versionOf(*State.InForce) : ConfigVersion{};
}

ConfigVersion newestAcceptedVersion(const ConfigState &State) {
  return State.PendingPointer ? versionOf(*State.PendingPointer)
                              : versionInForce(State);
}

bool mayServe(ConfigState &State, const ConfigSettings &Settings,
              const std::vector<HostId> &Witnesses, Instant Now) {
  if (State.Serving)
    return true;
  if (!State.InForce || State.PendingPointer || State.ChainHead)
    return false;
  const auto AnsweredWitnesses = static_cast<std::size_t>(std::count_if(
      Witnesses.begin(), Witnesses.end(),
      [&](const HostId &Host) { return State.AnsweredPeers.contains(Host); }));
  const bool Complete =
      AnsweredWitnesses > Witnesses.size() / 2 && State.ServiceAnswered;
  if (!Complete && Now - State.StartedAt < Settings.MaxStartWait)
    return false;
  State.Serving = true;
  State.AnsweredPeers.clear();
  return true;
}

std::vector<Digest> dropUnusedChunks(ConfigState &State) {
  std::set<Digest> Needed;
  for (const std::optional<RevisionPointer> *Head :
       {&State.InForce, &State.PendingPointer})
    if (*Head)
      for (const ChunkRef &Ref : (*Head)->Chunks)
        Needed.insert(Ref.ContentDigest);
  std::vector<Digest> Dropped;
  std::set_difference(State.HeldChunks.begin(), State.HeldChunks.end(),
                      Needed.begin(), Needed.end(),
                      std::back_inserter(Dropped));
  for (const Digest &ContentDigest : Dropped)
    State.HeldChunks.erase(ContentDigest);
  std::erase_if(State.FetchesInProgress, [&](const auto &Item) {
    return !Needed.contains(Item.first) &&
           !(State.ChainHead && State.ChainHead->Next == Item.first);
  });
  return Dropped;
}

} // namespace pollenwick
