#include "core/membership/Membership.h"

#include <algorithm>
#include <bit>

namespace pollenwick {
namespace {

constexpr std::size_t MaxReplies = 2;

std::uint64_t mixBits(std::uint64_t Value) {
  // Finalizer of splitmix64.
  Value ^= Value >> 30U;
  Value *= 0xbf58476d1ce4e5b9U;
  Value ^= Value >> 27U;
  Value *= 0x94d049bb133111ebU;
  return Value ^ (Value >> 31U);
}

std::uint64_t drawRandom(MembershipState &State) {
  State.RandomState += 0x9e3779b97f4a7c15U;
  return mixBits(State.RandomState);
}

// Returns the number of heartbeats that carry an update. Gossip reaches n hosts
// in about log2(n) rounds; three times as many make it unlikely that a host
// misses the update.
std::uint32_t gossipRounds(const MembershipState &State) {
  return 3 * static_cast<std::uint32_t>(std::bit_width(State.Members.size()));
}

void queueUpdate(MembershipState &State, std::size_t Index) {
  if (State.Members[Index].AnnouncementsLeft == 0)
    State.MembersToAnnounce.push_back(Index);
  State.Members[Index].AnnouncementsLeft = gossipRounds(State);
}

void setStatus(MembershipState &State, std::size_t Index, Liveness Status,
               Instant Now) {
  Member &Item = State.Members[Index];
  if (Item.LatestUpdate.Status == Status)
    return;
  Item.LatestUpdate.Status = Status;
  Item.StatusSince = Now;
  queueUpdate(State, Index);
}

// Refutes an update about the own host that suspects it or that comes from an
// earlier incarnation with a higher sequence: raises the own sequence above the
// update's and spreads it.
void refute(MembershipState &State, const HostUpdate &Update) {
  HostUpdate &Own = State.Members[State.SelfIndex].LatestUpdate;
  const bool Overtaken =
      Update.Sequence > Own.Sequence ||
      (Update.Sequence == Own.Sequence && Update.Start != Own.Start);
  if (!Overtaken && Update.Status <= Liveness::Alive)
    return;
  Own.Sequence = std::max(Own.Sequence, Update.Sequence + 1);
  queueUpdate(State, State.SelfIndex);
}

/// Merges an update. Returns true if the sender should be corrected because it
/// suspects the own host or a host that is known to have been alive later.
bool mergeUpdate(MembershipState &State, const HostUpdate &Update, bool Direct,
                 Instant Now) {
  const auto Found = State.IndexByHost.find(Update.Host);
  if (Found == State.IndexByHost.end())
    return false;
  if (Found->second == State.SelfIndex) {
    refute(State, Update);
    return Update.Status >= Liveness::Suspected;
  }
  Member &Item = State.Members[Found->second];
  // A higher sequence alone is not spread; only a change of state is.
  const bool Newer = Update.Sequence > Item.LatestUpdate.Sequence ||
                     (Update.Sequence == Item.LatestUpdate.Sequence &&
                      Update.Status > Item.LatestUpdate.Status);
  // A new process whose clock was set back has lower sequences and would be
  // ignored forever. A heartbeat from a host that counts as dead, with another
  // start id, therefore counts as a new process.
  const bool Returned = Direct && Item.LatestUpdate.Status == Liveness::Dead &&
                        Update.Start != Item.LatestUpdate.Start;
  if (!Newer && !Returned) {
    // Without a correction, one host could keep an outdated suspicion until the
    // suspected host happens to contact it.
    const bool Outdated = Update.Status >= Liveness::Suspected &&
                          Item.LatestUpdate.Status < Liveness::Suspected &&
                          Update.Sequence < Item.LatestUpdate.Sequence;
    if (Outdated)
      queueUpdate(State, Found->second);
    return Outdated;
  }
  const bool SameStart = Update.Start == Item.LatestUpdate.Start;
  const bool Leaving =
      Update.Leaving || (SameStart && Item.LatestUpdate.Leaving);
  const bool Changed = Leaving != Item.LatestUpdate.Leaving || !SameStart ||
                       Update.Status != Item.LatestUpdate.Status;
  const bool First = Item.LatestUpdate.Status == Liveness::Unknown &&
                     Update.Status == Liveness::Alive && !Leaving;
  if (Update.Status != Item.LatestUpdate.Status)
    Item.StatusSince = Now;
  // A refuted suspicion restarts the host's heartbeat timeout.
  if (Item.LatestUpdate.Status >= Liveness::Suspected &&
      Update.Status == Liveness::Alive)
    Item.HeardAt = Now;
  Item.LatestUpdate = Update;
  Item.LatestUpdate.Leaving = Leaving;
  // The first update about a host is not spread, because unknown hosts count as
  // alive. At the start of a fleet such updates would crowd out all others.
  if (Changed && !First)
    queueUpdate(State, Found->second);
  return false;
}

// Returns up to `MaxCount` usable hosts that follow (`Forward`) or precede the
// own host in the monitor ring.
std::vector<std::size_t> ringNeighbours(const MembershipState &State,
                                        bool Forward, std::size_t MaxCount) {
  const std::size_t Size = State.MonitorRing.size();
  const auto Own = static_cast<std::size_t>(std::find(State.MonitorRing.begin(),
                                                      State.MonitorRing.end(),
                                                      State.SelfIndex) -
                                            State.MonitorRing.begin());
  std::vector<std::size_t> Found;
  for (std::size_t Step = 1; Step < Size && Found.size() < MaxCount; ++Step) {
    const std::size_t Index =
        State.MonitorRing[(Own + (Forward ? Step : Size - Step)) % Size];
    if (State.Members[Index].LatestUpdate.Status != Liveness::Dead)
      Found.push_back(Index);
  }
  return Found;
}

// Suspects a monitored host whose heartbeats have stopped. The own host
// monitors its two predecessors in the ring, which send it their heartbeats.
void checkMonitored(MembershipState &State, const MembershipSettings &Settings,
                    Instant Now) {
  const std::vector<std::size_t> Wanted =
      ringNeighbours(State, false, State.Monitored.size());
  std::array<std::optional<std::size_t>, 2> Next;
  std::array<Instant, 2> Since{Now, Now};
  for (std::size_t I = 0; I < Wanted.size(); ++I) {
    Next[I] = Wanted[I];
    for (std::size_t Old = 0; Old < State.Monitored.size(); ++Old)
      if (State.Monitored[Old] == Wanted[I])
        Since[I] = State.MonitoredSince[Old];
  }
  State.Monitored = Next;
  State.MonitoredSince = Since;
  for (std::size_t I = 0; I < Wanted.size(); ++I) {
    const Member &Item = State.Members[Wanted[I]];
    if (Item.LatestUpdate.Status != Liveness::Suspected &&
        Now - std::max(Item.HeardAt, Since[I]) >= Settings.SuspectAfter)
      setStatus(State, Wanted[I], Liveness::Suspected, Now);
  }
}

void expireSuspicions(MembershipState &State,
                      const MembershipSettings &Settings, Instant Now) {
  for (std::size_t I = 0; I < State.Members.size(); ++I)
    if (State.Members[I].LatestUpdate.Status == Liveness::Suspected &&
        Now - State.Members[I].StatusSince >= Settings.DeadAfter)
      setStatus(State, I, Liveness::Dead, Now);
}

// Returns the updates for the next heartbeat, those sent least often first.
std::vector<HostUpdate> takeUpdates(MembershipState &State,
                                    std::size_t MaxCount) {
  std::stable_sort(State.MembersToAnnounce.begin(),
                   State.MembersToAnnounce.end(),
                   [&](std::size_t A, std::size_t B) {
                     return State.Members[A].AnnouncementsLeft >
                            State.Members[B].AnnouncementsLeft;
                   });
  std::vector<HostUpdate> Taken;
  for (const std::size_t Index : State.MembersToAnnounce) {
    if (Taken.size() >= MaxCount)
      break;
    Taken.push_back(State.Members[Index].LatestUpdate);
    --State.Members[Index].AnnouncementsLeft;
  }
  std::erase_if(State.MembersToAnnounce, [&](std::size_t Index) {
    return State.Members[Index].AnnouncementsLeft == 0;
  });
  return Taken;
}

void rankMembers(MembershipState &State) {
  State.MonitorRing.clear();
  State.ZoneRanks.clear();
  for (std::size_t I = 0; I < State.Members.size(); ++I) {
    State.MonitorRing.push_back(I);
    State.ZoneRanks[State.Members[I].Zone].push_back(I);
  }
  const auto SortBy = [&](std::vector<std::size_t> &List,
                          std::string_view Purpose) {
    std::sort(List.begin(), List.end(), [&](std::size_t A, std::size_t B) {
      const HostId &First = State.Members[A].LatestUpdate.Host;
      const HostId &Second = State.Members[B].LatestUpdate.Host;
      return std::pair(rendezvousWeight(Purpose, Second), Second) <
             std::pair(rendezvousWeight(Purpose, First), First);
    });
  };
  SortBy(State.MonitorRing, "ring");
  for (auto &[Zone, List] : State.ZoneRanks)
    SortBy(List, Zone.Text);
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view Purpose, const HostId &Host) {
  // FNV-1a is used because std::hash may differ between builds.
  std::uint64_t Hash = 0xcbf29ce484222325U;
  const auto Add = [&](std::string_view Text) {
    for (const char C : Text)
      Hash = (Hash ^ static_cast<unsigned char>(C)) * 0x100000001b3U;
    Hash = (Hash ^ 0xffU) * 0x100000001b3U;
  };
  Add(Purpose);
  Add(Host.Text);
  return mixBits(Hash);
}

MembershipState beginMembership(const HostAndZone &Self, StartId Start,
                                std::uint64_t FirstSequence, std::uint64_t Seed,
                                Instant Now) {
  MembershipState State;
  Member Own;
  Own.LatestUpdate = {Self.Host, Start, FirstSequence, Liveness::Alive, false};
  Own.Zone = Self.Zone;
  Own.StatusSince = Own.HeardAt = Now;
  State.Members.push_back(Own);
  State.IndexByHost.emplace(Self.Host, 0);
  State.RandomState = Seed;
  // Spreads the heartbeats of nodes that start together over the first second.
  State.NextHeartbeatAt =
      Now +
      Duration(static_cast<Duration::rep>(drawRandom(State) % 1'000'000U));
  rankMembers(State);
  queueUpdate(State, 0);
  return State;
}

void setHosts(MembershipState &State, const std::vector<HostAndZone> &Hosts,
              Instant Now) {
  std::vector<Member> Members{State.Members[State.SelfIndex]};
  for (const HostAndZone &Host : Hosts) {
    if (Host.Host == Members[0].LatestUpdate.Host) {
      Members[0].Zone = Host.Zone;
      continue;
    }
    if (const auto Old = State.IndexByHost.find(Host.Host);
        Old != State.IndexByHost.end()) {
      Members.push_back(State.Members[Old->second]);
      Members.back().Zone = Host.Zone;
      continue;
    }
    Member Item;
    Item.LatestUpdate = {Host.Host, {}, 0, Liveness::Unknown, false};
    Item.Zone = Host.Zone;
    Item.StatusSince = Item.HeardAt = Now;
    Members.push_back(std::move(Item));
  }
  State.Members = std::move(Members);
  State.SelfIndex = 0;
  State.IndexByHost.clear();
  State.MembersToAnnounce.clear();
  for (std::size_t I = 0; I < State.Members.size(); ++I) {
    State.IndexByHost.emplace(State.Members[I].LatestUpdate.Host, I);
    if (State.Members[I].AnnouncementsLeft > 0)
      State.MembersToAnnounce.push_back(I);
  }
  State.Monitored = {};
  State.ReplyTargets.clear();
  rankMembers(State);
}

void onHeartbeat(MembershipState &State, const MembershipSettings &,
                 const Heartbeat &Received, Instant Now) {
  bool NeedsReply = false;
  for (const HostUpdate &Update : Received.Updates)
    NeedsReply |= mergeUpdate(State, Update, false, Now);
  const auto Found = State.IndexByHost.find(Received.Sender.Host);
  if (Found == State.IndexByHost.end() || Found->second == State.SelfIndex)
    return;
  if (NeedsReply && State.ReplyTargets.size() < MaxReplies)
    State.ReplyTargets.push_back(Found->second);
  mergeUpdate(State, Received.Sender, true, Now);
  Member &Sender = State.Members[Found->second];
  // A delayed datagram is older than the known state and does not prove that
  // the host is alive now.
  if (Sender.LatestUpdate.Sequence != Received.Sender.Sequence ||
      Sender.LatestUpdate.Start != Received.Sender.Start)
    return;
  Sender.HeardAt = Now;
  Sender.RevisionNumber = Received.RevisionNumber;
  Sender.RevisionRoot = Received.RevisionRoot;
}

void onHostList(MembershipState &State, const std::vector<ListedHost> &List) {
  for (Member &Item : State.Members)
    Item.IsListed = false;
  for (const ListedHost &Entry : List) {
    const auto Found = State.IndexByHost.find(Entry.Host);
    if (Found == State.IndexByHost.end())
      continue;
    Member &Item = State.Members[Found->second];
    Item.IsListed = true;
    // The leaving mark applies to the incarnation that was known when the mark
    // was first seen, so that an old entry does not affect a new incarnation.
    if (Entry.Leaving && !Item.ListedLeaving)
      Item.ListedLeavingStart = Item.LatestUpdate.Start;
    Item.ListedLeaving = Entry.Leaving;
  }
}

std::optional<HeartbeatBatch> dueHeartbeats(MembershipState &State,
                                            const MembershipSettings &Settings,
                                            Revision Number, const Digest &Root,
                                            Instant Now) {
  if (Now < State.NextHeartbeatAt)
    return std::nullopt;
  // After a pause of this process, heartbeats are missing because they were not
  // read, not because they were not sent. Monitoring restarts, so that the
  // process does not suspect every host it monitors.
  if (Now - State.NextHeartbeatAt >= Settings.SuspectAfter)
    State.Monitored = {};
  State.NextHeartbeatAt = Now + Settings.HeartbeatInterval;
  checkMonitored(State, Settings, Now);
  expireSuspicions(State, Settings, Now);
  Member &Own = State.Members[State.SelfIndex];
  ++Own.LatestUpdate.Sequence;
  Own.HeardAt = Now;
  HeartbeatBatch Due;
  Due.Message.Sender = Own.LatestUpdate;
  Due.Message.RevisionNumber = Number;
  Due.Message.RevisionRoot = Root;
  Due.Message.Updates = takeUpdates(State, Settings.MaxUpdatesPerHeartbeat);
  std::vector<std::size_t> Targets = ringNeighbours(State, true, 2);
  // A suspected host gets the heartbeat itself and can refute the suspicion
  // directly. By gossip alone a refutation can take longer than `DeadAfter`.
  for (const std::optional<std::size_t> &Index : State.Monitored)
    if (Index &&
        State.Members[*Index].LatestUpdate.Status == Liveness::Suspected)
      Targets.push_back(*Index);
  Targets.insert(Targets.end(), State.ReplyTargets.begin(),
                 State.ReplyTargets.end());
  State.ReplyTargets.clear();
  // Random targets include dead hosts, so that the sides of a network partition
  // find each other again.
  for (std::size_t I = 0; I < Settings.RandomTargetsPerInterval; ++I)
    Targets.push_back(drawRandom(State) % State.Members.size());
  for (const std::size_t Index : Targets) {
    const HostId &Host = State.Members[Index].LatestUpdate.Host;
    if (Index != State.SelfIndex &&
        std::find(Due.Targets.begin(), Due.Targets.end(), Host) ==
            Due.Targets.end())
      Due.Targets.push_back(Host);
  }
  return Due;
}

void beginLeaving(MembershipState &State, const MembershipSettings &) {
  Member &Own = State.Members[State.SelfIndex];
  Own.LatestUpdate.Leaving = true;
  ++Own.LatestUpdate.Sequence;
  queueUpdate(State, State.SelfIndex);
}

const Member *findMember(const MembershipState &State, const HostId &Host) {
  const auto Found = State.IndexByHost.find(Host);
  return Found == State.IndexByHost.end() ? nullptr
                                          : &State.Members[Found->second];
}

bool isUsable(const Member &Item) {
  const bool LeavingByList =
      Item.ListedLeaving && Item.ListedLeavingStart == Item.LatestUpdate.Start;
  // A host without any update counts as alive while the host list contains it.
  const bool Gone =
      Item.LatestUpdate.Status == Liveness::Unknown && !Item.IsListed;
  return Item.LatestUpdate.Status != Liveness::Dead &&
         !Item.LatestUpdate.Leaving && !LeavingByList && !Gone;
}

} // namespace pollenwick
