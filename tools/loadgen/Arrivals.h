#ifndef POLLENWICK_TOOLS_ARRIVALS_H
#define POLLENWICK_TOOLS_ARRIVALS_H

#include <chrono>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>

#include "Plan.h"

namespace pollenwick::tools {

/// One request of the plan.
struct Arrival {
  std::chrono::microseconds At{0}; ///< Since the start of the run.
  const Phase *Part = nullptr;
  const CustomerLoad *Load = nullptr;
  const RequestSpec *Spec = nullptr;
  std::uint64_t Number = 0;
  bool WithinLimit = false; ///< The customer is within its rate and burst.
};

/// Poisson arrivals of a plan in the order of time. Not thread-safe.
class Arrivals {
public:
  /// The plan must outlive the object.
  Arrivals(const Plan &Source, std::uint64_t Seed);

  std::optional<Arrival> next();

private:
  struct Bucket {
    double Tokens = 0;
    std::chrono::microseconds Filled{0};
  };
  struct Pending {
    std::chrono::microseconds At{0};
    const CustomerLoad *Load = nullptr;
    bool operator>(const Pending &Other) const { return At > Other.At; }
  };

  void startPhase();
  void schedule(const CustomerLoad &Load, std::chrono::microseconds After);
  bool conforms(const CustomerLoad &Load, std::chrono::microseconds At);

  const Plan &Source;
  std::mt19937_64 Random;
  std::size_t PhaseIndex = 0;
  std::chrono::microseconds PhaseStart{0};
  std::priority_queue<Pending, std::vector<Pending>, std::greater<>> Queue;
  std::map<std::string, Bucket> Buckets;
  std::uint64_t LastNumber = 0;
};

} // namespace pollenwick::tools

#endif
