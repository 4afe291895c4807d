#include "LoadModel.h"

#include <algorithm>

namespace pollenwick {
namespace {

constexpr Duration UpdateInterval = std::chrono::milliseconds(250);
constexpr Instant Start{std::chrono::seconds(1)};
constexpr Duration FailureDelay = std::chrono::milliseconds(2);
constexpr double CallKilobytes = 0.7; ///< Request and answer of a small call.

Duration millis(double Value) {
  return Duration(static_cast<std::int64_t>(Value * 1000));
}

} // namespace

LoadModel::LoadModel(
    std::map<std::string, ModelClass> TheClasses,
    const std::map<std::string, std::vector<ModelServer>> &TheServices,
    bool WithControl, std::uint32_t Seed)
    : Classes(std::move(TheClasses)), ControlEnabled(WithControl), Random(Seed),
      Now(Start) {
  for (const auto &[Name, Servers] : TheServices)
    for (const ModelServer &Terms : Servers) {
      Server New{Terms, {}, {}, {}};
      New.Queue.MaxRunning = concurrencyLimit(Terms.Slots);
      Services[Name].push_back(New);
    }
}

void LoadModel::schedule(Instant When, std::function<void()> Task) {
  Events.emplace(When, ++LastId);
  Tasks.emplace(LastId, std::move(Task));
}

void LoadModel::scheduleArrivals(const std::string &Name, Instant End) {
  const ModelClass &Class = Classes.at(Name);
  std::exponential_distribution<double> Gap(Class.RequestsPerSecond);
  schedule(Now + millis(Gap(Random) * 1000), [this, &Name, &Class, End] {
    if (Now < End)
      scheduleArrivals(Name, End);
    const bool Counts = Now >= CountingStartsAt;
    ModelResult &Result = Results[Name];
    Result.Requests += Counts ? 1 : 0;
    ++OfferedRequests[Name];
    std::uniform_real_distribution<double> Draw(0, 1);
    if (ControlEnabled && Draw(Random) >= admittedShare(Plan, Name)) {
      Result.Refused += Counts ? 1 : 0;
      return;
    }
    ++AdmittedRequests[Name];
    auto Item = std::make_shared<Call>();
    Item->Class = &Class;
    Item->Route = Name;
    Item->CallerZone = Class.Zone;
    Item->StartedAt = Now;
    Item->Deadline = Now + millis(Class.DeadlineMs);
    const Instant Target = Now + millis(Class.TargetMs);
    Item->OnFinished = [this, &Result, Target, Counts](bool Success) {
      if (Success && Counts)
        ++(Now <= Target ? Result.AnsweredInTarget : Result.AnsweredLate);
    };
    submit(std::move(Item));
  });
}

bool LoadModel::hasLeft(const Server &One) const {
  return Now - Start >= One.Config.LeavesAfter;
}

LoadModel::Server &LoadModel::chooseServerFor(std::vector<Server> &All,
                                              const Call &Item) {
  if (!ControlEnabled || PlacedBySpeed)
    return *std::ranges::min_element(All, {}, [&](const Server &One) {
      return std::pair(hasLeft(One) || Item.Tried.contains(&One),
                       (One.Queue.Running + One.Queue.Waiting.size() + 1.0) *
                           One.Config.SlowdownFactor / One.Queue.MaxRunning);
    });
  std::vector<PlacementCandidate> Candidates(All.size());
  std::ranges::transform(All, Candidates.begin(), [&](const Server &One) {
    PlacementCandidate Choice;
    Choice.Load.Running = One.Queue.Running;
    Choice.Load.Waiting = static_cast<std::uint32_t>(One.Queue.Waiting.size());
    Choice.Load.MaxRunning = One.Queue.MaxRunning;
    Choice.Load.MeanServiceTime = One.Queue.MeanServiceTime;
    Choice.Load.RecentCalls = recentCalls(One.Failures, Now);
    Choice.Load.FailureRate = failureRate(One.Failures, Now);
    Choice.SameZone = One.Config.Zone == Item.CallerZone;
    Choice.Kilobytes = CallKilobytes;
    Choice.Load.Leaving = hasLeft(One) || Item.Tried.contains(&One);
    return Choice;
  });
  return All[*chooseServer(Candidates, millis(Item.Class->TargetMs),
                           PlacementRandom)];
}

void LoadModel::submit(std::shared_ptr<Call> Item) {
  Item->AssignedServer =
      &chooseServerFor(Services.at(Item->Class->Service), *Item);
  ++PlacedCalls;
  if (Item->AssignedServer->Config.Zone != Item->CallerZone)
    ++CrossZoneCalls;
  DispatchQueue &Queue = Item->AssignedServer->Queue;
  if (Item->Tried.empty())
    OfferedSeconds[Item->Class->Service] +=
        std::chrono::duration<double>(
            PricedByRoute ? expectedSlotTime(Item->AssignedServer->Work,
                                             Item->Route, Queue.MeanServiceTime)
                          : Queue.MeanServiceTime)
            .count();
  const CallRequirements Terms{
      Now, Item->Deadline, millis(Item->Class->TargetMs),
      dispatchRank(Item->Class->CustomerPriority, Item->Class->Priority),
      Item->IsNested};
  const std::uint64_t Id = ++LastId;
  // Without control, a call waits for a slot until its deadline.
  const Instant Latest = ControlEnabled ? latestStart(Terms) : Item->Deadline;
  const WaitingCall Entry{
      Id,
      dueTime(Terms),
      Item->Deadline,
      Latest,
      precedence(Terms),
      expectedSlotTime(Item->AssignedServer->Work, Item->Route, {})};
  switch (offerCall(Queue, Entry, Now)) {
  case QueueDecision::Run:
    run(Item);
    return;
  case QueueDecision::Wait:
    Waiting.emplace(Id, Item);
    if (ControlEnabled)
      refuseCalls(displaceCalls(Queue, Entry, Now));
    return;
  case QueueDecision::Refuse:
    placeAgain(Item);
    return;
  }
}

void LoadModel::run(const std::shared_ptr<Call> &Item) {
  Item->DispatchedAt = Now;
  Item->RemainingNestedCalls = Item->Class->NestedCalls;
  ++RunsByService[Item->Class->Service];
  const double Mean =
      Item->Class->WorkMs * Item->AssignedServer->Config.SlowdownFactor;
  std::uniform_real_distribution<double> Draw(0, 1);
  const ModelServer &Terms = Item->AssignedServer->Config;
  if (Now - Start < Terms.FailuresEndAfter && Terms.FailureProbability > 0 &&
      Draw(Random) < Terms.FailureProbability) {
    Item->Failed = true;
    schedule(Now + FailureDelay, [this, Item] { finish(Item); });
    return;
  }
  std::gamma_distribution<double> Work(4, Mean / 4);
  schedule(Now + millis(Work(Random)), [this, Item] { callNext(Item); });
}

void LoadModel::callNext(const std::shared_ptr<Call> &Item) {
  if (Item->RemainingNestedCalls == 0 || Item->Failed ||
      Now >= Item->Deadline) {
    Item->Failed = Item->Failed || Now >= Item->Deadline;
    finish(Item);
    return;
  }
  const ModelClass &Callee = Classes.at(Item->Class->Callee);
  const int Batch =
      Item->Class->CallsInParallel ? Item->RemainingNestedCalls : 1;
  auto Pending = std::make_shared<int>(Batch);
  for (int I = 0; I < Batch; ++I) {
    ++NestedCallsByService[Item->Class->Service][Callee.Service];
    auto Child = std::make_shared<Call>();
    Child->Class = &Callee;
    Child->Route = Item->Class->Callee;
    Child->StartedAt = Now;
    Child->IsNested = true;
    Child->CallerZone = Item->AssignedServer->Config.Zone;
    Child->Deadline = std::min(Item->Deadline, Now + millis(Callee.DeadlineMs));
    Child->OnFinished = [this, Item, Pending](bool Success) {
      Item->Failed = Item->Failed || !Success;
      --Item->RemainingNestedCalls;
      if (--*Pending == 0)
        schedule(Now, [this, Item] { callNext(Item); });
    };
    submit(std::move(Child));
  }
}

void LoadModel::finish(const std::shared_ptr<Call> &Item) {
  Server &At = *Item->AssignedServer;
  recordCallResult(At.Failures, Item->Failed, Now);
  releaseSlot(At.Queue, Now - Item->DispatchedAt);
  recordRouteWork(At.Work, Item->Route, Now - Item->DispatchedAt);
  RouteWorkSample &Work = WorkByService[Item->Class->Service][Item->Route];
  ++Work.Calls;
  Work.SlotSeconds +=
      std::chrono::duration<double>(Now - Item->DispatchedAt).count();
  Work.Nested = Item->Class->RequestsPerSecond <= 0;
  Item->OnFinished(!Item->Failed);
  runWaitingCalls(At);
}

void LoadModel::runWaitingCalls(Server &At) {
  while (const auto Next = dequeueCall(At.Queue)) {
    const std::shared_ptr<Call> Item = Waiting.at(Next->Id);
    Waiting.erase(Next->Id);
    run(Item);
  }
}

void LoadModel::refuseCalls(const std::vector<WaitingCall> &Calls) {
  for (const WaitingCall &Refused : Calls) {
    const std::shared_ptr<Call> Item = Waiting.at(Refused.Id);
    Waiting.erase(Refused.Id);
    placeAgain(Item);
  }
}

void LoadModel::placeAgain(const std::shared_ptr<Call> &Item) {
  std::vector<Server> &All = Services.at(Item->Class->Service);
  Item->Tried.insert(Item->AssignedServer);
  if (Now >= Item->Deadline || Item->Tried.size() >= All.size()) {
    Item->OnFinished(false);
    return;
  }
  submit(Item);
}

void LoadModel::updateAdmission(Instant End) {
  if (Now < End)
    schedule(Now + UpdateInterval, [this, End] { updateAdmission(End); });
  for (auto &[Name, Servers] : Services)
    for (Server &One : Servers)
      refuseCalls(dropExpired(One.Queue, Now));
  const double Seconds = std::chrono::duration<double>(UpdateInterval).count();
  std::map<std::string, ServiceStats> Uses;
  for (auto &[Name, Servers] : Services) {
    ServiceStats &Use = Uses[Name];
    double PerS = 0;
    double Held = 0;
    for (const Server &One : Servers) {
      if (hasLeft(One))
        continue;
      Use.Slots += One.Queue.MaxRunning;
      Held += static_cast<double>(One.Queue.Waiting.size());
      if (One.Queue.MeanServiceTime.count() > 0)
        PerS +=
            One.Queue.MaxRunning /
            std::chrono::duration<double>(One.Queue.MeanServiceTime).count();
    }
    Use.MeanServiceSeconds = PerS > 0 ? Use.Slots / PerS : 0;
    Use.WaitingPerSlot = Held / Use.Slots;
    Use.OfferedUtilization = OfferedSeconds[Name] / (Use.Slots * Seconds);
    if (PricedByRoute)
      Use.Work = WorkByService[Name];
    for (const auto &[Callee, Count] : NestedCallsByService[Name])
      if (RunsByService[Name] > 0)
        Use.NestedCallsPerRun[Callee] =
            static_cast<double>(Count) /
            static_cast<double>(RunsByService[Name]);
  }
  std::vector<RouteDemand> Demand;
  for (const auto &[Name, Class] : Classes)
    if (Class.RequestsPerSecond > 0)
      Demand.push_back(
          {Name, Class.Service, Class.CustomerPriority, Class.Priority,
           static_cast<double>(OfferedRequests[Name]) / Seconds,
           static_cast<double>(AdmittedRequests[Name]) / Seconds, Name});
  updatePlan(Plan, Demand, Uses, UpdateInterval);
  OfferedRequests.clear();
  AdmittedRequests.clear();
  OfferedSeconds.clear();
  WorkByService.clear();
}

std::map<std::string, ModelResult> LoadModel::simulate(Duration Length,
                                                       Duration CountFrom) {
  CountingStartsAt = Now + CountFrom;
  const Instant End = Now + Length;
  for (const auto &[Name, Class] : Classes)
    if (Class.RequestsPerSecond > 0)
      scheduleArrivals(Name, End);
  updateAdmission(End);
  while (!Events.empty()) {
    const auto [When, Id] = Events.top();
    Events.pop();
    Now = When;
    const std::function<void()> Task = std::move(Tasks.at(Id));
    Tasks.erase(Id);
    Task();
  }
  return Results;
}

} // namespace pollenwick
