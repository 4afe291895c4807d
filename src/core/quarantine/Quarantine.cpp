#include "core/quarantine/Quarantine.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cassert>
#include <cstring>
#include <string>
#include <utility>

namespace pollenwick {
namespace {

/// Retry delay for a suspect whose crash is still being broadcast.
constexpr Duration BroadcastRetryAfter = std::chrono::seconds(1);
/// Crashes remembered per subject. Two uncleared ones quarantine it.
constexpr std::size_t MaxCrashesPerSubject = 8;

using CrashInvolvements = std::vector<CrashInvolvement>;

bool countsAgainst(const Quarantine &State, const CrashInvolvement &P,
                   Instant Now) {
  return !P.Cleared && Now < P.CrashedAt + State.Limits.QuarantineTime;
}

/// Returns the crashes that count against a subject at `Now`.
std::vector<const CrashInvolvement *> countedCrashes(const Quarantine &State,
                                                     const Fingerprint &Subject,
                                                     Instant Now) {
  std::vector<const CrashInvolvement *> Found;
  const auto It = State.CrashesBySubject.find(Subject);
  if (It == State.CrashesBySubject.end())
    return Found;
  for (const CrashInvolvement &P : It->second)
    if (countsAgainst(State, P, Now))
      Found.push_back(&P);
  return Found;
}

bool isOnTrial(const Quarantine &State, const CrashInvolvement &P,
               Instant Now) {
  return Now < P.CrashedAt + State.Limits.SuspectTime;
}

Instant newestCrashTime(const CrashInvolvements &All) {
  return std::ranges::max(All, {}, &CrashInvolvement::CrashedAt).CrashedAt;
}

// At the limit, evicts the subject with the oldest latest crash. Evicts a
// quarantined subject only if all subjects are quarantined.
void evictIfFull(Quarantine &State, Instant Now) {
  if (State.CrashesBySubject.size() < State.Limits.MaxSubjects)
    return;
  const auto EvictionOrder = [&](const auto &Entry) {
    return std::tuple(isQuarantined(State, Entry.first, Now),
                      newestCrashTime(Entry.second), Entry.first);
  };
  State.CrashesBySubject.erase(std::ranges::min_element(
      State.CrashesBySubject, [&](const auto &A, const auto &B) {
        return EvictionOrder(A) < EvictionOrder(B);
      }));
}

void addCrash(Quarantine &State, const Fingerprint &Subject,
              const CrashInvolvement &New, Instant Now) {
  if (!State.CrashesBySubject.contains(Subject))
    evictIfFull(State, Now);
  CrashInvolvements &All = State.CrashesBySubject[Subject];
  const auto Known =
      std::ranges::find(All, New.Crash, &CrashInvolvement::Crash);
  if (Known != All.end())
    Known->Cleared = Known->Cleared || New.Cleared;
  else if (All.size() < MaxCrashesPerSubject)
    All.push_back(New);
  else if (const auto Old =
               std::ranges::find(All, true, &CrashInvolvement::Cleared);
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

// Consumes a recent completion of the subject; returns false if there is none.
// Each completion excuses only one crash, so that a request that began to crash
// servers after a change of state is still detected.
bool takeCompletion(Quarantine &State, const Fingerprint &Subject,
                    Instant Now) {
  Quarantine::Completion &Slot = completionSlot(State, Subject);
  if (Slot.Subject != Subject || Slot.CompletedAt == Instant() ||
      Now >= Slot.CompletedAt + State.Limits.RecentCompletionTime)
    return false;
  Slot = {};
  return true;
}

Suspicion suspicionOf(const Fingerprint &Subject, const CrashInvolvement &P,
                      Instant Now) {
  return {Subject, P.Crash, P.Cleared, Now - P.CrashedAt};
}

Refusal refuseCall(std::string Message, Duration RetryAfter) {
  return {Outcome::NotRun, RefusalReason::Quarantined, RetryAfter,
          std::move(Message)};
}

void addInFlight(Quarantine &State, const Fingerprint &Subject) {
  ++State.InFlight[Subject];
}

StartDecision startTrial(Quarantine &State, const Fingerprint &Subject,
                         const CrashInvolvement &SuspectCrash, Instant Now) {
  const Instant End = SuspectCrash.CrashedAt + State.Limits.SuspectTime;
  if (SuspectCrash.Crash.Host != State.Self.Host)
    return TryAtHost{SuspectCrash.Crash.Host};
  // An earlier incarnation of this node saw the crash. It may have run a trial
  // that crashed the server without any node learning of it. Another trial
  // could cause the third crash.
  if (SuspectCrash.Crash.Start != State.Self.Start)
    return refuseCall(
        "the request may have crashed a backend server and the node "
        "that could try it is gone; retry later",
        End - Now);
  if (Now >= End - State.Limits.TrialMargin)
    return refuseCall(
        "the request may have crashed a backend server; retry later",
        End - Now);
  if (!SuspectCrash.BroadcastComplete)
    return refuseCall(
        "the request may have crashed a backend server and not all "
        "nodes know yet; retry later",
        BroadcastRetryAfter);
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
  addInFlight(State, Subject);
  return StartCall{true};
}

} // namespace

Fingerprint fingerprintOf(const RouteId &Route, const CustomerId &Customer,
                          const Digest &Body) {
  // Ids contain no NUL, so the NUL separators make the encoding unambiguous.
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
  const auto CountedCrashes = countedCrashes(State, Subject, Now);
  if (CountedCrashes.size() >= 2) {
    const CrashInvolvement &Last = **std::ranges::max_element(
        CountedCrashes, {},
        [](const CrashInvolvement *P) { return P->CrashedAt; });
    return refuseCall("the request was in flight at two crashes of backend "
                      "servers; do not send it again",
                      Last.CrashedAt + State.Limits.QuarantineTime - Now);
  }
  if (!CountedCrashes.empty() && isOnTrial(State, *CountedCrashes.front(), Now))
    return startTrial(State, Subject, *CountedCrashes.front(), Now);
  if (State.TrialSubject || (State.WaitingSubject && Now < State.ReservedUntil))
    return ServerReserved{false};
  addInFlight(State, Subject);
  return StartCall{false};
}

std::vector<Suspicion> onCallFinished(Quarantine &State,
                                      const Fingerprint &Subject,
                                      bool Completed, Instant Now) {
  // A crash has already removed its calls from `InFlight`, so their ends need
  // no further action.
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
  std::vector<Suspicion> NewSuspicions;
  for (CrashInvolvement &P : It->second) {
    if (!std::exchange(P.Cleared, true))
      NewSuspicions.push_back(suspicionOf(Subject, P, Now));
  }
  return NewSuspicions;
}

std::vector<Suspicion> onServerCrash(Quarantine &State, Instant Now) {
  const CrashId Crash{State.Self.Host, State.Self.Start,
                      ++State.LastCrashNumber};
  std::vector<Suspicion> NewSuspicions;
  for (const auto &[Subject, Count] : std::exchange(State.InFlight, {})) {
    if (takeCompletion(State, Subject, Now))
      continue;
    const CrashInvolvement New{Crash, Now, false, false};
    addCrash(State, Subject, New, Now);
    NewSuspicions.push_back(suspicionOf(Subject, New, Now));
  }
  State.TrialSubject.reset();
  State.WaitingSubject.reset();
  std::ranges::sort(NewSuspicions, {},
                    [](const Suspicion &S) { return S.Subject.Bytes; });
  return NewSuspicions;
}

Acknowledgement acknowledgeSuspicions(Quarantine &State,
                                      const std::vector<Suspicion> &Received,
                                      Instant Now) {
  mergeSuspicions(State, Received, Now);
  Acknowledgement Answer;
  for (const Suspicion &S : Received) {
    Answer.InFlight = Answer.InFlight || State.InFlight.contains(S.Subject);
    const auto It = State.CrashesBySubject.find(S.Subject);
    if (It == State.CrashesBySubject.end())
      continue;
    for (const CrashInvolvement &P : It->second)
      Answer.KnownSuspicions.push_back(suspicionOf(S.Subject, P, Now));
  }
  return Answer;
}

void onBroadcastComplete(Quarantine &State, const CrashId &Crash) {
  for (auto &[Subject, All] : State.CrashesBySubject)
    for (CrashInvolvement &P : All)
      P.BroadcastComplete = P.BroadcastComplete || P.Crash == Crash;
}

bool isQuarantined(const Quarantine &State, const Fingerprint &Subject,
                   Instant Now) {
  return countedCrashes(State, Subject, Now).size() >= 2;
}

bool isSuspect(const Quarantine &State, const Fingerprint &Subject,
               Instant Now) {
  const auto CountedCrashes = countedCrashes(State, Subject, Now);
  return CountedCrashes.size() >= 2 ||
         (!CountedCrashes.empty() &&
          isOnTrial(State, *CountedCrashes.front(), Now));
}

void mergeSuspicions(Quarantine &State, const std::vector<Suspicion> &Received,
                     Instant Now) {
  for (const Suspicion &S : Received) {
    const Duration Age = std::max(Duration::zero(), S.Age);
    if (Age < State.Limits.QuarantineTime)
      addCrash(State, S.Subject, {S.Crash, Now - Age, S.Cleared, false}, Now);
  }
}

std::vector<Suspicion> knownSuspicions(const Quarantine &State,
                                       std::size_t Limit, Instant Now) {
  std::vector<Suspicion> All;
  for (const auto &[Subject, Crashes] : State.CrashesBySubject)
    for (const CrashInvolvement &P : Crashes)
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
    std::erase_if(Entry.second, [&](const CrashInvolvement &P) {
      return Now >= P.CrashedAt + State.Limits.QuarantineTime;
    });
    return Entry.second.empty();
  });
}

std::size_t memoryOf(const Quarantine &State) {
  using SubjectSlot = std::pair<const Fingerprint, CrashInvolvements>;
  using RunningSlot = std::pair<const Fingerprint, std::uint32_t>;
  std::size_t Bytes =
      State.CrashesBySubject.capacity() * (sizeof(SubjectSlot) + 1) +
      State.InFlight.capacity() * (sizeof(RunningSlot) + 1) +
      State.RecentCompletions.capacity() * sizeof(Quarantine::Completion);
  for (const auto &[Subject, All] : State.CrashesBySubject)
    Bytes += All.capacity() * sizeof(CrashInvolvement);
  return Bytes;
}

} // namespace pollenwick
