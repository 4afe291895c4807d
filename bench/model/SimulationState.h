#ifndef POLLENWICK_BENCH_MODEL_SIMULATIONSTATE_H
#define POLLENWICK_BENCH_MODEL_SIMULATIONSTATE_H

#include "model/Simulation.h"

namespace pollenwick::model {

/// One attempt of a caller.
struct RootState {
  std::size_t User = 0;
  RouteIndex Route = 0;
  CustomerIndex Customer = 0;
  std::uint32_t Rank = 0;
  std::uint64_t Hash = 0;
  HostIndex Ingress = 0;
  Instant AdmittedAt{};
  Instant Deadline{};
  std::uint32_t Allowance = 3; ///< Retries for the whole tree.
  bool Closed = false;         ///< Answered, refused or given up.
  Instant ClosedAt{};
  double WorkSeconds = 0;
  std::vector<double> HeldSeconds; ///< By service.
  /// Calls that wait or run, outermost first.
  std::vector<std::weak_ptr<CallState>> Open;
};

struct CallState {
  CallId Id;
  RootPtr Root;
  CallPtr Parent;
  RouteIndex Route = 0;
  HostIndex From = 0;
  HostIndex Host = 0;
  std::vector<HostIndex> Tried;
  std::uint32_t HopRetries = 3;
  bool InSlot = false;
  bool Ended = false; ///< Replied or cancelled; later events are void.
  Instant StartedAt{};
  Instant SubCallAt{};
  Duration InSubCalls{};
  std::size_t NextSubCall = 0;
  Duration HalfTime{};
};

} // namespace pollenwick::model

#endif
