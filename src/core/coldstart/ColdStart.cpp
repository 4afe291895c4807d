#include "core/coldstart/ColdStart.h"

#include <algorithm>
#include <cmath>

namespace pollenwick {
namespace {

/// The bound on requests to a cold server holds in each second.
constexpr Duration BoundWindow = std::chrono::seconds(1);

} // namespace

ColdStartLimiter coldStartLimiter(Instant NodeStartedAt) {
  ColdStartLimiter Limiter;
  // An earlier process may have used the whole bound just before it ended.
  Limiter.NoStartsBefore = NodeStartedAt + BoundWindow;
  return Limiter;
}

std::size_t startsPerWindow(const ColdStartRule &Rule) {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::floor(Rule.StartsPerS)));
}

Duration startWindow(const ColdStartRule &Rule) {
  if (Rule.StartsPerS >= 1 || Rule.StartsPerS <= 0)
    return BoundWindow;
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(BoundWindow.count()) / Rule.StartsPerS));
}

void reportCold(ColdStartLimiter &Limiter, Duration Remaining, Instant Now) {
  Limiter.ColdUntil = Now + Remaining;
}

void assumeCold(ColdStartLimiter &Limiter, Instant Now) {
  Limiter.ColdUntil = std::max(Limiter.ColdUntil, Now + Limiter.Rule.ColdTime);
}

bool isCold(const ColdStartLimiter &Limiter, Instant Now) {
  return Limiter.Rule.StartsPerS > 0 && Now < Limiter.ColdUntil;
}

Instant startTime(const ColdStartLimiter &Limiter, std::size_t CallsAhead,
                  Instant Now) {
  if (!isCold(Limiter, Now))
    return Now;
  const std::size_t Count = startsPerWindow(Limiter.Rule);
  const Duration Window = startWindow(Limiter.Rule);
  const Instant Earliest = std::max(Now, Limiter.NoStartsBefore);
  // Each start is at least a window after the one `Count` places before it.
  const std::size_t Recorded = std::min(Limiter.LatestStarts.size(), Count);
  const std::size_t Unused = Count - Recorded;
  const std::size_t Place = CallsAhead % Count;
  Instant Start = Earliest;
  if (Place >= Unused) {
    const std::size_t Oldest = Limiter.LatestStarts.size() - Recorded;
    Start =
        std::max(Start, Limiter.LatestStarts[Oldest + Place - Unused] + Window);
  }
  Start += Window * static_cast<std::int64_t>(CallsAhead / Count);
  // Calls that wait beyond the end of the cold time start then.
  return std::min(Start, std::max(Now, Limiter.ColdUntil));
}

std::uint32_t coldStartsLeft(const ColdStartLimiter &Limiter, Instant Now) {
  if (!isCold(Limiter, Now) || Now < Limiter.NoStartsBefore)
    return 0;
  const Duration Window = startWindow(Limiter.Rule);
  const auto Used = static_cast<std::size_t>(
      std::ranges::count_if(Limiter.LatestStarts, [&](Instant Start) {
        return Start + Window > Now;
      }));
  const std::size_t Count = startsPerWindow(Limiter.Rule);
  return static_cast<std::uint32_t>(Count - std::min(Used, Count));
}

void recordStart(ColdStartLimiter &Limiter, Instant Now) {
  if (Limiter.Rule.StartsPerS <= 0) {
    Limiter.LatestStarts.clear();
    return;
  }
  Limiter.LatestStarts.push_back(Now);
  while (Limiter.LatestStarts.size() > startsPerWindow(Limiter.Rule))
    Limiter.LatestStarts.pop_front();
}

} // namespace pollenwick
