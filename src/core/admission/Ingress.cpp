#include "core/admission/Ingress.h"

#include <algorithm>
#include <cassert>

namespace pollenwick {

namespace {

/// Distance from the "admit all" level within which an average is set to that
/// level. Otherwise the average would only approach it, and every relayed reply
/// would carry the level.
constexpr std::uint32_t AdmitAllSnapDistance = 256;

/// Bounds of the time after which a refused request may be retried.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);

std::uint32_t milliseconds(Instant At) {
  return static_cast<std::uint32_t>(At.time_since_epoch().count() / 1000);
}

Duration ageOf(const SmoothedLevel &Smoothed, Instant Now) {
  // Unsigned subtraction gives the right age even if the counter has wrapped
  // around.
  const auto Age =
      static_cast<std::int32_t>(milliseconds(Now) - Smoothed.ReportedAtMs);
  return std::chrono::milliseconds(std::max(0, Age));
}

/// Returns the averaged level as it applies now. A stale level rises at a
/// constant rate. The rise is slow compared with the time until a reply
/// arrives, so the report in the reply to one admitted request restores the
/// true level before the next worse class is admitted.
std::uint32_t relaxedLevel(const SmoothedLevel &Smoothed,
                           const IngressTuning &Tuning,
                           std::uint32_t AdmitAllValue, Instant Now) {
  const Duration Stale = ageOf(Smoothed, Now) - Tuning.HoldTime;
  if (Stale <= Duration::zero() || Smoothed.Value >= AdmitAllValue)
    return std::min(Smoothed.Value, AdmitAllValue);
  const double RelaxedRanks =
      static_cast<double>(Stale.count()) /
      static_cast<double>(Tuning.RelaxTimePerClass.count());
  const double Value = Smoothed.Value + RelaxedRanks * LevelsPerRank;
  return Value >= AdmitAllValue ? AdmitAllValue
                                : static_cast<std::uint32_t>(Value);
}

/// Adds a reported level to the moving average.
void updateSmoothedLevel(SmoothedLevel &Smoothed, AdmissionLevel Reported,
                         const IngressTuning &Tuning,
                         std::uint32_t AdmitAllValue, Duration ReportAge,
                         Instant Now) {
  const std::uint32_t Target = std::min(Reported.Value, AdmitAllValue);
  const double Current = relaxedLevel(Smoothed, Tuning, AdmitAllValue, Now);
  const bool Stale = ageOf(Smoothed, Now) > Tuning.HoldTime;
  // A server that still serves worse classes requests that the best class be
  // admitted completely. This overrides the reports of the service's other
  // servers.
  const bool ProtectsBestClass =
      Current < LevelsPerRank && Target >= LevelsPerRank;
  const double Weight =
      Stale || ProtectsBestClass ? 1.0 : Tuning.ReportWeightPermille / 1000.0;
  const double Blended = Current + Weight * (Target - Current);
  Smoothed.Value = static_cast<std::uint32_t>(Blended);
  if (Target == AdmitAllValue &&
      AdmitAllValue - Smoothed.Value < AdmitAllSnapDistance)
    Smoothed.Value = AdmitAllValue;
  const std::uint32_t At = milliseconds(Now - ReportAge);
  if (Stale || static_cast<std::int32_t>(At - Smoothed.ReportedAtMs) > 0)
    Smoothed.ReportedAtMs = At;
}

/// Returns whether some server of the service recently admitted calls of worse
/// classes than the best one.
bool servesLowerClasses(const IngressState &State, ServiceIndex Service) {
  return State.CommonLevels[Service].Value >
         LevelsPerRank + AdmitAllSnapDistance;
}

std::size_t customerLevelIndex(const BundleIndex &Index, ServiceIndex Service,
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
  const std::uint32_t AdmitAllValue = admitAllLevel(Index.RankCount).Value;
  const SmoothedLevel &CustomerLevel =
      State.CustomerLevels[customerLevelIndex(Index, Service, Customer)];
  return {
      std::min(relaxedLevel(State.CommonLevels[Service], State.Tuning,
                            AdmitAllValue, Now),
               relaxedLevel(CustomerLevel, State.Tuning, AdmitAllValue, Now))};
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
    AdmissionLevel EffectiveLevel =
        effectiveLevel(State, Index, Service, Request.Customer, Now);
    if (EffectiveLevel.Value < LevelsPerRank &&
        servesLowerClasses(State, Service))
      EffectiveLevel.Value = LevelsPerRank;
    if (EffectiveLevel < Result.AppliedLevel) {
      Result.AppliedLevel = EffectiveLevel;
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
  const std::uint32_t AdmitAllValue = admitAllLevel(Index.RankCount).Value;
  for (const ThresholdReport &Report : Reports) {
    if (Report.Service >= Index.Services.size())
      continue; // The sender uses another bundle.
    updateSmoothedLevel(State.CommonLevels[Report.Service], Report.CommonLevel,
                        State.Tuning, AdmitAllValue, Report.Age, Now);
    updateSmoothedLevel(State.CustomerLevels[customerLevelIndex(
                            Index, Report.Service, Customer)],
                        Report.CustomerLevel, State.Tuning, AdmitAllValue,
                        Report.Age, Now);
  }
}

void relayReports(const IngressState &State, const BundleIndex &Index,
                  RouteIndex Route, CustomerIndex Customer, Instant Now,
                  std::vector<ThresholdReport> &Reports) {
  const std::uint32_t AdmitAllValue = admitAllLevel(Index.RankCount).Value;
  const RouteDependencies &Reached = Index.Routes[Route];
  for (ServiceIndex Service : Reached.ReachedServices) {
    if (Service == Reached.Service)
      continue;
    const SmoothedLevel &Common = State.CommonLevels[Service];
    const SmoothedLevel &CustomerLevel =
        State.CustomerLevels[customerLevelIndex(Index, Service, Customer)];
    if (Common.Value >= AdmitAllValue && CustomerLevel.Value >= AdmitAllValue)
      continue;
    // Relayed levels are not relaxed here: the caller relaxes them by their
    // age.
    Reports.push_back(
        {Service,
         {std::min(CustomerLevel.Value, AdmitAllValue)},
         {std::min(Common.Value, AdmitAllValue)},
         std::min(ageOf(Common, Now), ageOf(CustomerLevel, Now))});
  }
}

} // namespace pollenwick
