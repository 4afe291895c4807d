#ifndef POLLENWICK_TOOLS_LATENCYHISTOGRAM_H
#define POLLENWICK_TOOLS_LATENCYHISTOGRAM_H

#include <chrono>
#include <cstdint>
#include <memory>

namespace pollenwick::tools {

/// Latencies from 1 us to 1000 s with a resolution of about 2%.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();

  void add(std::chrono::microseconds Value);
  void add(const LatencyHistogram &Other);
  /// Upper edge of the bin that holds the quantile, in ms; 0 when empty.
  double quantileMs(double Quantile) const;

private:
  struct Bins;
  std::unique_ptr<Bins> Data;
};

} // namespace pollenwick::tools

#endif
