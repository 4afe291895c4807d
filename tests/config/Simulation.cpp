#include "Simulation.h"
#include "core/membership/PullTree.h"

#include <algorithm>

namespace pollenwick::simulation {
namespace {

constexpr std::size_t ChunkCount = 12;
constexpr milliseconds TickInterval{50};
constexpr milliseconds HeartbeatInterval{1000};
constexpr std::size_t HeartbeatTargets = 4;
constexpr milliseconds FlapPeriod{300};

Digest digestOf(std::uint64_t A, std::uint64_t B) {
  Digest Result{};
  std::mt19937_64 Mixer(A * 1'000'003 + B);
  for (std::uint8_t &Byte : Result)
    Byte = static_cast<std::uint8_t>(Mixer());
  return Result;
}

} // namespace

Fleet::Fleet(const FleetOptions &Wanted)
    : Options(Wanted), Random(Wanted.Seed) {
  std::vector<HostAndZone> Hosts;
  for (std::size_t I = 0; I < Options.Nodes; ++I)
    Hosts.push_back({HostId("h" + std::to_string(I)),
                     ZoneId("z" + std::to_string(I % Options.Zones))});
  Members = beginMembership(Hosts[0], StartId(1), 1, Options.Seed, Now);
  setHosts(Members, Hosts, Now);
  for (std::size_t I = 0; I < 5; ++I)
    Witnesses.push_back(Hosts[I * 2].Host);
  CutUntil.resize(Options.Zones);
  CutOutUntil.resize(Options.Zones);
  Nodes.resize(Options.Nodes);
  for (std::size_t I = 0; I < Options.Nodes; ++I) {
    Nodes[I].Host = Hosts[I].Host;
    Nodes[I].Zone = I % Options.Zones;
    restart(I);
    schedule(Duration(Random() % 50'000), [this, I] { tick(I); });
  }
}

void Fleet::schedule(Duration Delay, std::function<void()> Run) {
  Events.push({Now + Delay, Order++, std::move(Run)});
}

void Fleet::run(milliseconds Length) {
  const Instant End = Now + Length;
  while (!Events.empty() && Events.top().At <= End) {
    const Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Run();
  }
  Now = End;
}

RevisionPointer Fleet::publish(const RevisionPointer *Parent) {
  RevisionPointer Head;
  Head.Number = Revision(Parent ? Parent->Number.Value + 1 : 1);
  Head.Parent = Parent ? Parent->Root : Digest{};
  Head.Root = digestOf(Head.Number.Value, Random());
  // Each revision changes one chunk.
  for (std::size_t I = 0; I < ChunkCount; ++I)
    Head.Chunks.push_back(
        Parent ? Parent->Chunks[I]
               : ChunkRef{"c" + std::to_string(I), digestOf(I, 7), 1});
  Head.Chunks[Head.Number.Value % ChunkCount].ContentDigest = Head.Root;
  History.push_back(Head);
  PointersByRoot.emplace(Head.Root, Head);
  return Head;
}

const RevisionPointer *Fleet::published() const {
  return History.empty() ? nullptr : &History.back();
}

void Fleet::restart(std::size_t At) {
  Node &Item = Nodes[At];
  Item.Previous = inForce(Item);
  const auto Holders =
      std::count_if(Nodes.begin(), Nodes.end(), [&](const Node &Other) {
        return std::find(Witnesses.begin(), Witnesses.end(), Other.Host) !=
                   Witnesses.end() &&
               &Other != &Item && inForce(Other) >= Item.Previous;
      });
  Item.PreviousIsSafe = Holders >= 3;
  ++Item.Incarnation;
  Item.State =
      beginConfig(Settings, (std::uint64_t{Random()} << 32U) | Random(), Now);
  Item.LastReadVersion = Item.Highest = Item.HighestHeard = {};
  Item.WitnessesHeard.clear();
  Item.ConfirmedAt = Instant(milliseconds(-1'000'000));
  // A node without a bundle knows only some hosts of the platform's host list.
  Item.Sources = {};
  while (Item.Sources.Parents.size() < 3) {
    const HostId &Seed = Nodes[Random() % Nodes.size()].Host;
    if (Seed != Item.Host)
      Item.Sources.Parents.push_back(
          Seed.empty() ? HostId("h" + std::to_string(Random() % Options.Nodes))
                       : Seed);
  }
}

ConfigVersion Fleet::inForce(const Node &Item) const {
  return Options.LastReadWins ? Item.LastReadVersion
                              : versionInForce(Item.State);
}

Duration Fleet::latency() {
  const Duration Base(200 + Random() % 800);
  return Now < DisorderUntil ? Base + milliseconds(Random() % 2000) : Base;
}

bool Fleet::blocked(std::size_t From, std::optional<std::size_t> To) const {
  if (To && *To == From)
    return false;
  return Now < CutUntil[From] || Now < CutOutUntil[From] ||
         (To && Now < CutUntil[*To]);
}

bool Fleet::serviceDown() const {
  const bool Flapped =
      Now < FlapUntil && (Now.time_since_epoch() / FlapPeriod) % 2 == 0;
  return Now < DownUntil || Flapped;
}

void Fleet::tick(std::size_t At) {
  Node &Item = Nodes[At];
  schedule(TickInterval, [this, At] { tick(At); });
  if (Now < Item.PausedUntil)
    return;
  if (Item.State.InForce && Item.Sources.Witnesses.empty()) {
    // The node has a bundle and can compute its place in the pull tree.
    Members.SelfIndex = Members.IndexByHost.at(Item.Host);
    Item.Sources = {isWatcher(Members), pullParents(Members, MemberSettings),
                    Witnesses};
  }
  const bool WasServing = Item.State.Serving;
  if (mayServe(Item.State, Settings, Witnesses, Now) && !WasServing) {
    const ConfigVersion Own = inForce(Item);
    if (Own < Item.HighestHeard)
      Violations.push_back(Item.Host.Text +
                           " serves an older version than it received");
    if (Item.WitnessesHeard.size() >= 3 && Item.PreviousIsSafe &&
        Own < Item.Previous)
      Violations.push_back(Item.Host.Text +
                           " serves an older version after its restart");
  }
  for (const Fetch &Wanted :
       dueFetches(Item.State, Settings, Item.Sources, Now))
    Wanted.Peer ? send(At, Wanted) : sendToService(At, Wanted);
  dropUnusedChunks(Item.State);
  if (Now >= Item.NextHeartbeatAt) {
    Item.NextHeartbeatAt = Now + HeartbeatInterval;
    for (std::size_t I = 0; I < HeartbeatTargets; ++I) {
      const std::size_t To = Random() % Nodes.size();
      if (To != At && !blocked(Item.Zone, Nodes[To].Zone))
        schedule(latency(), [this, To,
                             AnnouncedVersion = versionInForce(Item.State),
                             From = Item.Host] {
          if (Now >= Nodes[To].PausedUntil)
            onVersionAnnounced(Nodes[To].State, AnnouncedVersion, From);
        });
    }
  }
  checkNoReversion(At);
}

void Fleet::send(std::size_t From, const Fetch &Wanted) {
  const std::size_t To = std::stoul(Wanted.Peer->Text.substr(1));
  const std::uint32_t Incarnation = Nodes[From].Incarnation;
  const auto Ask = [this, From, To, Wanted, Incarnation] {
    const Node &Peer = Nodes[To];
    if (Now < Peer.PausedUntil || blocked(Peer.Zone, Nodes[From].Zone))
      return; // The message is lost; the fetch times out.
    std::optional<RevisionPointer> Found;
    if (Wanted.ContentKind == Fetch::Kind::Newest) {
      Found = Peer.State.InForce;
      if (Options.LastReadWins && Peer.LastReadVersion.Number.Value > 0)
        Found = PointersByRoot.at(Peer.LastReadVersion.Root);
    } else if (Wanted.ContentKind == Fetch::Kind::Ancestor) {
      if (Peer.State.KnownRevisions.contains(Wanted.RequestedDigest))
        Found = PointersByRoot.at(Wanted.RequestedDigest);
    } else if (Peer.State.HeldChunks.contains(Wanted.RequestedDigest)) {
      Found.emplace();
    }
    schedule(latency(), [this, From, Incarnation, Wanted, Found,
                         Confirmed = Peer.ConfirmedAt] {
      deliver(From, Incarnation, Wanted, Found, Confirmed);
    });
  };
  if (blocked(Nodes[From].Zone, Nodes[To].Zone))
    return;
  schedule(latency(), Ask);
  if (Now < DisorderUntil && Random() % 4 == 0)
    schedule(latency(), Ask);
}

void Fleet::sendToService(std::size_t From, const Fetch &Wanted) {
  const std::uint32_t Incarnation = Nodes[From].Incarnation;
  if (blocked(Nodes[From].Zone, std::nullopt))
    return;
  ++ReadsBySecond[Now.time_since_epoch() / std::chrono::seconds(1)];
  schedule(latency(), [this, From, Wanted, Incarnation, Sent = Now] {
    if (serviceDown()) {
      onFetchFailed(Nodes[From].State, Settings, Wanted, Now);
      return;
    }
    const std::size_t Size =
        Now < StaleUntil ? std::min(StaleSize, History.size()) : History.size();
    std::optional<RevisionPointer> Found;
    if (Wanted.ContentKind == Fetch::Kind::Newest) {
      if (Size > 0)
        Found = History[Size - 1];
    } else if (Wanted.ContentKind == Fetch::Kind::Ancestor) {
      for (std::size_t I = 0; I < Size; ++I)
        if (History[I].Root == Wanted.RequestedDigest)
          Found = History[I];
    } else {
      Found.emplace();
    }
    schedule(latency(), [this, From, Incarnation, Wanted, Found, Sent] {
      deliver(From, Incarnation, Wanted, Found, Sent);
    });
  });
}

void Fleet::deliver(std::size_t To, std::uint32_t Incarnation,
                    const Fetch &Wanted,
                    const std::optional<RevisionPointer> &Head,
                    Instant Confirmed) {
  Node &Item = Nodes[To];
  if (Item.Incarnation != Incarnation || Now < Item.PausedUntil)
    return;
  if (Wanted.Peer && !Item.State.Serving &&
      std::find(Witnesses.begin(), Witnesses.end(), *Wanted.Peer) !=
          Witnesses.end())
    Item.WitnessesHeard.insert(*Wanted.Peer);
  Item.ConfirmedAt = std::max(Item.ConfirmedAt, Confirmed);
  if (Now - Item.ConfirmedAt < std::chrono::seconds(5))
    onServiceConfirmed(Item.State);
  if (Wanted.ContentKind == Fetch::Kind::Newest && Head) {
    const ConfigVersion AnnouncedVersion{Head->Number, Head->Root};
    if (!Item.State.Serving)
      Item.HighestHeard = std::max(Item.HighestHeard, AnnouncedVersion);
    offerPointer(Item.State, Settings, *Head, true, Wanted.Peer, Now);
    if (Options.LastReadWins)
      Item.LastReadVersion = AnnouncedVersion;
  } else if (Wanted.ContentKind == Fetch::Kind::Newest) {
    onEmptyAnswer(Item.State, Wanted.Peer);
  } else if (!Head) {
    onFetchFailed(Item.State, Settings, Wanted, Now);
  } else if (Wanted.ContentKind == Fetch::Kind::Ancestor) {
    offerAncestor(Item.State, Settings, *Head, true, Now);
  } else {
    offerChunk(Item.State, Wanted.RequestedDigest);
  }
  checkNoReversion(To);
}

void Fleet::checkNoReversion(std::size_t At) {
  Node &Item = Nodes[At];
  const ConfigVersion Own = inForce(Item);
  if (Own < Item.Highest)
    Violations.push_back(Item.Host.Text + " went back to revision " +
                         std::to_string(Own.Number.Value));
  Item.Highest = std::max(Item.Highest, Own);
}

void Fleet::apply(const std::vector<Fault> &Faults) {
  for (const Fault &Item : Faults)
    schedule(Item.At, [this, Item] { startFault(Item); });
}

void Fleet::startFault(const Fault &Item) {
  const std::size_t At = Item.TargetDraw % Nodes.size();
  const std::size_t Zone = Item.TargetDraw % Options.Zones;
  const Instant Until = Now + Item.Length;
  switch (Item.Kind) {
  case FaultKind::Publish:
    publish(published());
    break;
  case FaultKind::Race: {
    const RevisionPointer Parent =
        History.empty() ? publish(nullptr) : History.back();
    publish(&Parent);
    schedule(Item.Length, [this, Parent] {
      if (published()->Root == Parent.Root ||
          published()->Parent == Parent.Root)
        publish(&Parent);
    });
    break;
  }
  case FaultKind::ServiceDown:
    DownUntil = Until;
    break;
  case FaultKind::ServiceFlaps:
    FlapUntil = Until;
    break;
  case FaultKind::ServiceStale:
    StaleUntil = Until;
    StaleSize = History.size() -
                std::min<std::size_t>(History.size(), Item.TargetDraw % 4);
    break;
  case FaultKind::Restart:
    restart(At);
    break;
  case FaultKind::RestartMany:
    for (std::size_t I = Item.TargetDraw % 3; I < Nodes.size(); I += 3)
      restart(I);
    break;
  case FaultKind::Pause:
    Nodes[At].PausedUntil = Until;
    break;
  case FaultKind::Cut:
    CutUntil[Zone] = Until;
    break;
  case FaultKind::CutOneWay:
    CutOutUntil[Zone] = Until;
    break;
  case FaultKind::Disorder:
    DisorderUntil = Until;
    break;
  }
}

bool Fleet::allAgree() const {
  return std::all_of(Nodes.begin(), Nodes.end(), [&](const Node &Item) {
    return inForce(Item) == inForce(Nodes[0]);
  });
}

bool Fleet::allHave(const ConfigVersion &Wanted) const {
  return std::all_of(Nodes.begin(), Nodes.end(),
                     [&](const Node &Item) { return inForce(Item) >= Wanted; });
}

std::size_t Fleet::maxReadsPerSecond(Instant From) const {
  std::size_t Most = 0;
  for (const auto &[Second, Count] : ReadsBySecond)
    if (Instant(std::chrono::seconds(Second)) >= From)
      Most = std::max(Most, Count);
  return Most;
}

} // namespace pollenwick::simulation
