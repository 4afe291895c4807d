#include "model/Simulation.h"

#include <algorithm>
#include <cmath>

#include "model/SimulationState.h"

namespace pollenwick::model {

namespace {

constexpr Duration TickTime = std::chrono::milliseconds(50);
constexpr Duration SameZone = std::chrono::microseconds(100);
/// Events after the last phase: time for the calls in flight to end.
constexpr Duration RunOut = std::chrono::seconds(1);

} // namespace

struct Simulation::Later {
  bool operator()(const Event &A, const Event &B) const {
    return std::tie(A.At, A.Order) > std::tie(B.At, B.Order);
  }
};

Simulation::Simulation(const Deployment &Fleet, Settings Rules)
    : Fleet(Fleet), Rules(std::move(Rules)), Random(this->Rules.Seed) {
  const BundleIndex &Reach = Fleet.Reach;
  for (const HostSpec &Spec : Fleet.Rules.Hosts) {
    HostModel Host;
    Host.Callee = makeCallee(Reach, Reach.ServiceByName.at(Spec.Service), Now);
    Host.Ingress = makeIngress(Reach);
    Host.Table = makeHostTable(Fleet.Rules, Reach, nullptr, Now);
    Hosts.push_back(std::move(Host));
  }
  Count.HeldSeconds = Matrix(Reach.Routes.size(),
                             std::vector<double>(Reach.Services.size(), 0.0));
  Count.RefusedBy =
      Matrix(Reach.Customers.size(), std::vector<double>(32, 0.0));
  Count.Answered.resize(Reach.Routes.size());
  Count.HostRuns.resize(Hosts.size());
}

Simulation::~Simulation() = default;

void Simulation::schedule(Instant At, std::function<void()> Action) {
  Events.push_back({At, NextOrder++, std::move(Action)});
  std::push_heap(Events.begin(), Events.end(), Later());
}

void Simulation::run() {
  for (CustomerIndex Customer = 0; Customer < Fleet.Reach.Customers.size();
       ++Customer)
    schedule(Now, [this, Customer] { arrive(Customer); });
  schedule(Now, [this] { tick(); });
  const Instant End = Rules.Phases.back().End + RunOut;
  while (!Events.empty() && Events.front().At <= End) {
    std::pop_heap(Events.begin(), Events.end(), Later());
    Event Next = std::move(Events.back());
    Events.pop_back();
    Now = Next.At;
    Next.Action();
  }
}

double Simulation::uniform() {
  return static_cast<double>(Random() >> 11) * 0x1.0p-53;
}

double Simulation::exponential(double Mean) {
  return -Mean * std::log1p(-uniform());
}

const Phase *Simulation::phase() const {
  for (const Phase &Candidate : Rules.Phases)
    if (Now < Candidate.End)
      return &Candidate;
  return nullptr;
}

Duration Simulation::between(HostIndex From, HostIndex To) const {
  if (From == To)
    return Duration::zero();
  const HostTable &Table = Hosts[From].Table;
  return Table.Hosts[From].Zone == Table.Hosts[To].Zone ? SameZone
                                                        : Fleet.BetweenZones;
}

RouteIndex Simulation::drawRoute() {
  double Left = uniform();
  RouteIndex Last = 0;
  for (RouteIndex Route = 0; Route < Fleet.Share.size(); ++Route) {
    if (Fleet.Share[Route] <= 0)
      continue;
    Last = Route;
    Left -= Fleet.Share[Route];
    if (Left < 0)
      break;
  }
  return Last;
}

void Simulation::tick() {
  for (HostIndex Host = 0; Host < Hosts.size(); ++Host) {
    refreshThreshold(Hosts[Host].Callee, Fleet.Reach, Now);
    if (full())
      takeWaiting(Host);
  }
  schedule(Now + TickTime, [this] { tick(); });
}

void Simulation::arrive(CustomerIndex Customer) {
  const Phase *Current = phase();
  if (!Current)
    return;
  const double Rate = Current->CustomerRate[Customer];
  // A customer without traffic is looked at again when the phase may change.
  const double Gap = Rate > 0 ? exponential(1 / Rate) : 0.05;
  schedule(Now + Duration{static_cast<std::int64_t>(Gap * 1e6) + 1},
           [this, Customer] { arrive(Customer); });
  if (Rate <= 0)
    return;
  UserRecord User;
  User.ArrivedAt = Now;
  User.Customer = Customer;
  User.Route = drawRoute();
  Count.Users.push_back(User);
  attempt(Count.Users.size() - 1);
}

void Simulation::attempt(std::size_t UserNumber) {
  UserRecord &User = Count.Users[UserNumber];
  ++User.Attempts;
  auto Root = std::make_shared<RootState>();
  Root->User = UserNumber;
  Root->Route = User.Route;
  Root->Customer = User.Customer;
  Root->Rank = Fleet.Reach.Routes[User.Route].Rank;
  Root->Hash = Random();
  Root->Ingress = static_cast<HostIndex>(Random() % Hosts.size());
  Root->AdmittedAt = Now + Fleet.FromClient;
  Root->Deadline = Now + Rules.Deadline;
  Root->HeldSeconds.resize(Fleet.Reach.Services.size());
  schedule(Root->AdmittedAt, [this, Root] { ingress(Root); });
  schedule(Root->Deadline, [this, Root] { closeRoot(Root, false); });
}

void Simulation::ingress(const RootPtr &Root) {
  if (full()) {
    const AdmitResult Verdict =
        Rules.Admit(Hosts[Root->Ingress].Ingress, Fleet.Reach,
                    {Root->Route, Root->Customer, Root->Hash}, Now);
    if (!Verdict.Admitted) {
      ++Count.Refusals;
      ++Count.RefusedBy[Root->Customer][0];
      noteMoneyShed(Root, Verdict.LimitingService);
      closeRoot(Root, false);
      return;
    }
  }
  auto Call = std::make_shared<CallState>();
  Call->Root = Root;
  Call->Route = Root->Route;
  Call->From = Root->Ingress;
  callOut(Call);
}

void Simulation::closeRoot(const RootPtr &Root, bool Answered) {
  if (Root->Closed)
    return;
  Root->Closed = true;
  Root->ClosedAt = Now;
  UserRecord &User = Count.Users[Root->User];
  if (Answered) {
    Count.UsefulSeconds += Root->WorkSeconds;
    ++Count.Answered[Root->Route];
    for (std::size_t S = 0; S < Root->HeldSeconds.size(); ++S)
      Count.HeldSeconds[Root->Route][S] += Root->HeldSeconds[S];
    User.FirstTry = User.Attempts == 1;
    User.DoneAt = Now + Fleet.FromClient;
    return;
  }
  if (full())
    cancelCalls(Root);
  const Phase *Current = phase();
  if (!Current || User.Attempts > Current->CallerRetries)
    return;
  const auto Backoff = static_cast<double>(Current->CallerBackoff.count());
  const Duration Wait{static_cast<std::int64_t>(Backoff * (0.5 + uniform()))};
  schedule(Now + Fleet.FromClient + Wait,
           [this, User = Root->User] { attempt(User); });
}

/// Cancellation travels down the tree, one hop after the other.
void Simulation::cancelCalls(const RootPtr &Root) {
  Duration Delay{};
  for (const std::weak_ptr<CallState> &Open : Root->Open) {
    const CallPtr Call = Open.lock();
    if (!Call)
      continue;
    Delay += Fleet.BetweenZones;
    schedule(Now + Delay, [this, Call] {
      if (Call->Ended)
        return;
      if (Call->InSlot)
        freeSlot(Call, false);
      else
        cancelWaitingCall(Hosts[Call->Host].Callee, Call->Id);
      Hosts[Call->Host].Waiting.erase(Call->Id);
      Call->Ended = true;
      onHostReply(Hosts[Call->From].Table, Call->Host,
                  {HostReplyKind::Abandoned, 0}, Now);
      takeWaiting(Call->Host);
    });
  }
  Root->Open.clear();
}

void Simulation::noteMoneyShed(const RootPtr &Root, ServiceIndex Service) {
  if (Root->Rank != 0)
    return;
  ++Count.MoneyShed;
  const bool Beside =
      std::any_of(Hosts.begin(), Hosts.end(), [&](const HostModel &Host) {
        return Host.Callee.Service == Service &&
               std::any_of(Host.Callee.Running.begin() + 1,
                           Host.Callee.Running.end(),
                           [](std::uint32_t Calls) { return Calls > 0; });
      });
  Count.MoneyShedBesideWorse += Beside ? 1 : 0;
}

void Simulation::callOut(const CallPtr &Call) {
  HostTable &Table = Hosts[Call->From].Table;
  const ServiceIndex Service = Fleet.Reach.Routes[Call->Route].Service;
  Call->Id = CallId(NextId++);
  Call->Ended = false;
  if (full()) {
    const HostChoice Choice =
        chooseHost(Table, {Service, Table.Hosts[Call->From].Zone, Call->Tried},
                   Random, Now);
    if (!Choice.Host) {
      ++Count.Refusals;
      Call->Ended = true;
      if (Call->Parent)
        endCall(Call->Parent, false);
      else
        closeRoot(Call->Root, false);
      return;
    }
    Call->Host = *Choice.Host;
  } else {
    const std::vector<HostIndex> &Hosts = Table.Services[Service].Hosts;
    Call->Host = Hosts[Random() % Hosts.size()];
  }
  schedule(Now + between(Call->From, Call->Host),
           [this, Call] { arriveAtCallee(Call); });
}

} // namespace pollenwick::model
