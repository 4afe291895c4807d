#ifndef POLLENWICK_CORE_RETRY_RETRY_H
#define POLLENWICK_CORE_RETRY_RETRY_H

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "pollenwick/Ids.h"
#include "pollenwick/Outcome.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Retry units that a call and all its sub-calls may still consume. The total
/// of one root request never grows: a unit is held, delegated, consumed, or
/// lost if a reply does not arrive.
struct RetryAllowance {
  std::uint32_t RemainingRetries = 0;
};

/// Takes half of the allowance, rounded up, for a sub-call and returns the
/// number of units taken.
std::uint32_t delegateRetries(RetryAllowance &Allowance);

/// Adds the units that a sub-call left unused to the allowance, at most the
/// number that was delegated to it. Call this once per reply.
void returnRetries(RetryAllowance &Allowance, std::uint32_t Delegated,
                   std::uint32_t Unused);

/// Limits of the retry budget of each service.
struct ServiceRetryBudgetLimits {
  /// Greatest number of retries that a service with little traffic can save up.
  std::uint32_t MaxStoredRetries = 10;
  /// Retries per second granted regardless of traffic, so that a service with
  /// few calls can retry at all.
  std::uint32_t MinRetriesPerSecond = 1;
};

/// Retry budgets by service: token buckets that are filled by first attempts
/// and by a minimum rate over time.
struct ServiceRetryBudgets {
  ServiceRetryBudgetLimits Limits;
  struct Bucket {
    std::int64_t MilliRetries = 0; ///< Thousandths of a retry.
    Instant FilledAt; ///< Time up to which the minimum rate is credited.
  };
  absl::flat_hash_map<ServiceId, Bucket> Buckets;
};

/// Credits the service's bucket for a first attempt. `RetriesPermille` is the
/// policy's ratio of retries to first attempts, in thousandths.
void recordFirstAttempt(ServiceRetryBudgets &Budgets, const ServiceId &Service,
                        std::uint32_t RetriesPermille, Instant Now);

/// Takes one retry from the service's bucket. Returns false, and takes nothing,
/// if the bucket holds less than one.
bool takeRetry(ServiceRetryBudgets &Budgets, const ServiceId &Service,
               Instant Now);

/// Attempt that ended without an answer for the caller.
struct FailedAttempt {
  Outcome Result = Outcome::Unknown;
  bool Idempotent = false;
  bool ServerCrashed = false; ///< Its backend server crashed during the call.
  /// Units of the retry allowance that one retry costs; see
  /// `RouteEntry::RetryCost`.
  std::uint32_t RetryCost = 1;
  ServiceId Service;
  Instant Deadline;
};

/// Decision on another attempt: `Retry`, or the reason against it.
enum class RetryDecision : std::uint8_t {
  Retry,
  NotIdempotent,
  ServerCrashed,
  DeadlinePassed,
  AllowanceExhausted,
  BudgetExhausted,
};

/// Decides on another attempt and, if it is allowed, consumes its cost. After
/// an attempt that has not run, a retry consumes none of the allowance, only
/// one retry of the service's budget.
RetryDecision consumeRetry(RetryAllowance &Allowance,
                           ServiceRetryBudgets &Budgets,
                           const FailedAttempt &Attempt, Instant Now);

/// Returns the outcome of a call over all its attempts. It is unknown if the
/// last host refused the call but an earlier attempt may have run.
Outcome overallOutcome(bool EarlierMayHaveRun, Outcome Last);

/// Returns the time from `Now` to `Deadline`, never negative. Hosts exchange
/// deadlines as remaining times because their clocks are not comparable.
Duration remainingTime(Instant Deadline, Instant Now);

} // namespace pollenwick

#endif
