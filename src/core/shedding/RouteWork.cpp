#include "core/shedding/RouteWork.h"

#include <algorithm>

namespace pollenwick {
namespace {

/// Weight of one call in the moving average of a route's slot time.
constexpr double SlotTimeWeight = 0.05;
/// Most routes that are counted by name; further ones share one entry. It
/// bounds the size of a status.
constexpr std::size_t MaxRoutes = 256;
constexpr const char *OtherRoutes = "(other)";
/// Number of calls below which smoothed evidence does not fade. A route that
/// gets few calls, because most of its requests are refused, keeps its cost.
constexpr double MinEvidenceCalls = 10;

} // namespace

void recordRouteWork(RouteWork &Work, const std::string &Route,
                     Duration SlotTime) {
  auto Found = Work.Routes.find(Route);
  if (Found == Work.Routes.end())
    Found =
        Work.Routes
            .try_emplace(Work.Routes.size() < MaxRoutes ? Route : OtherRoutes)
            .first;
  RouteWork::Entry &Entry = Found->second;
  ++Entry.Calls;
  Entry.SlotMicros += static_cast<std::uint64_t>(SlotTime.count());
  if (Entry.MeanSlotTime.count() == 0)
    Entry.MeanSlotTime = SlotTime;
  else
    Entry.MeanSlotTime += std::chrono::duration_cast<Duration>(
        (SlotTime - Entry.MeanSlotTime) * SlotTimeWeight);
}

Duration expectedSlotTime(const RouteWork &Work, const std::string &Route,
                          Duration Otherwise) {
  const auto Found = Work.Routes.find(Route);
  return Found == Work.Routes.end() || Found->second.MeanSlotTime.count() == 0
             ? Otherwise
             : Found->second.MeanSlotTime;
}

void forgetMeanSlotTimes(RouteWork &Work) {
  for (auto &[Route, Entry] : Work.Routes)
    Entry.MeanSlotTime = Duration{};
}

void smoothServiceWork(ServiceWork &Smoothed, const ServiceWork &Latest,
                       double Weight) {
  for (auto &[Route, Known] : Smoothed) {
    if (Known.Calls <= MinEvidenceCalls)
      continue;
    const double Kept = std::max(1 - Weight, MinEvidenceCalls / Known.Calls);
    Known.Calls *= Kept;
    Known.SlotSeconds *= Kept;
  }
  for (const auto &[Route, Sample] : Latest) {
    RouteWorkSample &Known = Smoothed[Route];
    Known.Calls += Sample.Calls;
    Known.SlotSeconds += Sample.SlotSeconds;
    Known.Nested = Sample.Nested;
  }
}

double directCallSeconds(const ServiceWork &Work, const std::string &Route,
                         double Otherwise) {
  const auto Found = Work.find(Route);
  return Found == Work.end() || Found->second.Calls <= 0
             ? Otherwise
             : Found->second.SlotSeconds / Found->second.Calls;
}

double nestedCallSeconds(const ServiceWork &Work, double Otherwise) {
  double Calls = 0;
  double SlotSeconds = 0;
  for (const auto &[Route, Sample] : Work) {
    Calls += Sample.Nested ? Sample.Calls : 0;
    SlotSeconds += Sample.Nested ? Sample.SlotSeconds : 0;
  }
  return Calls > 0 ? SlotSeconds / Calls : Otherwise;
}

} // namespace pollenwick
