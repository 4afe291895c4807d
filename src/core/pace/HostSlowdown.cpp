#include "core/pace/HostSlowdown.h"

#include <algorithm>

#include "core/dispatch/DispatchQueue.h"

namespace pollenwick {
namespace {

/// Age from which a report is left out: servers share their hosts, and their
/// speed changes many times a second.
constexpr Duration MaxReportAge = std::chrono::milliseconds(250);
/// Reports from which the median ignores a single wrong value.
constexpr std::size_t MinReports = 3;

} // namespace

void recordSlowdown(HostSlowdown &Host, double Slowdown, Instant Now) {
  Host.Latest[Host.Next] = {Now, Slowdown};
  Host.Next = (Host.Next + 1) % Host.Latest.size();
  Host.MeanOverCalls +=
      Host.MeanOverCalls == 0
          ? Slowdown
          : (Slowdown - Host.MeanOverCalls) * ServiceTimeWeight;
}

void resetMeanSlowdown(HostSlowdown &Host) { Host.MeanOverCalls = 0; }

double currentSlowdown(const HostSlowdown &Host, Instant Now) {
  std::array<double, std::tuple_size_v<decltype(Host.Latest)>> Recent{};
  std::size_t Count = 0;
  for (const HostSlowdown::Report &Report : Host.Latest)
    if (Report.Slowdown > 0 && Now - Report.At <= MaxReportAge)
      Recent[Count++] = Report.Slowdown;
  if (Count < MinReports)
    return 0;
  const auto Median = Recent.begin() + static_cast<std::ptrdiff_t>(Count / 2);
  std::nth_element(Recent.begin(), Median,
                   Recent.begin() + static_cast<std::ptrdiff_t>(Count));
  return *Median;
}

double relativeSlowdown(const HostSlowdown &Host, Instant Now) {
  return Host.MeanOverCalls > 0
             ? currentSlowdown(Host, Now) / Host.MeanOverCalls
             : 0;
}

} // namespace pollenwick
