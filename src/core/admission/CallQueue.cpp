#include "core/admission/CallQueue.h"

#include <tuple>

namespace pollenwick {

bool ServesBefore::operator()(const OfferedCall &A,
                              const OfferedCall &B) const {
  return std::tuple(!A.WorkDone, A.Rank, A.RootAdmitted, A.Id.Value) <
         std::tuple(!B.WorkDone, B.Rank, B.RootAdmitted, B.Id.Value);
}

bool ShedsAfter::operator()(const OfferedCall &A, const OfferedCall &B) const {
  return std::tuple(A.Rank, !A.WorkDone, A.RootAdmitted, A.Id.Value) <
         std::tuple(B.Rank, !B.WorkDone, B.RootAdmitted, B.Id.Value);
}

void pushCall(CallQueue &Queue, const OfferedCall &Call) {
  Queue.ServeOrder.insert(Call);
  Queue.ShedOrder.insert(Call);
  Queue.ById.emplace(Call.Id, Call);
}

std::optional<OfferedCall> popNext(CallQueue &Queue) {
  if (Queue.ServeOrder.empty())
    return std::nullopt;
  const OfferedCall Next = *Queue.ServeOrder.begin();
  removeCall(Queue, Next.Id);
  return Next;
}

const OfferedCall *worstCall(const CallQueue &Queue) {
  return Queue.ShedOrder.empty() ? nullptr : &*Queue.ShedOrder.rbegin();
}

bool removeCall(CallQueue &Queue, CallId Id) {
  const auto Found = Queue.ById.find(Id);
  if (Found == Queue.ById.end())
    return false;
  Queue.ServeOrder.erase(Found->second);
  Queue.ShedOrder.erase(Found->second);
  Queue.ById.erase(Found);
  return true;
}

} // namespace pollenwick
