#include "LoadModel.h"

#include <algorithm>

namespace pollenwick {
namespace {

constexpr Duration TickEvery = std::chrono::milliseconds(250);
constexpr Instant Start{std::chrono::seconds(1)};
constexpr Duration FailsAfter = std::chrono::milliseconds(2);

Duration millis(double Value) {
  return Duration(static_cast<std::int64_t>(Value * 1000));
}

} // namespace

LoadModel::LoadModel(
    std::map<std::string, ModelClass> TheClasses,
    const std::map<std::string, std::vector<ModelServer>> &TheServices,
    bool WithControl, std::uint32_t Seed)
    : Classes(std::move(TheClasses)), Control(WithControl), Random(Seed),
      Now(Start) {
  for (const auto &[Name, Servers] : TheServices)
    for (const ModelServer &Terms : Servers) {
      Server New{Terms, {}, {}};
      New.Queue.Limit = concurrencyLimit(Terms.Slots);
      Services[Name].push_back(New);
    }
}

void LoadModel::at(Instant When, std::function<void()> Task) {
  Events.emplace(When, ++LastId);
  Tasks.emplace(LastId, std::move(Task));
}

void LoadModel::arrive(const std::string &Name, Instant End) {
  const ModelClass &Class = Classes.at(Name);
  std::exponential_distribution<double> Gap(Class.PerS);
  at(Now + millis(Gap(Random) * 1000), [this, &Name, &Class, End] {
    if (Now < End)
      arrive(Name, End);
    const bool Counts = Now >= CountedFrom;
    ModelResult &Result = Results[Name];
    Result.Asked += Counts ? 1 : 0;
    ++Offered[Name];
    std::uniform_real_distribution<double> Draw(0, 1);
    if (Control && Draw(Random) >= admittedShare(Plan, Name)) {
      Result.Refused += Counts ? 1 : 0;
      return;
    }
    ++Admitted[Name];
    auto Item = std::make_shared<Call>();
    Item->Class = &Class;
    Item->Began = Now;
    Item->Deadline = Now + millis(Class.DeadlineMs);
    const Instant Target = Now + millis(Class.TargetMs);
    Item->Done = [this, &Result, Target, Counts](bool Success) {
      if (Success && Counts && Now <= Target)
        ++Result.InTarget;
    };
    submit(std::move(Item));
  });
}

LoadModel::Server &LoadModel::choose(std::vector<Server> &All) {
  if (!Control)
    return *std::ranges::min_element(All, {}, [](const Server &One) {
      return (One.Queue.Running + One.Queue.Waiting.size() + 1.0) *
             One.Terms.Factor / One.Queue.Limit;
    });
  std::vector<Candidate> Candidates(All.size());
  std::ranges::transform(All, Candidates.begin(), [&](const Server &One) {
    Candidate Choice;
    Choice.Load.Running = One.Queue.Running;
    Choice.Load.Waiting = static_cast<std::uint32_t>(One.Queue.Waiting.size());
    Choice.Load.Limit = One.Queue.Limit;
    Choice.Load.Service = One.Queue.Service;
    Choice.Load.FailureShare = failureShare(One.Failures, Now);
    Choice.SameZone = true;
    return Choice;
  });
  return All[*choosePlacement(Candidates, PlacementRandom)];
}

void LoadModel::submit(std::shared_ptr<Call> Item) {
  Item->At = &choose(Services.at(Item->Class->Service));
  DispatchQueue &Queue = Item->At->Queue;
  OfferedSeconds[Item->Class->Service] +=
      std::chrono::duration<double>(Queue.Service).count();
  const CallTerms Terms{
      Now, Item->Deadline, millis(Item->Class->TargetMs),
      dispatchRank(Item->Class->CustomerPriority, Item->Class->Priority),
      Item->Nested};
  const std::uint64_t Id = ++LastId;
  // Without control a call waits as long as it may.
  const Instant Latest = Control ? latestStart(Terms) : Item->Deadline;
  const WaitingCall Entry{Id, dueTime(Terms), Item->Deadline, Latest};
  switch (offerCall(Queue, Entry, Now)) {
  case QueueDecision::Run:
    run(Item);
    return;
  case QueueDecision::Wait:
    Waiting.emplace(Id, std::move(Item));
    return;
  case QueueDecision::Refuse:
    Item->Done(false);
    return;
  }
}

void LoadModel::run(const std::shared_ptr<Call> &Item) {
  Item->Dispatched = Now;
  Item->Left = Item->Class->Calls;
  ++Runs[Item->Class->Service];
  const double Mean = Item->Class->WorkMs * Item->At->Terms.Factor;
  std::uniform_real_distribution<double> Draw(0, 1);
  const ModelServer &Terms = Item->At->Terms;
  if (Now - Start < Terms.LosesUntil && Terms.Loses > 0 &&
      Draw(Random) < Terms.Loses) {
    Item->Failed = true;
    at(Now + FailsAfter, [this, Item] { finish(Item); });
    return;
  }
  std::gamma_distribution<double> Work(4, Mean / 4);
  at(Now + millis(Work(Random)), [this, Item] { callNext(Item); });
}

void LoadModel::callNext(const std::shared_ptr<Call> &Item) {
  if (Item->Left == 0 || Item->Failed || Now >= Item->Deadline) {
    Item->Failed = Item->Failed || Now >= Item->Deadline;
    finish(Item);
    return;
  }
  const ModelClass &Callee = Classes.at(Item->Class->Callee);
  const int Batch = Item->Class->Together ? Item->Left : 1;
  auto Pending = std::make_shared<int>(Batch);
  for (int I = 0; I < Batch; ++I) {
    ++Nested[Item->Class->Service][Callee.Service];
    auto Child = std::make_shared<Call>();
    Child->Class = &Callee;
    Child->Began = Now;
    Child->Nested = true;
    Child->Deadline = std::min(Item->Deadline, Now + millis(Callee.DeadlineMs));
    Child->Done = [this, Item, Pending](bool Success) {
      Item->Failed = Item->Failed || !Success;
      --Item->Left;
      if (--*Pending == 0)
        at(Now, [this, Item] { callNext(Item); });
    };
    submit(std::move(Child));
  }
}

void LoadModel::finish(const std::shared_ptr<Call> &Item) {
  Server &At = *Item->At;
  countEnd(At.Failures, Item->Failed, Now);
  finishCall(At.Queue, Now - Item->Dispatched);
  Item->Done(!Item->Failed);
  takeWaiting(At);
}

void LoadModel::takeWaiting(Server &At) {
  while (const auto Next = takeNext(At.Queue)) {
    const std::shared_ptr<Call> Item = Waiting.at(Next->Id);
    Waiting.erase(Next->Id);
    run(Item);
  }
}

void LoadModel::tick(Instant End) {
  if (Now < End)
    at(Now + TickEvery, [this, End] { tick(End); });
  for (auto &[Name, Servers] : Services)
    for (Server &One : Servers)
      for (const WaitingCall &Expired : dropExpired(One.Queue, Now)) {
        const std::shared_ptr<Call> Item = Waiting.at(Expired.Id);
        Waiting.erase(Expired.Id);
        Item->Done(false);
      }
  const double Seconds = std::chrono::duration<double>(TickEvery).count();
  std::map<std::string, ServiceUse> Uses;
  for (auto &[Name, Servers] : Services) {
    ServiceUse &Use = Uses[Name];
    double PerS = 0;
    double Held = 0;
    for (const Server &One : Servers) {
      Use.Slots += One.Queue.Limit;
      Held += static_cast<double>(One.Queue.Waiting.size());
      if (One.Queue.Service.count() > 0)
        PerS += One.Queue.Limit /
                std::chrono::duration<double>(One.Queue.Service).count();
    }
    Use.MeanServiceSeconds = PerS > 0 ? Use.Slots / PerS : 0;
    Use.WaitingPerSlot = Held / Use.Slots;
    Use.OfferedUtilization = OfferedSeconds[Name] / (Use.Slots * Seconds);
    for (const auto &[Callee, Count] : Nested[Name])
      if (Runs[Name] > 0)
        Use.NestedCallsPerRun[Callee] =
            static_cast<double>(Count) / static_cast<double>(Runs[Name]);
  }
  std::vector<RouteDemand> Demand;
  for (const auto &[Name, Class] : Classes)
    if (Class.PerS > 0)
      Demand.push_back({Name, Class.Service, Class.CustomerPriority,
                        Class.Priority,
                        static_cast<double>(Offered[Name]) / Seconds,
                        static_cast<double>(Admitted[Name]) / Seconds});
  updatePlan(Plan, Demand, Uses, TickEvery);
  Offered.clear();
  Admitted.clear();
  OfferedSeconds.clear();
}

std::map<std::string, ModelResult> LoadModel::play(Duration Length,
                                                   Duration CountFrom) {
  CountedFrom = Now + CountFrom;
  const Instant End = Now + Length;
  for (const auto &[Name, Class] : Classes)
    if (Class.PerS > 0)
      arrive(Name, End);
  tick(End);
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
