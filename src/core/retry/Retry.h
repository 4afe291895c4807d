#ifndef POLLENWICK_CORE_RETRY_RETRY_H
#define POLLENWICK_CORE_RETRY_RETRY_H

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "pollenwick/Ids.h"
#include "pollenwick/Outcome.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Retries that a call and everything below it may still consume. The units
/// of one root request are conserved: they are held, delegated, consumed or
/// lost with a reply that never came, and never created.
struct RetryAllowance {
  std::uint32_t RemainingRetries = 0;
};

/// Takes the part that travels with a sub-call out of the allowance.
std::uint32_t delegateRetries(RetryAllowance &Allowance);

/// Returns what a reply brought back; at most what was delegated. Call once
/// per reply.
void returnRetries(RetryAllowance &Allowance, std::uint32_t Delegated,
                   std::uint32_t Unused);

struct ServiceRetryBudgetLimits {
  std::uint32_t MaxStoredRetries =
      10; ///< Retries that a quiet service may store.
  /// Retries per second granted regardless of traffic, so that a service with
  /// few calls can retry at all.
  std::uint32_t MinRetriesPerSecond = 1;
};

/// Token buckets by service, in thousandths of a retry, fed by first attempts.
struct ServiceRetryBudgets {
  ServiceRetryBudgetLimits Limits;
  struct Bucket {
    std::int64_t MilliRetries = 0;
    Instant FilledAt;
  };
  absl::flat_hash_map<ServiceId, Bucket> Buckets;
};

/// Feeds the service's bucket. `RetriesPermille` is the policy's retry ratio.
void recordFirstAttempt(ServiceRetryBudgets &Budgets, const ServiceId &Service,
                        std::uint32_t RetriesPermille, Instant Now);

/// Takes one retry from the service's bucket; false if there is none.
bool takeRetry(ServiceRetryBudgets &Budgets, const ServiceId &Service,
               Instant Now);

/// An attempt that ended without an answer to pass on.
struct FailedAttempt {
  Outcome Result = Outcome::Unknown;
  bool Idempotent = false;
  bool ServerCrashed = false;  ///< Its backend server crashed during the call.
  std::uint32_t RetryCost = 1; ///< `retryCost` of the route.
  ServiceId Service;
  Instant Deadline;
};

enum class RetryDecision : std::uint8_t {
  Retry,
  NotIdempotent,
  ServerCrashed,
  DeadlinePassed,
  AllowanceExhausted,
  BudgetExhausted,
};

/// Decides on another attempt and consumes what it costs. An attempt that has
/// "not run" costs no allowance, only a retry of the service's ratio.
RetryDecision consumeRetry(RetryAllowance &Allowance,
                           ServiceRetryBudgets &Budgets,
                           const FailedAttempt &Attempt, Instant Now);

/// What is known of a whole call after its last attempt. A refusal by the last
/// host says nothing about an earlier attempt that may have run.
Outcome overallOutcome(bool EarlierMayHaveRun, Outcome Last);

/// Remaining time, never negative. Deadlines travel in this form because
/// clocks of hosts are not comparable.
Duration remainingTime(Instant Deadline, Instant Now);

} // namespace pollenwick

#endif
