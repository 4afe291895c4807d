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

/// A sub-call that the call graph allows, and the parent's facts it inherits.
struct GrantedSubCall {
  CallHandle Parent;
  SubCall Grant;
  IncarnationId RootCaller;
  std::uint64_t Hash = 0;
  Instant AdmittedAt;
  KeyDigest Key;
  bool HasKey = false;
};

struct FinishedRun {
  std::uint32_t UnusedAllowance = 0;
  Duration SubCallTime{}; ///< Time during which sub-calls were running.
};

/// Calls that run on the local backend server, and the retry ratios of the
/// node. Thread-safe.
class RunningCallService {
public:
  std::variant<CallHandle, Refusal> begin(const CallRequest &Call);
  FinishedRun finish(const CallHandle &Handle);

  std::variant<GrantedSubCall, Refusal> beginSub(const ActiveBundle &Bundle,
                                                 const CallHandle &Parent,
                                                 const RouteId &Route);
  void finishSub(const GrantedSubCall &Sub, const CallReply &Reply,
                 Duration Took);

  void countFirstAttempt(const ServiceId &Service, std::uint32_t RatioPermille);
  RetryDecision decideRetry(RetryAllowance &RemainingAllowance,
                            const FailedAttempt &Attempt);

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
