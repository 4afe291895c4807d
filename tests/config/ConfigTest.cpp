#include <catch2/catch.hpp>

#include <algorithm>

#include "core/config/Config.h"

using namespace pollenwick;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Digest digestOf(std::uint8_t Value) {
  Digest Result{};
  Result[0] = Value;
  return Result;
}

RevisionPointer pointerOf(std::uint64_t Number, std::uint8_t Root,
                          std::uint8_t Parent,
                          const std::vector<std::uint8_t> &Chunks = {}) {
  RevisionPointer Head;
  Head.Number = Revision(Number);
  Head.Root = digestOf(Root);
  Head.Parent = digestOf(Parent);
  for (const std::uint8_t Chunk : Chunks)
    Head.Chunks.push_back({"chunk", digestOf(Chunk), 1});
  return Head;
}

bool hasFetch(const std::vector<Fetch> &Due, Fetch::Kind What,
              const std::optional<HostId> &Peer) {
  return std::any_of(Due.begin(), Due.end(), [&](const Fetch &Item) {
    return Item.ContentKind == What && Item.Peer == Peer;
  });
}

} // namespace

TEST_CASE("A pointer is accepted if its ancestors connect to known revisions",
          "[config]") {
  const ConfigSettings Settings;
  Instant Now;
  ConfigState State = beginConfig(Settings, 0, Now);
  const HostId Peer("peer");
  const PullSources Sources{false, {Peer, HostId("other")}, {}};
  const auto Offer = [&](const RevisionPointer &Head) {
    return offerPointer(State, Settings, Head, true, Peer, Now);
  };
  REQUIRE(Offer(pointerOf(5, 5, 4)) == PointerVerdict::InForce);

  SECTION("an invalid signature changes nothing") {
    CHECK(offerPointer(State, Settings, pointerOf(6, 6, 5), false, Peer, Now) ==
          PointerVerdict::SignatureInvalid);
    CHECK(newestAcceptedVersion(State).Number == Revision(5));
  }

  SECTION("a child of a known revision is accepted, an older revision is not") {
    CHECK(Offer(pointerOf(6, 6, 5)) == PointerVerdict::InForce);
    CHECK(Offer(pointerOf(5, 5, 4)) == PointerVerdict::AlreadyKnown);
    CHECK(Offer(pointerOf(4, 4, 3)) == PointerVerdict::Older);
    CHECK(Offer(pointerOf(6, 7, 6)) == PointerVerdict::Inconsistent);
    CHECK(versionInForce(State).Number == Revision(6));
  }

  SECTION("missing ancestors are fetched from peers one after another") {
    // Guards against a node that never catches up after it missed revisions.
    CHECK(Offer(pointerOf(8, 8, 7)) == PointerVerdict::WaitingForAncestors);
    CHECK(hasFetch(dueFetches(State, Settings, Sources, Now),
                   Fetch::Kind::Ancestor, Peer));
    CHECK(offerAncestor(State, Settings, pointerOf(7, 7, 6), true, Now) ==
          PointerVerdict::WaitingForAncestors);
    CHECK(versionInForce(State).Number == Revision(5));
    CHECK(offerAncestor(State, Settings, pointerOf(9, 9, 6), true, Now) ==
          PointerVerdict::Unrequested);
    CHECK(offerAncestor(State, Settings, pointerOf(6, 6, 5), true, Now) ==
          PointerVerdict::InForce);
    CHECK(versionInForce(State).Number == Revision(8));
    CHECK(State.ForkCount == 0);
    CHECK(State.AbandonedChains == 0);
  }

  SECTION("a parent must have a lower number than its child") {
    // Guards against a cyclic chain of ancestors.
    Offer(pointerOf(8, 8, 7));
    CHECK(offerAncestor(State, Settings, pointerOf(8, 7, 6), true, Now) ==
          PointerVerdict::Inconsistent);
    CHECK(versionInForce(State).Number == Revision(5));
  }

  SECTION("a fork older than the history is resolved by the highest version") {
    // Guards against two groups of nodes that disagree because one started
    // later and remembers fewer revisions.
    Offer(pointerOf(6, 8, 7));
    CHECK(offerAncestor(State, Settings, pointerOf(5, 7, 4), true, Now) ==
          PointerVerdict::InForce);
    CHECK(versionInForce(State).Number == Revision(6));
    CHECK(State.ForkCount > 0);
    CHECK(State.AbandonedChains == 0);
  }

  SECTION(
      "a pointer whose ancestors cannot be fetched is accepted and counted") {
    // Guards against a node that stays on an old revision forever.
    Offer(pointerOf(8, 8, 7));
    Now += Settings.ChainTimeout - milliseconds(1);
    dueFetches(State, Settings, Sources, Now);
    CHECK(versionInForce(State).Number == Revision(5));
    Now += milliseconds(1);
    dueFetches(State, Settings, Sources, Now);
    CHECK(versionInForce(State).Number == Revision(8));
    CHECK(State.AbandonedChains == 1);
  }

  SECTION("the numbers of known revisions and recorded forks are bounded") {
    for (std::uint64_t I = 6; I < 2'000; ++I) {
      RevisionPointer Head = pointerOf(I, 0, 0);
      Head.Root[1] = static_cast<std::uint8_t>(I);
      Head.Root[2] = static_cast<std::uint8_t>(I >> 8U);
      Head.Parent = newestAcceptedVersion(State).Root;
      Offer(Head);
      Head.Root[3] = 1; // A sibling with the same number.
      Offer(Head);
    }
    CHECK(State.KnownRevisions.size() <= Settings.MaxKnownRevisions);
    CHECK(State.Forks.size() == Settings.MaxForks);
    CHECK(State.ForkCount >= 1'994);
  }

  SECTION("a revision that cannot be assembled leaves the previous in force") {
    const std::optional<RevisionPointer> Before = State.InForce;
    Offer(pointerOf(6, 6, 5));
    revertInForce(State, Before);
    CHECK(versionInForce(State).Number == Revision(5));
    CHECK(Offer(pointerOf(6, 6, 5)) == PointerVerdict::AlreadyKnown);
    CHECK(Offer(pointerOf(7, 7, 6)) == PointerVerdict::InForce);
  }
}

TEST_CASE("Watchers fetch from the service and other nodes fetch from peers",
          "[config]") {
  const ConfigSettings Settings;
  Instant Now;
  ConfigState State = beginConfig(Settings, 0, Now);
  const HostId Peer("peer");
  const HostId Parent("parent");
  PullSources Sources{false, {Parent}, {}};
  offerPointer(State, Settings, pointerOf(1, 1, 0), true, Peer, Now);
  REQUIRE(versionInForce(State).Number == Revision(1));
  offerPointer(State, Settings, pointerOf(2, 2, 1, {10, 11}), true, Peer, Now);

  SECTION("a new revision is in force once all its chunks are held") {
    // Guards against a bundle that is used while chunks are missing.
    CHECK(newestAcceptedVersion(State).Number == Revision(2));
    CHECK(offerChunk(State, digestOf(10)) == PointerVerdict::WaitingForChunks);
    CHECK(offerChunk(State, digestOf(12)) == PointerVerdict::Unrequested);
    CHECK(versionInForce(State).Number == Revision(1));
    CHECK(offerChunk(State, digestOf(11)) == PointerVerdict::InForce);
    CHECK(versionInForce(State).Number == Revision(2));
  }

  SECTION("chunks that no revision needs are dropped") {
    offerChunk(State, digestOf(10));
    offerChunk(State, digestOf(11));
    offerPointer(State, Settings, pointerOf(3, 3, 2, {11}), true, Peer, Now);
    CHECK(dropUnusedChunks(State) == std::vector<Digest>{digestOf(10)});
  }

  SECTION("only a watcher fetches from the configuration service") {
    // Guards against reads of the service that grow with the number of nodes.
    for (int Round = 0; Round < 50; ++Round) {
      Now += Settings.FetchTimeout;
      CHECK_FALSE(hasFetch(dueFetches(State, Settings, Sources, Now),
                           Fetch::Kind::Chunk, std::nullopt));
    }
    Sources.IsWatcher = true;
    bool Asked = false;
    for (int Round = 0; Round < 3; ++Round) {
      Now += Settings.FetchTimeout;
      Asked |= hasFetch(dueFetches(State, Settings, Sources, Now),
                        Fetch::Kind::Chunk, std::nullopt);
    }
    CHECK(Asked);
  }

  SECTION("a failed fetch is retried at the next source after a short delay") {
    const std::vector<Fetch> Due = dueFetches(State, Settings, Sources, Now);
    REQUIRE(hasFetch(Due, Fetch::Kind::Chunk, Peer));
    CHECK_FALSE(hasFetch(dueFetches(State, Settings, Sources, Now),
                         Fetch::Kind::Chunk, Parent));
    for (const Fetch &Item : Due)
      onFetchFailed(State, Settings, Item, Now);
    Now += Settings.FetchRetryDelay;
    CHECK(hasFetch(dueFetches(State, Settings, Sources, Now),
                   Fetch::Kind::Chunk, Parent));
  }

  SECTION("a newer version in a heartbeat is pulled from its sender") {
    const HostId Leaf("leaf");
    onVersionAnnounced(State, {Revision(1), digestOf(1)}, Leaf);
    CHECK_FALSE(hasFetch(dueFetches(State, Settings, Sources, Now),
                         Fetch::Kind::Newest, Leaf));
    onVersionAnnounced(State, {Revision(9), digestOf(9)}, Leaf);
    CHECK(hasFetch(dueFetches(State, Settings, Sources, Now),
                   Fetch::Kind::Newest, Leaf));
    // A host that announces a version it does not have is not asked forever.
    onFetchFailed(State, Settings, {Fetch::Kind::Newest, {}, Leaf}, Now);
    Now += seconds(2);
    CHECK_FALSE(hasFetch(dueFetches(State, Settings, Sources, Now),
                         Fetch::Kind::Newest, Leaf));
  }
}

TEST_CASE("A starting node serves once enough sources have answered",
          "[config]") {
  // Guards against a restarted node that serves an old revision.
  const ConfigSettings Settings;
  Instant Now;
  ConfigState State = beginConfig(Settings, 0, Now);
  const std::vector<HostId> Witnesses{HostId("a"), HostId("b"), HostId("c"),
                                      HostId("d"), HostId("e")};
  CHECK_FALSE(mayServe(State, Settings, Witnesses, Now + seconds(60)));
  offerPointer(State, Settings, pointerOf(5, 5, 4), true, std::nullopt, Now);

  SECTION("it asks the witnesses in addition to its parents") {
    const PullSources Sources{false, {HostId("p")}, Witnesses};
    const std::vector<Fetch> Due =
        dueFetches(State, Settings, Sources, Now + seconds(1));
    for (const HostId &Witness : Witnesses)
      CHECK(hasFetch(Due, Fetch::Kind::Newest, Witness));
  }

  SECTION("three of five witnesses are a majority") {
    for (const char *Name : {"a", "b"})
      onEmptyAnswer(State, HostId(Name));
    CHECK_FALSE(mayServe(State, Settings, Witnesses, Now + seconds(1)));
    onEmptyAnswer(State, HostId("c"));
    CHECK(mayServe(State, Settings, Witnesses, Now + seconds(1)));
  }

  SECTION("it does not serve while it knows a newer revision than its own") {
    for (const char *Name : {"a", "b", "c"})
      onEmptyAnswer(State, HostId(Name));
    offerPointer(State, Settings, pointerOf(7, 7, 6), true, HostId("d"), Now);
    CHECK_FALSE(mayServe(State, Settings, Witnesses, Now + seconds(60)));
  }

  SECTION("it serves after the maximum wait and does not stop again") {
    CHECK_FALSE(mayServe(State, Settings, Witnesses,
                         Now + Settings.MaxStartWait - milliseconds(1)));
    CHECK(mayServe(State, Settings, Witnesses, Now + Settings.MaxStartWait));
    offerPointer(State, Settings, pointerOf(7, 7, 6), true, HostId("d"), Now);
    CHECK(mayServe(State, Settings, Witnesses, Now));
  }
}
