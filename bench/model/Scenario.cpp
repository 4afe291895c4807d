#include "model/Scenario.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace pollenwick::model {

namespace {

/// Normal traffic against the capacity of the deployment.
constexpr double NormalLoad = 0.7;

/// Arrivals are judged for recovery over this time.
constexpr Duration RecoveryWindow = std::chrono::milliseconds(250);
/// Share of first attempts that succeed in normal operation.
constexpr double RecoveredShare = 0.98;

constexpr double CalibrationRate = 300;
constexpr Duration CalibrationTime = std::chrono::seconds(30);

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

struct Window {
  Instant From;
  Instant To;
  double length() const { return seconds(To - From); }
  bool holds(Instant At) const { return At >= From && At < To; }
};

std::vector<double> slotsOf(const Deployment &Fleet) {
  std::vector<double> Slots(Fleet.Reach.Services.size());
  for (const HostSpec &Host : Fleet.Rules.Hosts) {
    const ServiceIndex Service = Fleet.Reach.ServiceByName.at(Host.Service);
    Slots[Service] += Fleet.Reach.Slots[Service];
  }
  return Slots;
}

Matrix routesByCustomers(const Deployment &Fleet) {
  return Matrix(Fleet.Reach.Routes.size(),
                std::vector<double>(Fleet.Reach.Customers.size(), 0.0));
}

struct Shares {
  double Goodput = 0;
  double WorstCustomer = 0;
  double WorstWithinRate = 0;
  std::vector<double> ByService;
};

bool isOverRate(const Scenario &Story, CustomerIndex Customer) {
  return Story.Surge > 0 || (Story.HotCustomer > 1 && Customer == 0);
}

Shares sharesIn(const Deployment &Fleet, const Scenario &Story,
                const Calibration &Overloaded, const Counters &Count,
                const Window &Span) {
  Matrix Demand = routesByCustomers(Fleet);
  Matrix Done = Demand;
  for (const UserRecord &User : Count.Users) {
    if (Span.holds(User.ArrivedAt))
      Demand[User.Route][User.Customer] += 1 / Span.length();
    if (User.DoneAt && Span.holds(*User.DoneAt))
      Done[User.Route][User.Customer] += 1 / Span.length();
  }
  const Optimum Best =
      fillSlots(Fleet, Demand, Overloaded.Held, slotsOf(Fleet));
  constexpr double Infinity = std::numeric_limits<double>::infinity();
  Shares Result{Infinity, Infinity, Infinity,
                std::vector<double>(Best.Saturated.size(), -1.0)};
  auto Use = [&](const Matrix &Rates, auto Weight) {
    double Sum = 0;
    for (RouteIndex R = 0; R < Rates.size(); ++R)
      for (CustomerIndex T = 0; T < Rates[R].size(); ++T)
        Sum += Rates[R][T] * Weight(R, T);
    return Sum;
  };
  bool AnyFull = false;
  for (ServiceIndex S = 0; S < Best.Saturated.size(); ++S) {
    if (!Best.Saturated[S])
      continue;
    AnyFull = true;
    auto Held = [&](RouteIndex R, CustomerIndex) {
      return Overloaded.Held[R][S];
    };
    Result.ByService[S] = Use(Done, Held) / Use(Best.Served, Held);
    Result.Goodput = std::min(Result.Goodput, Result.ByService[S]);
  }
  auto One = [](RouteIndex, CustomerIndex) { return 1.0; };
  if (!AnyFull)
    Result.Goodput = Use(Done, One) / Use(Best.Served, One);
  for (CustomerIndex Customer = 0; Customer < Fleet.Reach.Customers.size();
       ++Customer) {
    auto Mine = [&](RouteIndex, CustomerIndex T) {
      return T == Customer ? 1.0 : 0.0;
    };
    const double Share = Use(Done, Mine) / Use(Best.Served, Mine);
    Result.WorstCustomer = std::min(Result.WorstCustomer, Share);
    if (!isOverRate(Story, Customer))
      Result.WorstWithinRate = std::min(Result.WorstWithinRate, Share);
  }
  return Result;
}

/// Time after `End` from which on the first attempts of all windows succeed.
double recoveryTime(const Counters &Count, const Window &After) {
  const auto Bins =
      static_cast<std::size_t>((After.To - After.From) / RecoveryWindow);
  std::vector<double> Arrived(Bins);
  std::vector<double> Good(Bins);
  for (const UserRecord &User : Count.Users) {
    if (!After.holds(User.ArrivedAt))
      continue;
    const auto Bin =
        std::min(Bins - 1, static_cast<std::size_t>(
                               (User.ArrivedAt - After.From) / RecoveryWindow));
    Arrived[Bin] += 1;
    Good[Bin] += User.FirstTry ? 1 : 0;
  }
  std::size_t Recovered = Bins;
  while (Recovered > 0 &&
         Good[Recovered - 1] >= RecoveredShare * Arrived[Recovered - 1])
    --Recovered;
  return Recovered == Bins
             ? -1
             : static_cast<double>(Recovered) * seconds(RecoveryWindow);
}

} // namespace

