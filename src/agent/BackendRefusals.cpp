#include "agent/Backend.h"

#include <utility>

#include "agent/BackendConnection.h"
#include "core/evacuation/Evacuation.h"

// The part of `Backend` that refuses calls as not run, and gives up running
// ones at the end of the process.

namespace pollenwick::agent {

void Backend::refuse(CallResultHandler &&Done, std::string Cause) {
  Loop.callAtTurnEnd([this, Done = std::move(Done), Cause = std::move(Cause)] {
    CallResult Result;
    Result.Outcome = CallOutcome::NotRun;
    Result.Cause = Cause;
    Result.Load = load();
    Done(std::move(Result));
  });
}

void Backend::refuseDropped(const std::vector<WaitingCall> &Dropped,
                            const std::string &Cause) {
  for (const WaitingCall &Waiting : Dropped) {
    const auto Found = Calls.find(Waiting.Id);
    if (Found == Calls.end())
      continue;
    CallResultHandler Done = std::move(Found->second.Done);
    Calls.erase(Found);
    refuse(std::move(Done), Cause);
  }
}

void Backend::refuseCalls(const std::string &Cause) {
  const std::string Previous = std::exchange(RefusalCause, Cause);
  if (Previous == Cause)
    return;
  if (Cause.empty()) {
    if (Previous == ZoneEvacuatedCause)
      ColdStart.assumeCold("zone-returned", Loop.now());
    return;
  }
  refuseUnsentCalls();
}

std::string Backend::serverRefusal(const std::string &ServerId) const {
  if (!RefusalCause.empty())
    return RefusalCause;
  // A node without an entry accepts calls for other ids, because peers may have
  // heard of a new server first.
  if (!Server)
    return ServerId == RemovedServerId ? "server-gone" : "";
  if (ServerId != Server->Id.Text)
    return "server-replaced";
  return Server->State == ServerState::Draining || Terms.leaving()
             ? "server-draining"
             : "";
}

bool Backend::wasSent(const PendingCall &Call) const {
  return Call.Connection && Call.Connection->connected();
}

void Backend::refuseUnsentCalls() {
  // The most important calls are the first to be placed elsewhere.
  const auto Waiting = Queue.Waiting;
  for (const WaitingCall &Call : Waiting)
    if (std::string Cause = serverRefusal(Calls.at(Call.Id).Request.ServerId);
        !Cause.empty())
      refuseUnsent(Call.Id, std::move(Cause));
  std::vector<CallNumber> Connecting;
  for (const auto &[Number, Call] : Calls)
    if (!wasSent(Call) && !serverRefusal(Call.Request.ServerId).empty())
      Connecting.push_back(Number);
  for (const CallNumber Number : Connecting)
    if (const auto Found = Calls.find(Number); Found != Calls.end())
      refuseUnsent(Number, serverRefusal(Found->second.Request.ServerId));
}

void Backend::refuseUnsent(CallNumber Number, std::string Cause) {
  const auto Found = Calls.find(Number);
  if (Found == Calls.end() || wasSent(Found->second))
    return;
  if (cancelWaitingCall(Queue, Found->second.QueueEntry)) {
    CallResultHandler Done = std::move(Found->second.Done);
    Calls.erase(Found);
    refuse(std::move(Done), std::move(Cause));
    return;
  }
  // A call whose connection is not established could reach the server long
  // after this. One without a connection is about to fail by itself.
  BackendConnection *Connection = Found->second.Connection;
  if (!Connection)
    return;
  CallResult Result;
  Result.Cause = std::move(Cause);
  Connection->close();
  completeCall(Number, std::move(Result));
  onConnectionClosed(*Connection, true);
}

void Backend::recall(CallNumber Number) {
  refuseUnsent(Number, NodeStoppingCause);
}

void Backend::recallAll() {
  // Waiting calls first: a slot that is given up would start one of them.
  std::vector<CallNumber> Numbers;
  for (const WaitingCall &Call : Queue.Waiting)
    Numbers.push_back(Call.Id);
  for (const auto &[Number, Call] : Calls)
    Numbers.push_back(Number);
  for (const CallNumber Number : Numbers)
    recall(Number);
}

void Backend::giveUpRunning() {
  std::vector<CallResultHandler> Handlers;
  for (auto &[Number, Call] : Calls)
    if (!std::exchange(Call.Abandoned, true))
      Handlers.push_back(std::move(Call.Done));
  for (const CallResultHandler &Done : Handlers) {
    CallResult Result;
    Result.ReachedServer = true;
    Result.Cause = NodeStoppingCause;
    Done(std::move(Result));
  }
}

} // namespace pollenwick::agent
