#include "node/ConfigUpdater.h"

#include <algorithm>
#include <chrono>

#include "bundle/Check.h"
#include "bundle/Digests.h"
#include "node/ConfigClient.h"
#include "node/Log.h"
#include "peer/Clock.h"
#include "peer/QuotaWire.h"
#include "peer/Wire.h"

namespace pollenwick {
namespace {

/// Pause between two iterations of the thread's loop.
constexpr Duration LoopInterval = std::chrono::milliseconds(20);
/// Interval at which a node without a bundle asks the seeds.
constexpr Duration SeedInterval = std::chrono::milliseconds(500);

} // namespace

ConfigUpdater::ConfigUpdater(const Settings &S, const IncarnationId &I,
                             PublicKey O, const ComponentRegistry &Registry)
    : Options(S), Self(I), Operator(O),
      NodeCounters(Registry.find<Counters>("counters")),
      View(Registry.find<ViewService>("view")),
      Bundles(Registry.find<BundleStore>("bundles")),
      Peers(Registry.find<PeerTransport>("peers")),
      Service(std::make_unique<ConfigClient>(S.ConfigService)),
      State(beginConfig(Tuning, I.Start.Value, now())) {
  // A node without a bundle knows no other nodes than the seeds, so it reads
  // from the configuration service itself.
  Sources.IsWatcher = true;
}

ConfigUpdater::~ConfigUpdater() = default;

void ConfigUpdater::start() {
  Thread = std::thread([this] { run(); });
}

void ConfigUpdater::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

void ConfigUpdater::setPullSources(bool IsWatcher,
                                   std::vector<HostId> Parents) {
  View.withState([&](ViewState &V) {
    V.IsWatcher = IsWatcher;
    V.Parents = Parents;
  });
  std::scoped_lock Lock(Mutex);
  Sources.IsWatcher = IsWatcher;
  Sources.Parents = std::move(Parents);
}

// Datagrams are not authenticated, so an announced version is only a hint to
// pull from the sender. It is accepted only after the signature of the pointer
// has been verified.
void ConfigUpdater::noteAnnouncedVersion(const ConfigVersion &Announced,
                                         const HostId &From) {
  std::scoped_lock Lock(Mutex);
  onVersionAnnounced(State, Announced, From);
}

std::optional<PeerAddress> ConfigUpdater::addressOf(const HostId &Host) const {
  const BundlePtr Bundle = Bundles.current();
  const HostSpec *Spec = Bundle ? findHost(*Bundle, Host) : nullptr;
  if (!Spec)
    return std::nullopt;
  return peerAddress(*Spec);
}

void ConfigUpdater::run() {
  Instant NextSeeds{};
  while (!Stopping) {
    const auto Questions =
        View.withState([](ViewState &V) { return dueViewQueries(V, now()); });
    for (const ViewQuery &Question : Questions)
      ask(Question);
    std::vector<Fetch> Due;
    {
      std::scoped_lock Lock(Mutex);
      Due = dueFetches(State, Tuning, Sources, now());
    }
    for (const Fetch &What : Due)
      fetch(What);
    if (!Bundles.current() && now() >= NextSeeds) {
      fetchFromSeeds();
      NextSeeds = now() + SeedInterval;
    }
    std::vector<FetchResult> Got;
    {
      std::scoped_lock Lock(InboxMutex);
      Got.swap(Inbox);
    }
    for (const FetchResult &One : Got)
      processResult(One);
    activateNewBundle();
    std::this_thread::sleep_for(LoopInterval);
  }
}

void ConfigUpdater::enqueueResult(FetchResult Got) {
  std::scoped_lock Lock(InboxMutex);
  if (Inbox.size() <
      MaxInboxResults) // A dropped result is fetched again when due.
    Inbox.push_back(std::move(Got));
}

void ConfigUpdater::processResult(const FetchResult &Got) {
  if (!Got.Content) {
    std::scoped_lock Lock(Mutex);
    return onFetchFailed(State, Tuning, Got.What, now());
  }
  if (Got.What.ContentKind == Fetch::Kind::Chunk)
    return processChunk(Got.What, *Got.Content);
  if (Got.Content->empty()) {
    std::scoped_lock Lock(Mutex);
    if (Got.What.ContentKind == Fetch::Kind::Newest)
      return onEmptyAnswer(State, Got.What.Peer);
    return onFetchFailed(State, Tuning, Got.What, now());
  }
  processPointer(Got.What, *Got.Content);
}

// Skips the signature check if the text is that of the pointer in force, as in
// most answers, because that signature is already verified.
absl::StatusOr<RevisionPointer>
ConfigUpdater::verifyDocument(const std::string &Text) const {
  {
    std::scoped_lock Lock(Mutex);
    if (State.InForce)
      if (const auto It = DocumentsByRoot.find(State.InForce->Root);
          It != DocumentsByRoot.end() && It->second == Text)
        return *State.InForce;
  }
  return verifyPointer(Text, {Operator});
}

void ConfigUpdater::processPointer(const Fetch &What, const std::string &Text) {
  const auto Head = verifyDocument(Text);
  if (!Head.ok()) {
    recordError(std::string(Head.status().message()));
    std::scoped_lock Lock(Mutex);
    return onFetchFailed(State, Tuning, What, now());
  }
  View.withState([&](ViewState &V) {
    recordAnnouncedRevision(V, {Head->Number, Head->Root});
  });
  std::scoped_lock Lock(Mutex);
  const PointerVerdict Verdict =
      What.ContentKind == Fetch::Kind::Ancestor
          ? offerAncestor(State, Tuning, *Head, true, now())
          : offerPointer(State, Tuning, *Head, true, What.Peer, now());
  if (Verdict == PointerVerdict::Unrequested ||
      Verdict == PointerVerdict::Older ||
      !DocumentsByRoot.emplace(Head->Root, Text).second)
    return;
  DocumentOrder.push_back(Head->Root);
  if (DocumentOrder.size() > Tuning.MaxKnownRevisions) {
    DocumentsByRoot.erase(DocumentOrder.front());
    DocumentOrder.erase(DocumentOrder.begin());
  }
}

void ConfigUpdater::processChunk(const Fetch &What,
                                 const std::string &Content) {
  if (sha256(Content) != What.RequestedDigest) {
    recordError("content of a chunk does not match the requested digest; it is "
                "fetched again");
    std::scoped_lock Lock(Mutex);
    return onFetchFailed(State, Tuning, What, now());
  }
  std::scoped_lock Lock(Mutex);
  if (offerChunk(State, What.RequestedDigest) != PointerVerdict::Unrequested)
    Chunks.emplace(What.RequestedDigest, Content);
}

void ConfigUpdater::activateNewBundle() {
  const bool Confirmed = View.withState(
      [](const ViewState &V) { return V.ConfirmedAt.has_value(); });
  std::optional<RevisionPointer> Head;
  ChunkMap HeldChunks;
  {
    std::scoped_lock Lock(Mutex);
    if (Confirmed)
      onServiceConfirmed(State);
    if (!State.InForce || State.InForce == AppliedPointer)
      return;
    Head = State.InForce;
    HeldChunks = Chunks;
  }
  auto Rules = assembleValidBundle(*Head, HeldChunks);
  if (!Rules.ok()) {
    recordError(std::string(Rules.status().message()));
    std::scoped_lock Lock(Mutex);
    return revertInForce(State, AppliedPointer);
  }
  const BundlePtr New = buildActiveBundle(*std::move(Rules), *Head);
  {
    std::scoped_lock Lock(Mutex);
    // A starting node first asks several sources, so that a stale read from one
    // of them cannot put an old revision into force.
    if (!mayServe(State, Tuning, New->SourceBundle->Rules.Witnesses, now())) {
      Sources.Witnesses = New->SourceBundle->Rules.Witnesses;
      return;
    }
    AppliedPointer = Head;
    for (const Digest &ChunkDigest : dropUnusedChunks(State))
      Chunks.erase(ChunkDigest);
    LastError.clear();
  }
  Bundles.replace(New);
  NodeCounters.add(Counter::BundlesAccepted);
  logState("config", "bundle in force",
           {{"revision", std::to_string(Head->Number.Value)}});
}

void ConfigUpdater::recordError(const std::string &ErrorText) {
  NodeCounters.add(Counter::BundlesRejected);
  std::scoped_lock Lock(Mutex);
  LastError = ErrorText;
}

std::string
ConfigUpdater::pointerDocument(const std::optional<Digest> &Root) const {
  std::scoped_lock Lock(Mutex);
  if (!Root && !State.InForce)
    return "";
  const auto It = DocumentsByRoot.find(
      Root.value_or(State.InForce ? State.InForce->Root : Digest{}));
  return It == DocumentsByRoot.end() ? "" : It->second;
}

std::optional<std::string>
ConfigUpdater::pointerIfChanged(const std::optional<Digest> &Root,
                                const std::optional<Digest> &HeldRoot) const {
  if (!Root && HeldRoot) {
    std::scoped_lock Lock(Mutex);
    if (State.InForce && State.InForce->Root == *HeldRoot)
      return std::nullopt;
  }
  return pointerDocument(Root);
}

std::optional<std::string>
ConfigUpdater::chunk(const Digest &ChunkDigest) const {
  std::scoped_lock Lock(Mutex);
  const auto It = Chunks.find(ChunkDigest);
  if (It == Chunks.end())
    return std::nullopt;
  return It->second;
}

void ConfigUpdater::dump(Poco::JSON::Object &Out) const {
  const BundlePtr Active = Bundles.current();
  Out.set("revision", Active ? Active->ActiveRevision.Number.Value : 0);
  Out.set("root", Active ? digestToHex(Active->ActiveRevision.Root) : "");
  std::scoped_lock Lock(Mutex);
  Out.set("newest_known_revision", newestAcceptedVersion(State).Number.Value);
  Out.set("watcher", Sources.IsWatcher);
  Out.set("chunks", Chunks.size());
  Out.set("forks_seen", State.ForkCount);
  Out.set("unusable_revisions", State.UnusableRevisions);
  Out.set("last_error", LastError);
}

} // namespace pollenwick