std::vector<Scenario> allScenarios() {
  // The first scenario measures the capacity with saturated servers.
  return {{"saturated at 1.1x", 1.1},
          {"surge 2x", 2},
          {"surge 5x", 5},
          {"surge 10x", 10},
          {"deep service at a tenth", 0, 10},
          {"hard retries at 2x", 2, 1, true},
          {"one tenant at 10x", 0, 1, false, 10},
          {"all at once", 5, 10, true, 10}};
}

Calibration calibrate(const Deployment &Fleet, double DeepSlowdown) {
  Settings Rules;
  Rules.Seed = 7;
  Phase Quiet;
  Quiet.End = Instant{} + CalibrationTime;
  Quiet.DeepSlowdown = DeepSlowdown;
  for (double Share : Fleet.CustomerShare)
    Quiet.CustomerRate.push_back(Share * CalibrationRate);
  Rules.Phases = {Quiet};
  Simulation Run(Fleet, Rules);
  Run.run();
  Calibration Result;
  Result.Held = Run.counters().HeldSeconds;
  for (RouteIndex Route = 0; Route < Result.Held.size(); ++Route)
    for (double &Held : Result.Held[Route])
      Held /= std::max<double>(
          1, static_cast<double>(Run.counters().Answered[Route]));
  Result.Capacity = mixCapacity(Fleet, Result.Held, slotsOf(Fleet));
  return Result;
}

Settings settingsFor(const Deployment &Fleet, const Scenario &Story,
                     Variant Kind, double Capacity, const Timeline &Times,
                     std::uint64_t Seed) {
  Settings Rules;
  Rules.Kind = Kind;
  Rules.Seed = Seed;
  Phase Normal;
  Normal.End = Instant{} + Times.Before;
  for (double Share : Fleet.CustomerShare)
    Normal.CustomerRate.push_back(Share * NormalLoad * Capacity);
  Phase Overload = Normal;
  Overload.End += Times.Overload;
  Overload.DeepSlowdown = Story.DeepSlowdown;
  if (Story.Surge > 0)
    for (double &Rate : Overload.CustomerRate)
      Rate *= Story.Surge / NormalLoad;
  Overload.CustomerRate[0] *= Story.HotCustomer;
  if (Story.HardRetries) {
    Overload.CallerRetries = 8;
    Overload.CallerBackoff = std::chrono::milliseconds(20);
  }
  Phase After = Normal;
  After.End = Overload.End + Times.After;
  Rules.Phases = {Normal, Overload, After};
  return Rules;
}

Measures measure(const Deployment &Fleet, const Scenario &Story,
                 const Calibration &Overloaded, const Timeline &Times,
                 const Counters &Count) {
  const Instant Start = Instant{} + Times.Before;
  const Instant End = Start + Times.Overload;
  Measures Result;
  const Shares Steady =
      sharesIn(Fleet, Story, Overloaded, Count, {Start + Times.Onset, End});
  Result.Goodput = Steady.Goodput;
  Result.WorstCustomer = Steady.WorstCustomer;
  Result.WorstWithinRate = Steady.WorstWithinRate;
  Result.ServiceGoodput = Steady.ByService;
  Result.GoodputOnset =
      sharesIn(Fleet, Story, Overloaded, Count, {Start, End}).Goodput;
  Result.Recovery = recoveryTime(Count, {End, End + Times.After});
  std::uint64_t WithinRate = 0;
  for (const UserRecord &User : Count.Users) {
    const bool OverRate =
        Story.Surge > 0 || (Story.HotCustomer > 1 && User.Customer == 0);
    // Outside the overload all customers are within their rate.
    const bool During = User.ArrivedAt >= Start && User.ArrivedAt < End;
    if (During && OverRate)
      continue;
    ++WithinRate;
    Result.RefusedWithinRate += User.DoneAt ? 0 : 1;
  }
  Result.RefusedWithinRateShare =
      static_cast<double>(Result.RefusedWithinRate) /
      static_cast<double>(std::max<std::uint64_t>(1, WithinRate));
  Result.MoneyShed = Count.MoneyShed;
  Result.MoneyShedBesideWorse = Count.MoneyShedBesideWorse;
  Result.UsefulWork = Count.UsefulSeconds / Count.WorkSeconds;
  Result.DeadRuns = Count.DeadRuns;
  return Result;
}

Measures runScenario(const Deployment &Fleet, const Scenario &Story,
                     Variant Kind, const Timeline &Times, std::uint64_t Seed) {
  const Calibration Normal = calibrate(Fleet, 1);
  const Calibration Overloaded =
      Story.DeepSlowdown > 1 ? calibrate(Fleet, Story.DeepSlowdown) : Normal;
  Simulation Run(Fleet,
                 settingsFor(Fleet, Story, Kind, Normal.Capacity, Times, Seed));
  Run.run();
  return measure(Fleet, Story, Overloaded, Times, Run.counters());
}

} // namespace pollenwick::model
