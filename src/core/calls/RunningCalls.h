#ifndef POLLENWICK_CORE_CALLS_RUNNINGCALLS_H
#define POLLENWICK_CORE_CALLS_RUNNINGCALLS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/calls/RouteLookup.h"
#include "core/retry/Retry.h"
#include "pollenwick/Outcome.h"

namespace pollenwick {

/// Names a running call towards its backend server. 128 bits from the shell's
/// cryptographic generator; never reused.
struct CallHandle {
  std::array<std::uint8_t, 16> Bytes{};
  friend bool operator==(const CallHandle &, const CallHandle &) = default;
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by Abseil.
  template <typename H> friend H AbslHashValue(H State, const CallHandle &C) {
    return H::combine(std::move(State), C.Bytes);
  }
};

/// Value of the `Pollenwick-Call` header: 32 hexadecimal digits.
std::string formatCallHandle(const CallHandle &Handle);
std::optional<CallHandle> parseCallHandle(std::string_view Text);

/// What a call brings along from the node that sent it.
struct CallContext {
  CustomerId Customer;
  RouteId Route;
  ClassId Class;
  RootId Root;
  Instant Deadline;         ///< On this node's clock.
  RetryAllowance Allowance; ///< Delegated to this call.
};

/// Use of one declared edge by one running call.
struct EdgeUse {
  std::uint32_t EdgeIndex = 0; ///< Position in `RouteSpec::Calls`.
  std::uint32_t PossibleExecutions =
      0;                      ///< Sub-calls that ran, run or may have run.
  std::uint32_t Attempts = 0; ///< Sub-calls begun.
};

struct OpenSubCall {
  std::uint32_t Number = 0; ///< Within the parent, from 1.
  std::uint32_t EdgeIndex = 0;
  std::uint32_t DelegatedAllowance = 0;
};

/// Record of a call that runs on the local backend server.
struct RunningCall {
  CallContext Context;
  bool Cancelled = false; ///< Begins no more sub-calls.
  std::uint32_t LastSubCall = 0;
  std::vector<EdgeUse> EdgeUses;
  std::vector<OpenSubCall> OpenSubCalls;
};

/// Owned by the callee node; guarded by one mutex.
struct RunningCalls {
  std::size_t MaxCalls = 4'096;
  std::uint32_t MaxOpenSubCalls = 256; ///< Per running call.
  absl::flat_hash_map<CallHandle, RunningCall> Calls;
};

/// Refuses, not run, at the limit or if the handle is in use.
std::optional<Refusal> beginCall(RunningCalls &Running,
                                 const CallHandle &Handle, CallContext Context);

/// What a sub-call takes along.
struct SubCall {
  std::uint32_t Number = 0;
  CustomerId Customer;
  ClassId Class;
  RootId Root;
  Instant Deadline;            ///< Earlier of parent's and route's deadline.
  std::uint32_t Allowance = 0; ///< Delegated.
  bool IsRepeat = false;       ///< More attempts than the edge declares.
};

/// Checks a sub-call of a running call against the declared call graph. More
/// sub-calls than declared are retries: they consume the allowance and the
/// ratio of the service. All refusals are "not run".
std::variant<SubCall, Refusal> beginSubCall(RunningCalls &Running,
                                            const RouteLookup &Index,
                                            ServiceRetryBudgets &Ratios,
                                            const CallHandle &Parent,
                                            const RouteId &Route, Instant Now);

/// Records the reply to a sub-call. Only "not run" frees the use of the edge.
/// Pass `Unused` = 0 when no reply came. Ignored for an unknown parent or a
/// number that is not open, so a doubled reply has no effect.
void finishSubCall(RunningCalls &Running, const CallHandle &Parent,
                   std::uint32_t Number, Outcome Result,
                   std::uint32_t UnusedAllowance);

/// Stops a call from beginning sub-calls. Returns the numbers of those that are
/// open and to be cancelled in turn. The record stays until `finishCall`,
/// because the backend server may still run the call.
std::vector<std::uint32_t> cancelCall(RunningCalls &Running,
                                      const CallHandle &Handle);

/// Running calls whose deadline has passed and that are not cancelled yet.
std::vector<CallHandle> overdueCalls(const RunningCalls &Running, Instant Now);

/// Ends a call; its handle is void from then on. Returns the unused allowance
/// that travels back with the reply; nothing if the handle is unknown.
std::optional<std::uint32_t> finishCall(RunningCalls &Running,
                                        const CallHandle &Handle);

/// Upper estimate of the heap bytes held.
std::size_t memoryOf(const RunningCalls &Running);

} // namespace pollenwick

#endif
