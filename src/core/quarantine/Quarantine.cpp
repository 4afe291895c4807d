#include "core/quarantine/Quarantine.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cassert>
#include <cstring>
#include <string>
#include <utility>

namespace pollenwick {
namespace {

constexpr Duration SpreadRetryAfter = std::chrono::seconds(1);
/// Crashes remembered of one subject; two uncleared ones decide.
constexpr std::size_t MaxPresences = 8;

using Presences = std::vector<Presence>;

bool counts(const Quarantine &State, const Presence &P, Instant Now) {
  return !P.Cleared && Now < P.CrashedAt + State.Limits.QuarantineTime;
}

/// The crashes against a subject that count now.
std::vector<const Presence *> against(const Quarantine &State,
                                      const Fingerprint &Subject, Instant Now) {
  std::vector<const Presence *> Found;
  const auto It = State.CrashesBySubject.find(Subject);
  if (It == State.CrashesBySubject.end())
    return Found;
  for (const Presence &P : It->second)
    if (counts(State, P, Now))
      Found.push_back(&P);
  return Found;
}

bool isOnTrial(const Quarantine &State, const Presence &P, Instant Now) {
  return Now < P.CrashedAt + State.Limits.SuspectTime;
}

Instant newest(const Presences &All) {
  return std::ranges::max(All, {}, &Presence::CrashedAt).CrashedAt;
}

// Evicts the subject whose last crash is longest ago; one that is quarantined
// goes only when there is no other.
void makeRoom(Quarantine &State, Instant Now) {
  if (State.CrashesBySubject.size() < State.Limits.MaxSubjects)
    return;
  const auto Worth = [&](const auto &Entry) {
    return std::tuple(isQuarantined(State, Entry.first, Now),
                      newest(Entry.second), Entry.first);
  };
  State.CrashesBySubject.erase(std::ranges::min_element(
      State.CrashesBySubject,
      [&](const auto &A, const auto &B) { return Worth(A) < Worth(B); }));
}

void addPresence(Quarantine &State, const Fingerprint &Subject,
                 const Presence &New, Instant Now) {
  if (!State.CrashesBySubject.contains(Subject))
    makeRoom(State, Now);
  Presences &All = State.CrashesBySubject[Subject];
  const auto Known = std::ranges::find(All, New.Crash, &Presence::Crash);
  if (Known != All.end())
    Known->Cleared = Known->Cleared || New.Cleared;
  else if (All.size() < MaxPresences)
    All.push_back(New);
  else if (const auto Old = std::ranges::find(All, true, &Presence::Cleared);
           Old != All.end())
    *Old = New;
}

Quarantine::Completion &completionSlot(Quarantine &State,
                                       const Fingerprint &Subject) {
  if (State.RecentCompletions.empty())
    State.RecentCompletions.resize(State.Limits.MaxCompletionSlots);
  std::uint64_t Hash = 0;
  std::memcpy(&Hash, Subject.Bytes.data(), sizeof(Hash));
  return State.RecentCompletions[Hash % State.RecentCompletions.size()];
}

// One completion excuses one crash, so that a call which crashes servers only
// since some state changed is still found.
bool takeCompletion(Quarantine &State, const Fingerprint &Subject,
                    Instant Now) {
  Quarantine::Completion &Slot = completionSlot(State, Subject);
  if (Slot.Subject != Subject || Slot.CompletedAt == Instant() ||
      Now >= Slot.CompletedAt + State.Limits.RecentCompletionTime)
    return false;
  Slot = {};
  return true;
}

Suspicion suspicionOf(const Fingerprint &Subject, const Presence &P,
                      Instant Now) {
  return {Subject, P.Crash, P.Cleared, Now - P.CrashedAt};
}

Refusal refuse(std::string Message, Duration RetryAfter) {
  return {Outcome::NotRun, RefusalReason::Quarantined, RetryAfter,
          std::move(Message)};
}

void enter(Quarantine &State, const Fingerprint &Subject) {
  ++State.InFlight[Subject];
}

StartDecision startTrial(Quarantine &State, const Fingerprint &Subject,
                         const Presence &Against, Instant Now) {
  const Instant End = Against.CrashedAt + State.Limits.SuspectTime;
  if (Against.Crash.Host != State.Self.Host)
    return TryAtHost{Against.Crash.Host};
  // The incarnation that is gone may have tried the subject, with a crash that
  // nobody heard of. Another trial could be the third crash.
  if (Against.Crash.Start != State.Self.Start)
    return refuse("the request may have crashed a backend server and the node "
                  "that could try it is gone; retry later",
                  End - Now);
  if (Now >= End - State.Limits.TrialMargin)
    return refuse("the request may have crashed a backend server; retry later",
                  End - Now);
  if (!Against.BroadcastComplete)
    return refuse("the request may have crashed a backend server and not all "
                  "nodes know yet; retry later",
                  SpreadRetryAfter);
  if (!State.InFlight.empty()) {
    if (!State.TrialSubject &&
        (!State.WaitingSubject || Now >= State.ReservedUntil)) {
      State.WaitingSubject = Subject;
      State.ReservedUntil = Now + State.Limits.MaxReserveTime;
    }
    return ServerReserved{true};
  }
  State.WaitingSubject.reset();
  State.TrialSubject = Subject;
  enter(State, Subject);
  return StartCall{true};
}

} // namespace

Fingerprint fingerprintOf(const RouteId &Route, const CustomerId &Customer,
                          const Digest &Body) {
  // Ids contain no NUL, so the separators keep different inputs different.
  std::string Input = Route.Text + '\0' + Customer.Text + '\0';
  Input.append(Body.begin(), Body.end());
  Digest Hash{};
  unsigned Size = Hash.size();
  EVP_Digest(Input.data(), Input.size(), Hash.data(), &Size, EVP_sha256(),
             nullptr);
  Fingerprint Result;
  std::copy_n(Hash.begin(), Result.Bytes.size(), Result.Bytes.begin());
  return Result;
}

StartDecision tryStartCall(Quarantine &State, const Fingerprint &Subject,
                           Instant Now) {
  const auto Against = against(State, Subject, Now);
  if (Against.size() >= 2) {
    const Presence &Last = **std::ranges::max_element(
        Against, {}, [](const Presence *P) { return P->CrashedAt; });
    return refuse("the request was in flight at two crashes of backend "
                  "servers; do not send it again",
                  Last.CrashedAt + State.Limits.QuarantineTime - Now);
  }
  if (!Against.empty() && isOnTrial(State, *Against.front(), Now))
    return startTrial(State, Subject, *Against.front(), Now);
  if (State.TrialSubject || (State.WaitingSubject && Now < State.ReservedUntil))
    return ServerReserved{false};
  enter(State, Subject);
  return StartCall{false};
}

std::vector<Suspicion> onCallFinished(Quarantine &State,
                                      const Fingerprint &Subject,
                                      bool Completed, Instant Now) {
  // After a crash the calls are no longer in flight; their ends are no news.
  const auto Running = State.InFlight.find(Subject);
  if (Running == State.InFlight.end())
    return {};
  if (--Running->second == 0)
    State.InFlight.erase(Running);
  if (State.TrialSubject == Subject)
    State.TrialSubject.reset();
  if (!Completed)
    return {};
  completionSlot(State, Subject) = {Subject, Now};
  const auto It = State.CrashesBySubject.find(Subject);
  if (It == State.CrashesBySubject.end())
    return {};
  std::vector<Suspicion> News;
  for (Presence &P : It->second) {
    if (!std::exchange(P.Cleared, true))
      News.push_back(suspicionOf(Subject, P, Now));
  }
  return News;
}

std::vector<Suspicion> onServerCrash(Quarantine &State, Instant Now) {
  const CrashId Crash{State.Self.Host, State.Self.Start,
                      ++State.LastCrashNumber};
  std::vector<Suspicion> News;
  for (const auto &[Subject, Count] : std::exchange(State.InFlight, {})) {
    if (takeCompletion(State, Subject, Now))
      continue;
    const Presence New{Crash, Now, false, false};
    addPresence(State, Subject, New, Now);
    News.push_back(suspicionOf(Subject, New, Now));
  }
  State.TrialSubject.reset();
  State.WaitingSubject.reset();
  std::ranges::sort(News, {},
                    [](const Suspicion &S) { return S.Subject.Bytes; });
  return News;
}

Acknowledgement acknowledgeSuspicions(Quarantine &State,
                                      const std::vector<Suspicion> &Heard,
                                      Instant Now) {
  mergeSuspicions(State, Heard, Now);
  Acknowledgement Answer;
  for (const Suspicion &S : Heard) {
    Answer.InFlight = Answer.InFlight || State.InFlight.contains(S.Subject);
    const auto It = State.CrashesBySubject.find(S.Subject);
    if (It == State.CrashesBySubject.end())
      continue;
    for (const Presence &P : It->second)
      Answer.KnownSuspicions.push_back(suspicionOf(S.Subject, P, Now));
  }
  return Answer;
}

void onSpread(Quarantine &State, const CrashId &Crash) {
  for (auto &[Subject, All] : State.CrashesBySubject)
    for (Presence &P : All)
      P.BroadcastComplete = P.BroadcastComplete || P.Crash == Crash;
}

bool isQuarantined(const Quarantine &State, const Fingerprint &Subject,
                   Instant Now) {
  return against(State, Subject, Now).size() >= 2;
}

bool isSuspect(const Quarantine &State, const Fingerprint &Subject,
               Instant Now) {
  const auto Against = against(State, Subject, Now);
  return Against.size() >= 2 ||
         (!Against.empty() && isOnTrial(State, *Against.front(), Now));
}

void mergeSuspicions(Quarantine &State, const std::vector<Suspicion> &Heard,
                     Instant Now) {
  for (const Suspicion &S : Heard) {
    const Duration Age = std::max(Duration::zero(), S.Age);
    if (Age < State.Limits.QuarantineTime)
      addPresence(State, S.Subject, {S.Crash, Now - Age, S.Cleared, false},
                  Now);
  }
}

std::vector<Suspicion> knownSuspicions(const Quarantine &State,
                                       std::size_t Limit, Instant Now) {
  std::vector<Suspicion> All;
  for (const auto &[Subject, Crashes] : State.CrashesBySubject)
    for (const Presence &P : Crashes)
      if (Now < P.CrashedAt + State.Limits.QuarantineTime)
        All.push_back(suspicionOf(Subject, P, Now));
  std::ranges::sort(All, {}, [](const Suspicion &S) {
    return std::tie(S.Age, S.Subject, S.Crash);
  });
  All.resize(std::min(All.size(), Limit));
  return All;
}

void expireSuspicions(Quarantine &State, Instant Now) {
  absl::erase_if(State.CrashesBySubject, [&](auto &Entry) {
    std::erase_if(Entry.second, [&](const Presence &P) {
      return Now >= P.CrashedAt + State.Limits.QuarantineTime;
    });
    return Entry.second.empty();
  });
}

std::size_t memoryOf(const Quarantine &State) {
  using SubjectSlot = std::pair<const Fingerprint, Presences>;
  using RunningSlot = std::pair<const Fingerprint, std::uint32_t>;
  std::size_t Bytes =
      State.CrashesBySubject.capacity() * (sizeof(SubjectSlot) + 1) +
      State.InFlight.capacity() * (sizeof(RunningSlot) + 1) +
      State.RecentCompletions.capacity() * sizeof(Quarantine::Completion);
  for (const auto &[Subject, All] : State.CrashesBySubject)
    Bytes += All.capacity() * sizeof(Presence);
  return Bytes;
}

} // namespace pollenwick
