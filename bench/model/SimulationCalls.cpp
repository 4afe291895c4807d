// Calls at callee nodes and backend servers.
#include <algorithm>

#include "model/Simulation.h"
#include "model/SimulationState.h"

namespace pollenwick::model {

namespace {

/// Pause before a hop of the `HopRetry` baseline calls again.
constexpr Duration HopRetryPause = std::chrono::milliseconds(5);

/// Least part of the mean own time that a call takes; the rest is exponential.
constexpr double FixedPart = 0.3;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void Simulation::arriveAtCallee(const CallPtr &Call) {
  HostModel &Host = Hosts[Call->Host];
  if (Host.Draining && full()) {
    reply(Call, RefusalReason::Draining);
    return;
  }
  Count.DrainingRuns += Host.Draining ? 1 : 0;
  if (Host.Failing) {
    reply(Call, RefusalReason::BackendServerLost);
    return;
  }
  if (full() && Call->Root->Closed) {
    // The cancellation follows the call on the same connection.
    reply(Call, RefusalReason::Cancelled);
    return;
  }
  Call->Root->Open.push_back(Call);
  if (full())
    offerControlled(Call);
  else
    offerFifo(Call);
}

void Simulation::offerControlled(const CallPtr &Call) {
  HostModel &Host = Hosts[Call->Host];
  const RootPtr &Root = Call->Root;
  OfferedCall Offer;
  Offer.Id = Call->Id;
  Offer.Route = Call->Route;
  Offer.Customer = Root->Customer;
  Offer.Rank = Root->Rank;
  Offer.Hash = Root->Hash;
  Offer.Nested = Call->Parent != nullptr;
  Offer.RootAdmittedAt = Root->AdmittedAt;
  Offer.Deadline = Root->Deadline;
  Offer.ArrivedAt = Now;
  const OfferResult Result = offerCall(Host.Callee, Fleet.Reach, Offer, Now);
  if (Result.Decision == OfferDecision::Refused) {
    if (Result.Reason != RefusalReason::DeadlineExceeded)
      noteMoneyShed(Root, Host.Callee.Service);
    reply(Call, Result.Reason);
    return;
  }
  if (Result.Decision == OfferDecision::Run)
    startCall(Call);
  else
    Host.Waiting.emplace(Call->Id, Call);
  if (Result.Evicted)
    refuseWaiting(Call->Host, *Result.Evicted, RefusalReason::Shed);
  takeWaiting(Call->Host);
}

void Simulation::offerFifo(const CallPtr &Call) {
  HostModel &Host = Hosts[Call->Host];
  const std::uint32_t Slots = Fleet.Reach.Slots[Host.Callee.Service];
  if (Host.Busy < Slots) {
    ++Host.Busy;
    startCall(Call);
    return;
  }
  if (Rules.Kind != Variant::NoControl && Host.Fifo.size() >= Slots) {
    noteMoneyShed(Call->Root, Host.Callee.Service);
    reply(Call, RefusalReason::QueueFull);
    return;
  }
  Host.Fifo.push_back(Call);
}

void Simulation::refuseWaiting(HostIndex Host, CallId Id,
                               RefusalReason Reason) {
  const auto Found = Hosts[Host].Waiting.find(Id);
  if (Found == Hosts[Host].Waiting.end())
    return;
  const CallPtr Call = Found->second;
  Hosts[Host].Waiting.erase(Found);
  if (Reason == RefusalReason::Shed)
    noteMoneyShed(Call->Root, Hosts[Host].Callee.Service);
  reply(Call, Reason);
}

void Simulation::takeWaiting(HostIndex Index) {
  HostModel &Host = Hosts[Index];
  if (!full()) {
    const std::uint32_t Slots = Fleet.Reach.Slots[Host.Callee.Service];
    while (Host.Busy < Slots && !Host.Fifo.empty()) {
      const CallPtr Call = Host.Fifo.front();
      Host.Fifo.pop_front();
      ++Host.Busy;
      startCall(Call);
    }
    return;
  }
  while (true) {
    const DequeueResult Next = dequeueCall(Host.Callee, Now);
    for (CallId Expired : Next.Expired)
      refuseWaiting(Index, Expired, RefusalReason::DeadlineExceeded);
    if (!Next.Call)
      return;
    const auto Found = Host.Waiting.find(Next.Call->Id);
    const CallPtr Call = Found->second;
    Host.Waiting.erase(Found);
    startCall(Call);
  }
}

void Simulation::startCall(const CallPtr &Call) {
  const RootPtr &Root = Call->Root;
  // A cancellation needs one hop per level of the tree.
  const Duration Known =
      Fleet.BetweenZones * static_cast<std::int64_t>(Root->Open.size() + 1);
  if ((Root->Closed && Now > Root->ClosedAt + Known) || Now > Root->Deadline)
    ++Count.DeadRuns;
  ++Count.HostRuns[Call->Host];
  if (!full())
    ++Hosts[Call->Host].Callee.Running[Root->Rank];
  Call->InSlot = true;
  Call->StartedAt = Now;
  Call->InSubCalls = Duration::zero();
  Call->NextSubCall = 0;
  runHalf(Call, true);
}

/// Own work is done in two halves, before and after the sub-calls.
void Simulation::runHalf(const CallPtr &Call, bool First) {
  HostModel &Host = Hosts[Call->Host];
  ++Host.Running;
  const auto Mean = static_cast<double>(Fleet.OwnTime[Call->Route].count()) / 2;
  double Time = FixedPart * Mean + exponential((1 - FixedPart) * Mean);
  Time *= Host.Slowdown;
  const Phase *Current = phase();
  if (Current && Host.Callee.Service == Fleet.Deep)
    Time *= Current->DeepSlowdown;
  if (Host.Cores > 0)
    Time *= std::max(1.0, static_cast<double>(Host.Running) / Host.Cores);
  Call->HalfTime = Duration{static_cast<std::int64_t>(Time) + 1};
  const Instant StartedAt = Call->StartedAt;
  schedule(Now + Call->HalfTime, [this, Call, First, StartedAt] {
    if (!Call->InSlot || Call->StartedAt != StartedAt)
      return; // Cancelled meanwhile.
    --Hosts[Call->Host].Running;
    Count.WorkSeconds += seconds(Call->HalfTime);
    Call->Root->WorkSeconds += seconds(Call->HalfTime);
    Call->HalfTime = Duration::zero();
    if (First)
      nextSubCall(Call);
    else
      endCall(Call, true);
  });
}

void Simulation::nextSubCall(const CallPtr &Call) {
  const std::vector<EdgeSpec> &Edges = Fleet.Rules.Routes[Call->Route].Calls;
  if (Call->NextSubCall == Edges.size()) {
    runHalf(Call, false);
    return;
  }
  auto Sub = std::make_shared<CallState>();
  Sub->Root = Call->Root;
  Sub->Parent = Call;
  Sub->From = Call->Host;
  Sub->Route = Fleet.Reach.RouteByName.at(Edges[Call->NextSubCall++].Route);
  Call->SubCallAt = Now;
  callOut(Sub);
}

void Simulation::endCall(const CallPtr &Call, bool Answered) {
  if (Call->Ended)
    return;
  freeSlot(Call, Answered);
  reply(Call, Answered ? RefusalReason::None : RefusalReason::Cancelled);
  takeWaiting(Call->Host);
}

void Simulation::freeSlot(const CallPtr &Call, bool Completed) {
  HostModel &Host = Hosts[Call->Host];
  if (Call->HalfTime > Duration::zero())
    --Host.Running;
  Call->HalfTime = Duration::zero();
  Call->InSlot = false;
  FinishedCall Finished;
  Finished.Route = Call->Route;
  Finished.Rank = Call->Root->Rank;
  Finished.ServiceTime = Now - Call->StartedAt;
  Finished.OwnTime = Finished.ServiceTime - Call->InSubCalls;
  Finished.Completed = Completed;
  Call->Root->HeldSeconds[Host.Callee.Service] += seconds(Finished.ServiceTime);
  if (full()) {
    releaseSlot(Host.Callee, Finished, Now);
    return;
  }
  --Host.Busy;
  --Host.Callee.Running[Finished.Rank];
}

void Simulation::reply(const CallPtr &Call, RefusalReason Reason) {
  Call->Ended = true;
  if (Reason != RefusalReason::None)
    ++Count.RefusedBy[Call->Root->Customer][static_cast<std::size_t>(Reason)];
  std::erase_if(Call->Root->Open, [&](const std::weak_ptr<CallState> &Open) {
    return Open.lock() == Call;
  });
  HostModel &Host = Hosts[Call->Host];
  HostReply Reply;
  std::vector<ThresholdReport> Reports;
  if (Reason == RefusalReason::Draining) {
    Reply.Kind = HostReplyKind::Draining;
  } else if (Reason == RefusalReason::BackendServerLost) {
    Reply.Kind = HostReplyKind::Failed;
  } else {
    const CalleeReport Report =
        calleeReport(Host.Callee, Call->Root->Customer, Now);
    Reply.InFlight = Report.InFlight;
    Reports.push_back(Report.Threshold);
    relayReports(Host.Ingress, Fleet.Reach, Call->Route, Call->Root->Customer,
                 Now, Reports);
  }
  schedule(Now + between(Call->Host, Call->From),
           [this, Call, Reason, Reply, Reports = std::move(Reports)] {
             receive(Call, Reason, Reply, Reports);
           });
}

void Simulation::receive(const CallPtr &Call, RefusalReason Reason,
                         HostReply Reply,
                         const std::vector<ThresholdReport> &Reports) {
  if (full()) {
    onHostReply(Hosts[Call->From].Table, Call->Host, Reply, Now);
    learnLevels(Hosts[Call->From].Ingress, Fleet.Reach, Call->Root->Customer,
                Reports, Now);
  }
  const CallPtr &Parent = Call->Parent;
  if (Reason != RefusalReason::None) {
    Count.Refusals += Reason == RefusalReason::Cancelled ? 0 : 1;
    if (retryCall(Call, Reason))
      return;
    if (Parent)
      endCall(Parent, false);
    else
      closeRoot(Call->Root, false);
    return;
  }
  if (!Parent) {
    closeRoot(Call->Root, true);
    return;
  }
  if (Parent->Ended)
    return;
  Parent->InSubCalls += Now - Parent->SubCallAt;
  nextSubCall(Parent);
}

bool Simulation::retryCall(const CallPtr &Call, RefusalReason Reason) {
  if (Rules.Kind == Variant::HopRetry) {
    if (Call->HopRetries == 0)
      return false;
    --Call->HopRetries;
    schedule(Now + HopRetryPause, [this, Call] { callOut(Call); });
    return true;
  }
  // Another host may take the call. A level is the same at every host.
  const bool Elsewhere = Reason == RefusalReason::Draining ||
                         Reason == RefusalReason::QueueFull ||
                         Reason == RefusalReason::BackendServerLost;
  if (!full() || !Elsewhere || Call->Root->Closed || Call->Root->Allowance == 0)
    return false;
  if (Call->Parent && Call->Parent->Ended)
    return false;
  --Call->Root->Allowance;
  Call->Tried.push_back(Call->Host);
  callOut(Call);
  return true;
}

} // namespace pollenwick::model
