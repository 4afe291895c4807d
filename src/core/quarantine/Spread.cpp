#include "core/quarantine/Spread.h"

#include <algorithm>
#include <utility>

namespace pollenwick {

void beginSpread(Spreads &State, const std::vector<Suspicion> &What,
                 const std::vector<HostId> &Servers, Instant Now) {
  if (What.empty())
    return;
  State.Rounds.push_back({What.front().Crash, What, Servers, Now, Now, false});
}

std::vector<SpreadMessage> dueSpreads(Spreads &State, Instant Now) {
  std::vector<SpreadMessage> Due;
  for (SpreadRound &Round : State.Rounds) {
    if (Now < Round.NextSend)
      continue;
    Round.NextSend = Now + State.Limits.Resend;
    std::vector<Suspicion> What = Round.What;
    for (Suspicion &S : What)
      S.Age += Now - Round.Begun;
    for (const HostId &Host : Round.Waiting)
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
      std::ranges::find(State.Rounds, Crash, &SpreadRound::Crash);
  if (Round != State.Rounds.end() && !Answer.InFlight)
    std::erase(Round->Waiting, From);
}

void onServersChanged(Spreads &State, const std::vector<HostId> &Servers) {
  for (SpreadRound &Round : State.Rounds)
    std::erase_if(Round.Waiting, [&](const HostId &Host) {
      return std::ranges::find(Servers, Host) == Servers.end();
    });
}

std::vector<CrashId> advanceSpreads(Spreads &State, Quarantine &Known,
                                    Instant Now) {
  std::vector<CrashId> Released;
  std::size_t Excess = State.Rounds.size() -
                       std::min(State.Rounds.size(), State.Limits.MaxRounds);
  const auto Advance = [&](SpreadRound &Round) {
    const bool Complete = Round.Waiting.empty();
    if (Complete)
      onSpread(Known, Round.Crash);
    const bool Ended =
        Complete || Excess > 0 || Now >= Round.Begun + Known.Limits.SuspectTime;
    if (!Complete && Excess > 0)
      --Excess;
    const bool Release = Ended || Now >= Round.Begun + State.Limits.Hold;
    if (Release && !std::exchange(Round.Released, true))
      Released.push_back(Round.Crash);
    return Ended;
  };
  // The predicate has effects, so the rounds are visited in order, once each.
  std::vector<SpreadRound> Open;
  for (SpreadRound &Round : State.Rounds)
    if (!Advance(Round))
      Open.push_back(std::move(Round));
  State.Rounds = std::move(Open);
  return Released;
}

} // namespace pollenwick
