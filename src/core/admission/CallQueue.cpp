#include "core/admission/CallQueue.h"

#include <tuple>

namespace pollenwick {

bool ServedBefore::operator()(const OfferedCall &A,
                              const OfferedCall &B) const {
  return std::tuple(!A.Nested, A.Rank, A.RootAdmittedAt, A.Id.Value) <
         std::tuple(!B.Nested, B.Rank, B.RootAdmittedAt, B.Id.Value);
}

bool ShedAfter::operator()(const OfferedCall &A, const OfferedCall &B) const {
  return std::tuple(A.Rank, !A.Nested, A.RootAdmittedAt, A.Id.Value) <
         std::tuple(B.Rank, !B.Nested, B.RootAdmittedAt, B.Id.Value);
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

const OfferedCall *nextToShed(const CallQueue &Queue) {
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
