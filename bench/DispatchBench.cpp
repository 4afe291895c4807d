// Cost of placing an important call past many waiting ones.
#include <benchmark/benchmark.h>

#include "core/dispatch/DispatchQueue.h"

using namespace pollenwick;

namespace {

const Instant Start(std::chrono::seconds(10));

/// A queue of `Waiting` new requests, a fifth of them nested calls, none of
/// which would start too late.
DispatchQueue longQueue(std::int64_t Waiting) {
  DispatchQueue Queue;
  Queue.MaxRunning = 8;
  Queue.Running = 8;
  Queue.MeanServiceTime = std::chrono::milliseconds(50);
  for (std::int64_t I = 0; I < Waiting; ++I) {
    const bool Nested = I % 5 == 0;
    const Instant Due = Start + std::chrono::milliseconds(I);
    Queue.Waiting.insert({static_cast<std::uint64_t>(I + 1), Due,
                          Start + std::chrono::hours(1),
                          Start + std::chrono::seconds(30),
                          NestedPrecedence + (Nested ? 0 : 3)});
  }
  return Queue;
}

void displacePastWaiting(benchmark::State &Run) {
  const DispatchQueue Queue = longQueue(Run.range(0));
  const WaitingCall Important{0, Start, Start + std::chrono::hours(1),
                              Start + std::chrono::seconds(1),
                              NestedPrecedence + 1};
  for (auto _ : Run) {
    DispatchQueue Trial = Queue;
    benchmark::DoNotOptimize(displaceCalls(Trial, Important, Start));
  }
}
BENCHMARK(displacePastWaiting)
    ->Arg(100)
    ->Arg(1500)
    ->Arg(5000)
    ->Unit(benchmark::kMicrosecond);

void copyOfTheQueue(benchmark::State &Run) {
  const DispatchQueue Queue = longQueue(Run.range(0));
  for (auto _ : Run) {
    DispatchQueue Trial = Queue;
    benchmark::DoNotOptimize(Trial);
  }
}
BENCHMARK(copyOfTheQueue)
    ->Arg(100)
    ->Arg(1500)
    ->Arg(5000)
    ->Unit(benchmark::kMicrosecond);

} // namespace
