#include "Arrivals.h"

#include <algorithm>

namespace pollenwick::tools {
namespace {

using std::chrono::microseconds;
constexpr double MicrosPerSecond = 1e6;

} // namespace

Arrivals::Arrivals(const Plan &Source, std::uint64_t Seed)
    : Source(Source), Random(Seed) {
  startPhase();
}

std::optional<Arrival> Arrivals::next() {
  while (PhaseIndex < Source.size()) {
    const Phase &Part = Source[PhaseIndex];
    if (Queue.empty()) {
      PhaseStart += Part.Length;
      ++PhaseIndex;
      startPhase();
      continue;
    }
    const Pending First = Queue.top();
    Queue.pop();
    schedule(*First.Load, First.At);
    std::vector<double> Weights;
    std::transform(First.Load->Mix.begin(), First.Load->Mix.end(),
                   std::back_inserter(Weights),
                   [](const RequestSpec &Spec) { return Spec.Weight; });
    std::discrete_distribution<std::size_t> Pick(Weights.begin(),
                                                 Weights.end());
    return Arrival{First.At,     &Part,
                   First.Load,   &First.Load->Mix[Pick(Random)],
                   ++LastNumber, conforms(*First.Load, First.At)};
  }
  return std::nullopt;
}

void Arrivals::startPhase() {
  if (PhaseIndex >= Source.size())
    return;
  for (const CustomerLoad &Load : Source[PhaseIndex].Customers)
    schedule(Load, PhaseStart);
}

void Arrivals::schedule(const CustomerLoad &Load, microseconds After) {
  if (Load.Rate <= 0)
    return;
  std::exponential_distribution<double> Gap(Load.Rate / MicrosPerSecond);
  const microseconds At =
      After + microseconds(static_cast<std::int64_t>(Gap(Random)) + 1);
  if (At < PhaseStart + Source[PhaseIndex].Length)
    Queue.push({At, &Load});
}

bool Arrivals::conforms(const CustomerLoad &Load, microseconds At) {
  if (Load.LimitRate <= 0)
    return false;
  const auto [Entry, New] =
      Buckets.try_emplace(Load.Customer, Bucket{Load.LimitBurst, At});
  Bucket &Own = Entry->second;
  const double Elapsed = static_cast<double>((At - Own.Filled).count());
  Own.Tokens = std::min(
      Load.LimitBurst, Own.Tokens + Elapsed / MicrosPerSecond * Load.LimitRate);
  Own.Filled = At;
  // Every arrival is charged: while a customer is over its rate, which of its
  // requests are refused is up to the node, so none of them counts as within.
  // The debt is limited, so that this ends soon after a surge.
  const bool Within = Own.Tokens >= 1;
  Own.Tokens = std::max(-Load.LimitBurst, Own.Tokens - 1);
  return Within;
}

} // namespace pollenwick::tools
