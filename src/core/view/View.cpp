#include "core/view/View.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace pollenwick {
namespace {

/// Number of queries per lease duration to the service, a parent or a witness.
/// There are several, so that one lost reply does not end the lease.
constexpr int QueriesPerLease = 5;
/// Divisor of the lease duration that yields the time without a confirmation
/// after which the witnesses are asked too.
constexpr int WitnessQueryLeaseDivisor = 2;

bool canWitness(const ViewState &State) {
  return State.ConfirmedAt && *State.ConfirmedAt >= State.StartedAt;
}

void noteNewestRevision(ViewState &State, const RevisionKey &Key) {
  if (Key <= State.NewestKnown)
    return;
  State.NewestKnown = Key;
  State.NewestConfirmedAt.reset();
}

/// Records a confirmation of a revision. It counts only while no newer revision
/// is known; otherwise a stale configuration service would keep an old view
/// valid.
void confirmRevision(ViewState &State, const RevisionKey &Key, Instant At) {
  noteNewestRevision(State, Key);
  if (Key != State.NewestKnown)
    return;
  State.NewestConfirmedAt = std::max(State.NewestConfirmedAt.value_or(At), At);
  if (Key == State.HeldRevision)
    State.ConfirmedAt = std::max(State.ConfirmedAt.value_or(At), At);
}

std::optional<ViewState::PendingQuery>
takePendingQuery(ViewState &State, std::uint64_t Nonce, ViewSource Source) {
  auto Found = State.PendingQueries.find(Nonce);
  if (Found == State.PendingQueries.end() ||
      Found->second.Query.Source != Source)
    return std::nullopt;
  ViewState::PendingQuery Taken = std::move(Found->second);
  State.PendingQueries.erase(Found);
  return Taken;
}

/// Returns the latest time T such that a majority of a set of `SetSize` members
/// has a time of T or later, or nothing if `Times` covers no majority.
std::optional<Instant> majorityTime(std::vector<Instant> Times,
                                    std::size_t SetSize) {
  const std::size_t Others = SetSize / 2;
  if (Times.size() <= Others)
    return std::nullopt;
  std::ranges::sort(Times, std::greater<>());
  return Times[Others];
}

/// Confirms the held revision if a majority of the witnesses has answered and
/// no answer names a newer revision. The time of the confirmation is the latest
/// one at or after which a majority of the witnesses was asked.
void confirmByWitnesses(ViewState &State, Instant Now) {
  if (State.HeldRevision.Number.Value == 0 ||
      State.HeldRevision != State.NewestKnown)
    return;
  std::vector<Instant> QuerySentTimes;
  for (const HostId &Witness : State.Witnesses) {
    if (Witness == State.Self) {
      if (canWitness(State))
        QuerySentTimes.push_back(Now);
    } else if (auto Found = State.WitnessReplies.find(Witness);
               Found != State.WitnessReplies.end()) {
      QuerySentTimes.push_back(Found->second.SentAt);
    }
  }
  if (auto At = majorityTime(std::move(QuerySentTimes), State.Witnesses.size()))
    confirmRevision(State, State.HeldRevision, *At);
}

/// Returns the first time at which a majority of the witnesses is known to have
/// held the host list simultaneously. Answers from different times are not
/// enough, because a witness that restarts in between loses the list.
std::optional<Instant> firstMajorityAt(const ViewState &State,
                                       const std::vector<HostId> &Witnesses,
                                       Instant Now) {
  struct Span {
    Instant From{}, To{};
  };
  std::vector<Span> SpansHeld;
  for (const HostId &Witness : Witnesses) {
    if (Witness == State.Self) {
      if (canWitness(State))
        SpansHeld.push_back({State.HostsHeldAt, Now});
    } else if (auto Found = State.WitnessReplies.find(Witness);
               Found != State.WitnessReplies.end() &&
               Found->second.Reply.HostsSince == State.HostsSince) {
      SpansHeld.push_back({Found->second.HostsHeldSince, Found->second.SentAt});
    }
  }
  std::optional<Instant> First;
  for (const Span &Candidate : SpansHeld) {
    const auto Count = std::ranges::count_if(SpansHeld, [&](const Span &Other) {
      return Other.From <= Candidate.From && Candidate.From <= Other.To;
    });
    if (static_cast<std::size_t>(Count) > Witnesses.size() / 2 &&
        (!First || Candidate.From < *First))
      First = Candidate.From;
  }
  return First;
}

void updateHostListMajority(ViewState &State, Instant Now) {
  auto At = firstMajorityAt(State, State.Witnesses, Now);
  if (At && !State.PreviousWitnesses.empty()) {
    const auto Before = firstMajorityAt(State, State.PreviousWitnesses, Now);
    At = Before ? std::optional(std::max(*At, *Before)) : std::nullopt;
  }
  // Every computed time is valid, and the earliest is kept. Later answers may
  // yield an earlier time, especially in a process that has just started and at
  // first counts mainly itself.
  if (At)
    State.HostListMajorityAt =
        std::min(State.HostListMajorityAt.value_or(*At), *At);
}

} // namespace

