#ifndef POLLENWICK_NODE_RUNNINGCALLSERVICE_H
#define POLLENWICK_NODE_RUNNINGCALLSERVICE_H

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>

#include "absl/container/flat_hash_map.h"
#include "core/calls/RunningCalls.h"
#include "core/retry/Retry.h"
#include "node/ActiveBundle.h"
#include "peer/Calls.h"

namespace pollenwick {

/// A sub-call that the call graph allows, with the values that it inherits from
/// its parent call.
struct GrantedSubCall {
  CallHandle Parent;
  SubCall Grant;
  IncarnationId RootCaller;
  std::uint64_t Hash = 0;
  Instant AdmittedAt;
  KeyDigest Key;
  bool HasKey = false;
};

/// Unused retries and sub-call time of a call that has ended.
struct FinishedRun {
  std::uint32_t UnusedAllowance = 0; ///< Retries that the call did not use.
  Duration SubCallTime{};            ///< Total duration of the sub-calls.
};

/// Tracks the calls that run on the local backend server and the retry budgets
/// of the node. Thread-safe.
class RunningCallService {
public:
  /// Registers a call that is about to run. Returns the random handle under
  /// which its sub-calls name it, or a refusal.
  std::variant<CallHandle, Refusal> begin(const CallRequest &Call);
  /// Removes a call that has ended.
  FinishedRun finish(const CallHandle &Handle);

  /// Registers a sub-call of the running call `Parent`, or returns a refusal.
  std::variant<GrantedSubCall, Refusal> beginSub(const ActiveBundle &Bundle,
                                                 const CallHandle &Parent,
                                                 const RouteId &Route);
  /// Records the outcome of a sub-call that took `Took`.
  void finishSub(const GrantedSubCall &Sub, const CallReply &Reply,
                 Duration Took);

  /// Adds a first attempt to the retry budget of `Service`.
  void countFirstAttempt(const ServiceId &Service, std::uint32_t RatioPermille);
  /// Decides whether a failed attempt is retried. A retry is charged to the
  /// budget of the service and, unless the attempt has not run, to
  /// `RemainingAllowance`.
  RetryDecision decideRetry(RetryAllowance &RemainingAllowance,
                            const FailedAttempt &Attempt);

  /// Returns the number of running calls.
  std::size_t size() const;

private:
  struct InheritedContext {
    IncarnationId RootCaller;
    std::uint64_t Hash = 0;
    Instant AdmittedAt;
    KeyDigest Key;
    bool HasKey = false;
    Duration SubCallTime{};
  };

  mutable std::mutex Mutex;
  RunningCalls Running;
  ServiceRetryBudgets Ratios;
  absl::flat_hash_map<CallHandle, InheritedContext> InheritedContexts;
};

} // namespace pollenwick

#endif
