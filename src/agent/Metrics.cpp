#include "agent/Metrics.h"

#include "absl/strings/str_cat.h"

namespace pollenwick::agent {
namespace {

constexpr unsigned LatencyBuckets = 24;
constexpr double MinLatencyMs = 0.5;
constexpr double MaxLatencyMs = 10000;
/// Most routes with their own histogram; further routes share one.
constexpr std::size_t MaxRouteHistograms = 64;

} // namespace

Metrics::Metrics() = default;

Metrics::Histogram Metrics::emptyHistogram() {
  return boost::histogram::make_histogram(
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>(
          LatencyBuckets, MinLatencyMs, MaxLatencyMs));
}

void Metrics::incrementCounter(std::string_view Name, std::string_view Label,
                               std::uint64_t Amount) {
  auto Family = Counters.find(Name);
  if (Family == Counters.end())
    Family = Counters.try_emplace(std::string(Name)).first;
  const auto Found = Family->second.find(Label);
  if (Found == Family->second.end())
    Family->second.emplace(std::string(Label), Amount);
  else
    Found->second += Amount;
}

void Metrics::setGauge(std::string_view Name, std::int64_t Value) {
  const auto Found = Gauges.find(Name);
  if (Found == Gauges.end())
    Gauges.emplace(std::string(Name), Value);
  else
    Found->second = Value;
}

void Metrics::removeGauges(std::string_view Prefix) {
  std::erase_if(Gauges, [&](const auto &Item) {
    return std::string_view(Item.first).starts_with(Prefix);
  });
}

void Metrics::recordLatency(std::string_view Route, Duration Latency) {
  auto Found = LatencyHistograms.find(Route);
  if (Found == LatencyHistograms.end()) {
    const std::string Name = LatencyHistograms.size() < MaxRouteHistograms
                                 ? std::string(Route)
                                 : std::string("other");
    Found = LatencyHistograms.try_emplace(Name, emptyHistogram()).first;
  }
  const double Ms = static_cast<double>(Latency.count()) / 1000;
  Found->second(Ms);
  LatencySumsMs[Found->first] += Ms;
}

std::string Metrics::render() const {
  std::string Out;
  for (const auto &[Name, Labels] : Counters) {
    absl::StrAppend(&Out, "# TYPE pollenwick_", Name, " counter\n");
    for (const auto &[Label, Value] : Labels)
      absl::StrAppend(&Out, "pollenwick_", Name, "{kind=\"", Label, "\"} ",
                      Value, "\n");
  }
  for (const auto &[Name, Value] : Gauges)
    absl::StrAppend(&Out, "# TYPE pollenwick_", Name, " gauge\npollenwick_",
                    Name, " ", Value, "\n");
  if (!LatencyHistograms.empty())
    absl::StrAppend(&Out, "# TYPE pollenwick_answer_ms histogram\n");
  for (const auto &[Route, Histogram] : LatencyHistograms) {
    double Total = 0;
    for (const auto &Bin : boost::histogram::indexed(
             Histogram, boost::histogram::coverage::all)) {
      Total += *Bin;
      const auto Upper = Bin.bin().upper();
      absl::StrAppend(&Out, "pollenwick_answer_ms_bucket{route=\"", Route,
                      "\",le=\"");
      if (Upper > MaxLatencyMs * 2)
        absl::StrAppend(&Out, "+Inf");
      else
        absl::StrAppend(&Out, Upper);
      absl::StrAppend(&Out, "\"} ", static_cast<std::uint64_t>(Total), "\n");
    }
    absl::StrAppend(&Out, "pollenwick_answer_ms_sum{route=\"", Route, "\"} ",
                    LatencySumsMs.find(Route)->second,
                    "\npollenwick_answer_ms_count{route=\"", Route, "\"} ",
                    static_cast<std::uint64_t>(Total), "\n");
  }
  return Out;
}

} // namespace pollenwick::agent
