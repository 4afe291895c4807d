#include "core/admission/Ingress.h"

#include <algorithm>
#include <cassert>

namespace pollenwick {

namespace {

/// Levels this close to "admit all" are taken as such; the average would only
/// approach it and keep the level in every relayed reply.
constexpr std::uint32_t SnapDistance = 256;

constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);

std::uint32_t milliseconds(Instant At) {
  return static_cast<std::uint32_t>(At.time_since_epoch().count() / 1000);
}

Duration ageOf(const SmoothedLevel &Held, Instant Now) {
  // Unsigned subtraction is right across the wrap of the counter.
  const auto Age =
      static_cast<std::int32_t>(milliseconds(Now) - Held.ReportedAtMs);
  return std::chrono::milliseconds(std::max(0, Age));
}

/// A stale level rises at a constant pace. The pace is slow against the time
/// of a reply, so one admitted request brings the true level back before the
/// class below is open.
std::uint32_t relaxed(const SmoothedLevel &Held, const IngressTuning &Tuning,
                      std::uint32_t Top, Instant Now) {
  const Duration Stale = ageOf(Held, Now) - Tuning.HoldTime;
  if (Stale <= Duration::zero() || Held.Value >= Top)
    return std::min(Held.Value, Top);
  const double Rise = static_cast<double>(Stale.count()) /
                      static_cast<double>(Tuning.RelaxTimePerClass.count());
  const double Value = Held.Value + Rise * LevelsPerRank;
  return Value >= Top ? Top : static_cast<std::uint32_t>(Value);
}

void learn(SmoothedLevel &Held, AdmissionLevel Reported,
           const IngressTuning &Tuning, std::uint32_t Top, Duration ReportAge,
           Instant Now) {
  const std::uint32_t Target = std::min(Reported.Value, Top);
  const double Current = relaxed(Held, Tuning, Top, Now);
  const bool Stale = ageOf(Held, Now) > Tuning.HoldTime;
  // A server that still serves worse classes asks for the whole best class,
  // whatever the other servers of its service ask for.
  const bool Protects = Current < LevelsPerRank && Target >= LevelsPerRank;
  const double Weight =
      Stale || Protects ? 1.0 : Tuning.ReportWeightPermille / 1000.0;
  const double Mixed = Current + Weight * (Target - Current);
  Held.Value = static_cast<std::uint32_t>(Mixed);
  if (Target == Top && Top - Held.Value < SnapDistance)
    Held.Value = Top;
  const std::uint32_t At = milliseconds(Now - ReportAge);
  if (Stale || static_cast<std::int32_t>(At - Held.ReportedAtMs) > 0)
    Held.ReportedAtMs = At;
}

/// Some server of the service lately admitted more than the best class.
bool servesWorseClasses(const IngressState &State, ServiceIndex Service) {
  return State.CommonLevels[Service].Value > LevelsPerRank + SnapDistance;
}

std::size_t cellOf(const BundleIndex &Index, ServiceIndex Service,
                   CustomerIndex Customer) {
  return std::size_t{Customer} * Index.Services.size() + Service;
}

} // namespace

IngressState makeIngress(const BundleIndex &Index, IngressTuning Tuning) {
  IngressState State;
  State.Tuning = Tuning;
  State.CommonLevels.resize(Index.Services.size());
  State.CustomerLevels.resize(Index.Services.size() * Index.Customers.size());
  State.Counters.resize(Index.Customers.size());
  return State;
}

AdmissionLevel effectiveLevel(const IngressState &State,
                              const BundleIndex &Index, ServiceIndex Service,
                              CustomerIndex Customer, Instant Now) {
  const std::uint32_t Top = admitAllLevel(Index.RankCount).Value;
  const SmoothedLevel &Own =
      State.CustomerLevels[cellOf(Index, Service, Customer)];
  return {std::min(relaxed(State.CommonLevels[Service], State.Tuning, Top, Now),
                   relaxed(Own, State.Tuning, Top, Now))};
}

AdmitResult admit(IngressState &State, const BundleIndex &Index,
                  const RootRequest &Request, Instant Now) {
  assert(Request.Route < Index.Routes.size());
  assert(Request.Customer < Index.Customers.size());
  const RouteDependencies &Route = Index.Routes[Request.Route];
  AdmitResult Result;
  Result.AppliedLevel = admitAllLevel(Index.RankCount);
  Result.LimitingService = Route.Service;
  for (ServiceIndex Service : Route.ReachedServices) {
    AdmissionLevel Held =
        effectiveLevel(State, Index, Service, Request.Customer, Now);
    if (Held.Value < LevelsPerRank && servesWorseClasses(State, Service))
      Held.Value = LevelsPerRank;
    if (Held < Result.AppliedLevel) {
      Result.AppliedLevel = Held;
      Result.LimitingService = Service;
    }
  }
  const AdmissionLevel Position = sheddingPosition(Route.Rank, Request.Hash);
  Result.Admitted = Position < Result.AppliedLevel;
  if (Result.Admitted) {
    ++State.Counters[Request.Customer].Admitted;
    return Result;
  }
  ++State.Counters[Request.Customer].Shed;
  Result.Reason = RefusalReason::Shed;
  const double Distance =
      static_cast<double>(Position.Value - Result.AppliedLevel.Value) /
      LevelsPerRank;
  const Duration Wait{static_cast<std::int64_t>(
      Distance * static_cast<double>(State.Tuning.RelaxTimePerClass.count()))};
  Result.RetryAfter = std::clamp(Wait, MinRetryAfter, MaxRetryAfter);
  return Result;
}

void learnLevels(IngressState &State, const BundleIndex &Index,
                 CustomerIndex Customer,
                 std::span<const ThresholdReport> Reports, Instant Now) {
  const std::uint32_t Top = admitAllLevel(Index.RankCount).Value;
  for (const ThresholdReport &Report : Reports) {
    if (Report.Service >= Index.Services.size())
      continue; // The sender has another bundle.
    learn(State.CommonLevels[Report.Service], Report.CommonLevel, State.Tuning,
          Top, Report.Age, Now);
    learn(State.CustomerLevels[cellOf(Index, Report.Service, Customer)],
          Report.CustomerLevel, State.Tuning, Top, Report.Age, Now);
  }
}

void relayReports(const IngressState &State, const BundleIndex &Index,
                  RouteIndex Route, CustomerIndex Customer, Instant Now,
                  std::vector<ThresholdReport> &Reports) {
  const std::uint32_t Top = admitAllLevel(Index.RankCount).Value;
  const RouteDependencies &Reached = Index.Routes[Route];
  for (ServiceIndex Service : Reached.ReachedServices) {
    if (Service == Reached.Service)
      continue;
    const SmoothedLevel &Common = State.CommonLevels[Service];
    const SmoothedLevel &Own =
        State.CustomerLevels[cellOf(Index, Service, Customer)];
    if (Common.Value >= Top && Own.Value >= Top)
      continue;
    // The caller relaxes the level by the age itself.
    Reports.push_back({Service,
                       {std::min(Own.Value, Top)},
                       {std::min(Common.Value, Top)},
                       std::min(ageOf(Common, Now), ageOf(Own, Now))});
  }
}

} // namespace pollenwick
