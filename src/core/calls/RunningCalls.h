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

/// Identifies a running call to the backend server that runs it. Consists of
/// 128 bits from a cryptographic random generator and is never reused.
struct CallHandle {
  std::array<std::uint8_t, 16> Bytes{};
  friend bool operator==(const CallHandle &, const CallHandle &) = default;
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by Abseil.
  template <typename H> friend H AbslHashValue(H State, const CallHandle &C) {
    return H::combine(std::move(State), C.Bytes);
  }
};

/// Returns the value of the `Pollenwick-Call` header: 32 hexadecimal digits.
std::string formatCallHandle(const CallHandle &Handle);
/// Parses a `Pollenwick-Call` header. Returns nothing if the text is malformed.
std::optional<CallHandle> parseCallHandle(std::string_view Text);

/// Properties of a call that the sending node passed with it.
struct CallContext {
  CustomerId Customer;
  RouteId Route;
  ClassId Class;
  RootId Root;
  Instant Deadline;         ///< On this node's clock.
  RetryAllowance Allowance; ///< Retries delegated to this call.
};

/// Counts the sub-calls that a running call made over one declared edge.
struct EdgeUse {
  std::uint32_t EdgeIndex = 0; ///< Position in `RouteSpec::Calls`.
  std::uint32_t PossibleExecutions =
      0;                      ///< Sub-calls not reported as "not run".
  std::uint32_t Attempts = 0; ///< Sub-calls begun.
};

/// A sub-call that has not been answered yet.
struct OpenSubCall {
  std::uint32_t Number = 0; ///< Sequence number within the parent, from 1.
  std::uint32_t EdgeIndex = 0;
  std::uint32_t DelegatedAllowance = 0;
};

/// Record of a call that runs on the local backend server.
struct RunningCall {
  CallContext Context;
  bool Cancelled = false; ///< New sub-calls are refused.
  std::uint32_t LastSubCall = 0;
  std::vector<EdgeUse> EdgeUses;
  std::vector<OpenSubCall> OpenSubCalls;
};

/// The calls that run on the local backend server. Owned by the callee node and
/// guarded by one mutex.
struct RunningCalls {
  std::size_t MaxCalls = 4'096;
  std::uint32_t MaxOpenSubCalls = 256; ///< Per running call.
  absl::flat_hash_map<CallHandle, RunningCall> Calls;
};

/// Registers a running call. Returns a "not run" refusal if `MaxCalls` calls
/// are running or the handle is in use.
std::optional<Refusal> beginCall(RunningCalls &Running,
                                 const CallHandle &Handle, CallContext Context);

/// Properties that a sub-call inherits from its parent, and its own limits.
struct SubCall {
  std::uint32_t Number = 0; ///< Sequence number within the parent, from 1.
  CustomerId Customer;
  ClassId Class;
  RootId Root;
  Instant Deadline; ///< Earlier of the parent's and the route's deadline.
  std::uint32_t Allowance = 0; ///< Retries delegated to the sub-call.
  bool IsRepeat = false; ///< The edge's declared count was used up before.
};

/// Checks a sub-call against the declared call graph and registers it.
/// Sub-calls beyond the declared count are retries: they consume the retry
/// allowance of the call and the retry budget of the service. All refusals are
/// "not run".
std::variant<SubCall, Refusal> beginSubCall(RunningCalls &Running,
                                            const RouteLookup &Index,
                                            ServiceRetryBudgets &Ratios,
                                            const CallHandle &Parent,
                                            const RouteId &Route, Instant Now);

/// Records the reply to a sub-call. Only a "not run" reply lets the edge be
/// used again without a retry. Pass 0 as `UnusedAllowance` if no reply arrived.
/// Has no effect if the parent is unknown or the sub-call is not open, so
/// duplicate replies are harmless.
void finishSubCall(RunningCalls &Running, const CallHandle &Parent,
                   std::uint32_t Number, Outcome Result,
                   std::uint32_t UnusedAllowance);

/// Marks a call as cancelled, so that it can begin no more sub-calls. Returns
/// the numbers of its open sub-calls, which the caller has to cancel too. The
/// record stays until `finishCall`, because the backend server may still run
/// the call.
std::vector<std::uint32_t> cancelCall(RunningCalls &Running,
                                      const CallHandle &Handle);

/// Returns the running calls whose deadline has passed and that are not
/// cancelled yet, sorted by handle.
std::vector<CallHandle> overdueCalls(const RunningCalls &Running, Instant Now);

/// Removes a call, which invalidates its handle. Returns the unused retry
/// allowance, which is sent back with the reply, or nothing if the handle is
/// unknown.
std::optional<std::uint32_t> finishCall(RunningCalls &Running,
                                        const CallHandle &Handle);

/// Returns an upper estimate of the allocated heap memory in bytes.
std::size_t memoryOf(const RunningCalls &Running);

} // namespace pollenwick

#endif
