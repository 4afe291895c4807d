#include "LatencyHistogram.h"

#include <algorithm>
#include <numeric>

#include <boost/histogram.hpp>

namespace pollenwick::tools {
namespace {

namespace bh = boost::histogram;
using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage =
    decltype(bh::make_histogram_with(std::vector<std::uint64_t>(), Axis()));

constexpr unsigned BinCount = 1000;
constexpr double LowestMicros = 1;
constexpr double HighestMicros = 1e9;
constexpr double MicrosPerMilli = 1e3;

} // namespace

struct LatencyHistogram::Bins {
  Storage Counts =
      bh::make_histogram_with(std::vector<std::uint64_t>(),
                              Axis(BinCount, LowestMicros, HighestMicros));
};

LatencyHistogram::LatencyHistogram() : Data(std::make_unique<Bins>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(std::chrono::microseconds Value) {
  Data->Counts(static_cast<double>(std::max<std::int64_t>(1, Value.count())));
}

void LatencyHistogram::add(const LatencyHistogram &Other) {
  Data->Counts += Other.Data->Counts;
}

double LatencyHistogram::quantileMs(double Quantile) const {
  const Storage &Counts = Data->Counts;
  const std::uint64_t Total =
      std::accumulate(Counts.begin(), Counts.end(), std::uint64_t{0});
  if (Total == 0)
    return 0;
  const double Wanted = Quantile * static_cast<double>(Total);
  std::uint64_t Seen = 0;
  for (auto &&Bin : bh::indexed(Counts)) {
    Seen += *Bin;
    if (static_cast<double>(Seen) >= Wanted)
      return Bin.bin().upper() / MicrosPerMilli;
  }
  return HighestMicros / MicrosPerMilli;
}

} // namespace pollenwick::tools
