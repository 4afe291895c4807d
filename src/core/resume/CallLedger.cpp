#include "core/resume/CallLedger.h"

#include <algorithm>

namespace pollenwick {
namespace {

/// Time for which an answer is kept. Covers the 0.8 s after which a connection
/// counts as silent and the 0.3 s until a new connection is open.
constexpr Duration AnswerRetention = std::chrono::milliseconds(1500);

/// Moves a call or its kept answer from the ledger of a lost connection to that
/// of a new one. Returns false if the lost ledger has neither.
bool moveCall(CallLedger &Lost, CallLedger &NewLedger, std::uint64_t Id,
              Instant Now) {
  if (const auto Found = Lost.RunningCalls.find(Id);
      Found != Lost.RunningCalls.end()) {
    NewLedger.RunningCalls.emplace(Id, Found->second);
    Lost.RunningCalls.erase(Found);
    return true;
  }
  const std::string *Answer = findAnswer(Lost, Id);
  if (Answer)
    keepAnswer(NewLedger, Id, *Answer, Now);
  return Answer != nullptr;
}

/// Moves one call to `NewLedger` and returns its status. The sender may have
/// asked for the status on several connections that were lost in turn, so any
/// lost ledger may hold the call. Only the ledger of the connection on which
/// the call was sent can show that it was never received. That ledger no longer
/// exists after a question about it has arrived.
CallStatus resumeCall(LostLedgers &Lost, CallLedger &NewLedger,
                      const ResumedCall &Call, Instant Now) {
  const bool Moved = std::ranges::any_of(Lost, [&](auto &Entry) {
    return moveCall(Entry.second, NewLedger, Call.Id, Now);
  });
  if (Moved)
    return callStatus(NewLedger, Call.Id);
  const auto First = Lost.find(Call.SentOn);
  return First == Lost.end() ? CallStatus::Unknown
                             : callStatus(First->second, Call.Id);
}

} // namespace

void recordCall(CallLedger &Ledger, std::uint64_t Id,
                const CallLedger::RunningCall &Call) {
  Ledger.HighestReceivedId = std::max(Ledger.HighestReceivedId, Id);
  Ledger.RunningCalls.emplace(Id, Call);
}

bool shouldKeepAnswer(const CallLedger &Ledger, std::uint64_t Id) {
  const auto Found = Ledger.RunningCalls.find(Id);
  return Found != Ledger.RunningCalls.end() && !Found->second.Repeatable;
}

void removeCall(CallLedger &Ledger, std::uint64_t Id) {
  Ledger.RunningCalls.erase(Id);
}

void keepAnswer(CallLedger &Ledger, std::uint64_t Id, std::string Bytes,
                Instant Now) {
  Ledger.AnswerBytes += Bytes.size();
  Ledger.SentAnswers.push_back({Id, Now, std::move(Bytes)});
  expireAnswers(Ledger, Now);
}

void expireAnswers(CallLedger &Ledger, Instant Now) {
  while (!Ledger.SentAnswers.empty() &&
         (Now - Ledger.SentAnswers.front().SentAt > AnswerRetention ||
          Ledger.AnswerBytes > MaxKeptAnswerBytes)) {
    Ledger.AnswerBytes -= Ledger.SentAnswers.front().EncodedAnswer.size();
    Ledger.SentAnswers.pop_front();
  }
}

std::vector<CallStatus> resumeCalls(LostLedgers &Lost, CallLedger &NewLedger,
                                    const std::vector<ResumedCall> &Calls,
                                    Instant Now) {
  std::vector<CallStatus> Statuses(Calls.size());
  std::ranges::transform(Calls, Statuses.begin(), [&](const ResumedCall &Call) {
    return resumeCall(Lost, NewLedger, Call, Now);
  });
  return Statuses;
}

CallStatus callStatus(const CallLedger &Ledger, std::uint64_t Id) {
  if (Ledger.RunningCalls.contains(Id))
    return CallStatus::Running;
  if (findAnswer(Ledger, Id))
    return CallStatus::Answered;
  return Id > Ledger.HighestReceivedId ? CallStatus::NeverReceived
                                       : CallStatus::Unknown;
}

const std::string *findAnswer(const CallLedger &Ledger, std::uint64_t Id) {
  const auto Found =
      std::ranges::find(Ledger.SentAnswers, Id, &CallLedger::SentAnswer::Id);
  return Found == Ledger.SentAnswers.end() ? nullptr : &Found->EncodedAnswer;
}

} // namespace pollenwick
