#include "core/resume/CallLedger.h"

#include <algorithm>

namespace pollenwick {
namespace {

/// A connection counts as silent after 0.8 s, and a new one is there 0.3 s
/// later.
constexpr Duration AnswerLife = std::chrono::milliseconds(1500);
constexpr std::size_t LargestAnswerBytes = std::size_t{4} * 1024 * 1024;

} // namespace

void receiveCall(CallLedger &Ledger, std::uint64_t Id,
                 const CallLedger::RunningCall &Call) {
  Ledger.HighestId = std::max(Ledger.HighestId, Id);
  Ledger.Running.emplace(Id, Call);
}

bool keepsAnswer(const CallLedger &Ledger, std::uint64_t Id) {
  const auto Found = Ledger.Running.find(Id);
  return Found != Ledger.Running.end() && !Found->second.Repeatable;
}

void endCall(CallLedger &Ledger, std::uint64_t Id) { Ledger.Running.erase(Id); }

void keepAnswer(CallLedger &Ledger, std::uint64_t Id, std::string Bytes,
                Instant Now) {
  Ledger.AnswerBytes += Bytes.size();
  Ledger.Answers.push_back({Id, Now, std::move(Bytes)});
  forgetAnswers(Ledger, Now);
}

void forgetAnswers(CallLedger &Ledger, Instant Now) {
  while (!Ledger.Answers.empty() &&
         (Now - Ledger.Answers.front().At > AnswerLife ||
          Ledger.AnswerBytes > LargestAnswerBytes)) {
    Ledger.AnswerBytes -= Ledger.Answers.front().Bytes.size();
    Ledger.Answers.pop_front();
  }
}

std::vector<CallFate> resumeCalls(CallLedger *Lost, CallLedger &Next,
                                  const std::vector<std::uint64_t> &Ids,
                                  Instant Now) {
  std::vector<CallFate> Fates;
  for (const std::uint64_t Id : Ids) {
    const CallFate Fate = Lost ? fateOf(*Lost, Id) : CallFate::Unknown;
    Fates.push_back(Fate);
    if (Fate == CallFate::Running) {
      Next.Running.emplace(Id, Lost->Running.at(Id));
      Lost->Running.erase(Id);
    } else if (Fate == CallFate::Answered) {
      keepAnswer(Next, Id, *heldAnswer(*Lost, Id), Now);
    }
    // The sender may not hear this fate: when it asks again, the call must not
    // count as one that never came.
    Next.HighestId = std::max(Next.HighestId, Id);
  }
  return Fates;
}

CallFate fateOf(const CallLedger &Ledger, std::uint64_t Id) {
  if (Ledger.Running.contains(Id))
    return CallFate::Running;
  if (heldAnswer(Ledger, Id))
    return CallFate::Answered;
  return Id > Ledger.HighestId ? CallFate::NeverReceived : CallFate::Unknown;
}

const std::string *heldAnswer(const CallLedger &Ledger, std::uint64_t Id) {
  const auto Found =
      std::ranges::find(Ledger.Answers, Id, &CallLedger::SentAnswer::Id);
  return Found == Ledger.Answers.end() ? nullptr : &Found->Bytes;
}

} // namespace pollenwick
