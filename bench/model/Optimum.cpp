#include "model/Optimum.h"

#include <algorithm>
#include <limits>

namespace pollenwick::model {

namespace {

constexpr double Tiny = 1e-9;

/// State of the progressive filling.
struct Filling {
  const Deployment &Fleet;
  const Matrix &Demand;
  const Matrix &Held;
  std::vector<double> Free;
  Optimum Result;
};

bool isFrozen(const Filling &Fill, RouteIndex Route, CustomerIndex Customer) {
  if (Fill.Result.Served[Route][Customer] >=
      Fill.Demand[Route][Customer] - Tiny)
    return true;
  for (ServiceIndex S = 0; S < Fill.Free.size(); ++S)
    if (Fill.Result.Saturated[S] && Fill.Held[Route][S] > 0)
      return true;
  return false;
}

/// Speed at which a cell fills: a customer's speed is its weight, divided among
/// its routes in proportion to what they ask for.
double speedOf(const Filling &Fill, RouteIndex Route, CustomerIndex Customer) {
  double Asked = 0;
  for (RouteIndex R = 0; R < Fill.Demand.size(); ++R)
    if (Fill.Fleet.Reach.Routes[R].Rank == Fill.Fleet.Reach.Routes[Route].Rank)
      Asked += Fill.Demand[R][Customer];
  return Asked > 0 ? Fill.Fleet.Reach.Weights[Customer] *
                         Fill.Demand[Route][Customer] / Asked
                   : 0;
}

/// Fills the cells of one class until the next cell or service is full.
/// Returns false when nothing is left to fill.
bool fillStep(Filling &Fill, std::uint32_t Rank) {
  Matrix Speed(Fill.Demand.size());
  std::vector<double> Use(Fill.Free.size());
  double Step = std::numeric_limits<double>::infinity();
  for (RouteIndex R = 0; R < Fill.Demand.size(); ++R) {
    Speed[R].resize(Fill.Demand[R].size());
    if (Fill.Fleet.Reach.Routes[R].Rank != Rank)
      continue;
    for (CustomerIndex T = 0; T < Speed[R].size(); ++T) {
      if (isFrozen(Fill, R, T))
        continue;
      Speed[R][T] = speedOf(Fill, R, T);
      Step = std::min(Step, (Fill.Demand[R][T] - Fill.Result.Served[R][T]) /
                                Speed[R][T]);
      for (ServiceIndex S = 0; S < Use.size(); ++S)
        Use[S] += Speed[R][T] * Fill.Held[R][S];
    }
  }
  if (Step == std::numeric_limits<double>::infinity())
    return false;
  for (ServiceIndex S = 0; S < Use.size(); ++S)
    if (Use[S] > 0)
      Step = std::min(Step, Fill.Free[S] / Use[S]);
  for (RouteIndex R = 0; R < Speed.size(); ++R)
    for (CustomerIndex T = 0; T < Speed[R].size(); ++T)
      Fill.Result.Served[R][T] += Step * Speed[R][T];
  for (ServiceIndex S = 0; S < Use.size(); ++S) {
    Fill.Free[S] -= Step * Use[S];
    Fill.Result.Saturated[S] = Fill.Result.Saturated[S] || Fill.Free[S] < Tiny;
  }
  return true;
}

} // namespace

Optimum fillSlots(const Deployment &Fleet, const Matrix &Demand,
                  const Matrix &Held, const std::vector<double> &Slots) {
  Filling Fill{Fleet, Demand, Held, Slots, {}};
  Fill.Result.Served = Matrix(
      Demand.size(), std::vector<double>(Fleet.Reach.Customers.size(), 0.0));
  Fill.Result.Saturated.resize(Slots.size());
  for (std::uint32_t Rank = 0; Rank < Fleet.Reach.RankCount; ++Rank)
    while (fillStep(Fill, Rank)) {
    }
  return Fill.Result;
}

double mixCapacity(const Deployment &Fleet, const Matrix &Held,
                   const std::vector<double> &Slots) {
  double Least = std::numeric_limits<double>::infinity();
  for (ServiceIndex S = 0; S < Slots.size(); ++S) {
    double PerRequest = 0;
    for (RouteIndex R = 0; R < Held.size(); ++R)
      PerRequest += Fleet.Share[R] * Held[R][S];
    if (PerRequest > 0)
      Least = std::min(Least, Slots[S] / PerRequest);
  }
  return Least;
}

} // namespace pollenwick::model
