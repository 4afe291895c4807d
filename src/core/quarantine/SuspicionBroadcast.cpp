#include "core/quarantine/SuspicionBroadcast.h"

#include <algorithm>
#include <utility>

namespace pollenwick {

void startBroadcast(SuspicionBroadcasts &State,
                    const std::vector<Suspicion> &Suspicions,
                    const std::vector<HostId> &Servers, Instant Now) {
  if (Suspicions.empty())
    return;
  State.Broadcasts.push_back(
      {Suspicions.front().Crash, Suspicions, Servers, Now, Now, false});
}

std::vector<BroadcastMessage> dueBroadcasts(SuspicionBroadcasts &State,
                                            Instant Now) {
  std::vector<BroadcastMessage> Due;
  for (SuspicionBroadcast &Broadcast : State.Broadcasts) {
    if (Now < Broadcast.NextSendAt)
      continue;
    Broadcast.NextSendAt = Now + State.Limits.ResendInterval;
    std::vector<Suspicion> Suspicions = Broadcast.Suspicions;
    for (Suspicion &S : Suspicions)
      S.Age += Now - Broadcast.StartedAt;
    for (const HostId &Host : Broadcast.Unacknowledged)
      Due.push_back({Host, Broadcast.Crash, Suspicions});
  }
  return Due;
}

void onAcknowledged(SuspicionBroadcasts &State, Quarantine &Known,
                    const CrashId &Crash, const HostId &From,
                    const Acknowledgement &Answer, Instant Now) {
  // Even a late answer may contain new suspicions.
  mergeSuspicions(Known, Answer.KnownSuspicions, Now);
  const auto Broadcast =
      std::ranges::find(State.Broadcasts, Crash, &SuspicionBroadcast::Crash);
  if (Broadcast != State.Broadcasts.end() && !Answer.InFlight)
    std::erase(Broadcast->Unacknowledged, From);
}

void onServersChanged(SuspicionBroadcasts &State,
                      const std::vector<HostId> &Servers) {
  for (SuspicionBroadcast &Broadcast : State.Broadcasts)
    std::erase_if(Broadcast.Unacknowledged, [&](const HostId &Host) {
      return std::ranges::find(Servers, Host) == Servers.end();
    });
}

std::vector<CrashId> finishBroadcasts(SuspicionBroadcasts &State,
                                      Quarantine &Known, Instant Now) {
  std::vector<CrashId> Released;
  std::size_t Excess =
      State.Broadcasts.size() -
      std::min(State.Broadcasts.size(), State.Limits.MaxBroadcasts);
  const auto Advance = [&](SuspicionBroadcast &Broadcast) {
    const bool Complete = Broadcast.Unacknowledged.empty();
    if (Complete)
      onBroadcastComplete(Known, Broadcast.Crash);
    const bool Ended = Complete || Excess > 0 ||
                       Now >= Broadcast.StartedAt + Known.Limits.SuspectTime;
    if (!Complete && Excess > 0)
      --Excess;
    const bool Release =
        Ended || Now >= Broadcast.StartedAt + State.Limits.MaxAnswerHold;
    if (Release && !std::exchange(Broadcast.AnswersReleased, true))
      Released.push_back(Broadcast.Crash);
    return Ended;
  };
  // `Advance` has side effects, so it is called once per broadcast, in order.
  std::vector<SuspicionBroadcast> Open;
  for (SuspicionBroadcast &Broadcast : State.Broadcasts)
    if (!Advance(Broadcast))
      Open.push_back(std::move(Broadcast));
  State.Broadcasts = std::move(Open);
  return Released;
}

} // namespace pollenwick
