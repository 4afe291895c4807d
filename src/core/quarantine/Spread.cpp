#include "core/quarantine/Spread.h"

#include <algorithm>
#include <utility>

namespace pollenwick {

void beginSpread(Spreads &State, const std::vector<Suspicion> &What,
                 const std::vector<HostId> &Servers, Instant Now) {
  if (What.empty())
    return;
  State.Broadcasts.push_back(
      {What.front().Crash, What, Servers, Now, Now, false});
}

std::vector<SpreadMessage> dueSpreads(Spreads &State, Instant Now) {
  std::vector<SpreadMessage> Due;
  for (SpreadRound &Round : State.Broadcasts) {
    if (Now < Round.NextSendAt)
      continue;
    Round.NextSendAt = Now + State.Limits.ResendInterval;
    std::vector<Suspicion> What = Round.Suspicions;
    for (Suspicion &S : What)
      S.Age += Now - Round.StartedAt;
    for (const HostId &Host : Round.Unacknowledged)
      Due.push_back({Host, Round.Crash, What});
  }
  return Due;
}

void onAcknowledged(Spreads &State, Quarantine &Known, const CrashId &Crash,
                    const HostId &From, const Acknowledgement &Answer,
                    Instant Now) {
  // Also a late answer carries news.
  mergeSuspicions(Known, Answer.KnownSuspicions, Now);
  const auto Round =
      std::ranges::find(State.Broadcasts, Crash, &SpreadRound::Crash);
  if (Round != State.Broadcasts.end() && !Answer.InFlight)
    std::erase(Round->Unacknowledged, From);
}

void onServersChanged(Spreads &State, const std::vector<HostId> &Servers) {
  for (SpreadRound &Round : State.Broadcasts)
    std::erase_if(Round.Unacknowledged, [&](const HostId &Host) {
      return std::ranges::find(Servers, Host) == Servers.end();
    });
}

std::vector<CrashId> advanceSpreads(Spreads &State, Quarantine &Known,
                                    Instant Now) {
  std::vector<CrashId> Released;
  std::size_t Excess =
      State.Broadcasts.size() -
      std::min(State.Broadcasts.size(), State.Limits.MaxBroadcasts);
  const auto Advance = [&](SpreadRound &Round) {
    const bool Complete = Round.Unacknowledged.empty();
    if (Complete)
      onSpread(Known, Round.Crash);
    const bool Ended = Complete || Excess > 0 ||
                       Now >= Round.StartedAt + Known.Limits.SuspectTime;
    if (!Complete && Excess > 0)
      --Excess;
    const bool Release =
        Ended || Now >= Round.StartedAt + State.Limits.MaxAnswerHold;
    if (Release && !std::exchange(Round.AnswersReleased, true))
      Released.push_back(Round.Crash);
    return Ended;
  };
  // The predicate has effects, so the rounds are visited in order, once each.
  std::vector<SpreadRound> Open;
  for (SpreadRound &Round : State.Broadcasts)
    if (!Advance(Round))
      Open.push_back(std::move(Round));
  State.Broadcasts = std::move(Open);
  return Released;
}

} // namespace pollenwick