ViewState makeViewState(HostId Self, Instant Now) {
  ViewState State;
  State.Self = std::move(Self);
  State.StartedAt = Now;
  return State;
}

void adoptRevision(ViewState &State, const RevisionKey &Key,
                   const RevisionKey &HostsSince, const Policy &Rules,
                   Instant Now) {
  if (Key <= State.HeldRevision)
    return;
  noteNewestRevision(State, Key);
  if (State.HeldRevision.Number.Value == 0 || HostsSince > State.HeldRevision) {
    State.PreviousWitnesses.clear();
    if (State.Witnesses != Rules.Witnesses)
      State.PreviousWitnesses = std::move(State.Witnesses);
    State.HostsSince = HostsSince;
    State.HostsHeldAt = Now;
    State.HostListMajorityAt.reset();
  }
  State.HeldRevision = Key;
  State.Witnesses = Rules.Witnesses;
  State.LeaseDuration = Rules.ViewLease;
  // An earlier confirmation also holds for the newer revision: any revision
  // published since then had the whole lease duration to become known.
  if (Key == State.NewestKnown && State.NewestConfirmedAt)
    confirmRevision(State, Key, *State.NewestConfirmedAt);
}

std::vector<ViewQuery> dueViewQueries(ViewState &State, Instant Now) {
  std::erase_if(State.PendingQueries, [&](const auto &Entry) {
    return Now - Entry.second.SentAt >= State.LeaseDuration;
  });
  std::vector<ViewQuery> Queries;
  auto SendQuery = [&](ViewSource Source, const HostId &Target) {
    if (auto Last = State.LastQueriedAt.find(Target);
        Last != State.LastQueriedAt.end() &&
        Now - Last->second < State.LeaseDuration / QueriesPerLease)
      return;
    State.LastQueriedAt[Target] = Now;
    ViewQuery Query{Source, Target, State.NextNonce++};
    State.PendingQueries[Query.Nonce] = {Query, Now};
    Queries.push_back(std::move(Query));
  };
  if (State.IsWatcher)
    SendQuery(ViewSource::Service, HostId());
  const bool Old =
      !State.ConfirmedAt || Now - *State.ConfirmedAt >=
                                State.LeaseDuration / WitnessQueryLeaseDivisor;
  if (Old || (State.NeedsHostListMajority && !State.HostListMajorityAt)) {
    for (const auto *Set : {&State.Witnesses, &State.PreviousWitnesses})
      for (const HostId &Witness : *Set)
        if (Witness != State.Self)
          SendQuery(ViewSource::Witness, Witness);
  }
  for (const HostId &Parent : State.Parents)
    SendQuery(ViewSource::Parent, Parent);
  return Queries;
}

void recordServiceReply(ViewState &State, std::uint64_t Nonce,
                        const RevisionKey &Newest) {
  if (auto Taken = takePendingQuery(State, Nonce, ViewSource::Service))
    confirmRevision(State, Newest, Taken->SentAt);
}

void recordConfirmReply(ViewState &State, std::uint64_t Nonce,
                        const ConfirmReply &Reply) {
  if (auto Taken = takePendingQuery(State, Nonce, ViewSource::Parent))
    confirmRevision(State, Reply.HeldRevision,
                    Taken->SentAt - std::max(Reply.Age, Duration::zero()));
}

void recordWitnessReply(ViewState &State, std::uint64_t Nonce,
                        const WitnessReply &Reply, Instant Now) {
  auto Taken = takePendingQuery(State, Nonce, ViewSource::Witness);
  if (!Taken)
    return;
  noteNewestRevision(State, Reply.HeldRevision);
  auto &Answer = State.WitnessReplies[Taken->Query.Target];
  // Replies may arrive out of order; the reply to the latest query is kept.
  if (Answer.SentAt > Taken->SentAt)
    return;
  Answer = {Reply, Taken->SentAt,
            Now - std::max(Reply.HostsHeldFor, Duration::zero())};
  confirmByWitnesses(State, Now);
  updateHostListMajority(State, Now);
}

void recordAnnouncedRevision(ViewState &State, const RevisionKey &Key) {
  noteNewestRevision(State, Key);
}

std::optional<ConfirmReply> answerConfirm(const ViewState &State, Instant Now) {
  if (!State.ConfirmedAt)
    return std::nullopt;
  return ConfirmReply{State.HeldRevision, Now - *State.ConfirmedAt};
}

std::optional<WitnessReply> answerWitness(const ViewState &State, Instant Now) {
  if (!canWitness(State))
    return std::nullopt;
  return WitnessReply{std::max(State.HeldRevision, State.NewestKnown),
                      State.HostsSince, Now - State.HostsHeldAt};
}

ViewLease viewLease(const ViewState &State) {
  ViewLease Lease;
  if (!State.ConfirmedAt || State.HeldRevision.Number.Value == 0)
    return Lease;
  Lease.ConfirmedAt = *State.ConfirmedAt;
  Lease.Until = *State.ConfirmedAt + State.LeaseDuration;
  Lease.HostsSince = State.HostsSince;
  Lease.HostListMajorityAt = State.HostListMajorityAt;
  return Lease;
}

} // namespace pollenwick
