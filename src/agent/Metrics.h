#ifndef POLLENWICK_AGENT_METRICS_H
#define POLLENWICK_AGENT_METRICS_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

#include "pollenwick/Time.h"

namespace pollenwick::agent {

/// Collects the counters, gauges and latency histograms of one process and
/// renders them in the Prometheus text exposition format.
class Metrics {
public:
  Metrics();

  /// Adds `Amount` to the counter `Name`; `Label` is its label value.
  void incrementCounter(std::string_view Name, std::string_view Label,
                        std::uint64_t Amount = 1);
  void setGauge(std::string_view Name, std::int64_t Value);
  /// Removes the gauges whose names begin with `Prefix`.
  void removeGauges(std::string_view Prefix);
  /// Records the time from a caller's request to its final answer.
  void recordLatency(std::string_view Route, Duration Latency);
  std::string render() const;

private:
  using Histogram = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<
          double, boost::histogram::axis::transform::log>(1, 1.0, 2.0)));
  static Histogram emptyHistogram();

  std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>,
           std::less<>>
      Counters;
  std::map<std::string, std::int64_t, std::less<>> Gauges;
  std::map<std::string, Histogram, std::less<>> LatencyHistograms;
  std::map<std::string, double, std::less<>> LatencySumsMs;
};

} // namespace pollenwick::agent

#endif
