#include "core/retry/Retry.h"

#include <algorithm>
#include <cassert>

namespace pollenwick {
namespace {

constexpr std::int64_t MilliRetriesPerRetry = 1'000;

/// Credits the minimum rate up to `Now` to the service's bucket and returns it.
/// The bucket of a new service is full.
ServiceRetryBudgets::Bucket &refillBucket(ServiceRetryBudgets &Budgets,
                                          const ServiceId &Service,
                                          Instant Now) {
  const std::int64_t MaxMilliRetries =
      Budgets.Limits.MaxStoredRetries * MilliRetriesPerRetry;
  const auto [It, New] = Budgets.Buckets.try_emplace(
      Service, ServiceRetryBudgets::Bucket{MaxMilliRetries, Now});
  ServiceRetryBudgets::Bucket &Bucket = It->second;
  const Duration Elapsed = std::max(Duration::zero(), Now - Bucket.FilledAt);
  const std::int64_t MilliRetriesPerSecond =
      Budgets.Limits.MinRetriesPerSecond * MilliRetriesPerRetry;
  if (MilliRetriesPerSecond == 0)
    return Bucket;
  // Only whole thousandths of a retry are credited; if there is none yet, the
  // time counts in the next call. Long pauses are capped before the
  // multiplication to avoid an overflow.
  const Duration FillTime =
      std::chrono::seconds(Budgets.Limits.MaxStoredRetries + 1);
  const std::int64_t GainedMilliRetries =
      std::min(Elapsed, FillTime).count() * MilliRetriesPerSecond / 1'000'000;
  if (GainedMilliRetries > 0) {
    Bucket.MilliRetries =
        std::min(MaxMilliRetries, Bucket.MilliRetries + GainedMilliRetries);
    Bucket.FilledAt = Now;
  }
  return Bucket;
}

} // namespace

std::uint32_t delegateRetries(RetryAllowance &Allowance) {
  const std::uint32_t Delegated =
      Allowance.RemainingRetries - Allowance.RemainingRetries / 2;
  Allowance.RemainingRetries -= Delegated;
  return Delegated;
}

void returnRetries(RetryAllowance &Allowance, std::uint32_t Delegated,
                   std::uint32_t Unused) {
  Allowance.RemainingRetries += std::min(Delegated, Unused);
}

void recordFirstAttempt(ServiceRetryBudgets &Budgets, const ServiceId &Service,
                        std::uint32_t RetriesPermille, Instant Now) {
  ServiceRetryBudgets::Bucket &Bucket = refillBucket(Budgets, Service, Now);
  Bucket.MilliRetries =
      std::min(Budgets.Limits.MaxStoredRetries * MilliRetriesPerRetry,
               Bucket.MilliRetries + RetriesPermille);
}

bool takeRetry(ServiceRetryBudgets &Budgets, const ServiceId &Service,
               Instant Now) {
  ServiceRetryBudgets::Bucket &Bucket = refillBucket(Budgets, Service, Now);
  if (Bucket.MilliRetries < MilliRetriesPerRetry)
    return false;
  Bucket.MilliRetries -= MilliRetriesPerRetry;
  return true;
}

RetryDecision consumeRetry(RetryAllowance &Allowance,
                           ServiceRetryBudgets &Budgets,
                           const FailedAttempt &Attempt, Instant Now) {
  assert(Attempt.Result != Outcome::Done);
  const bool MayHaveRun = Attempt.Result == Outcome::Unknown;
  if (Attempt.ServerCrashed)
    return RetryDecision::ServerCrashed;
  if (MayHaveRun && !Attempt.Idempotent)
    return RetryDecision::NotIdempotent;
  if (Now >= Attempt.Deadline)
    return RetryDecision::DeadlinePassed;
  const std::uint32_t RetryCost = MayHaveRun ? Attempt.RetryCost : 0;
  if (Allowance.RemainingRetries < RetryCost)
    return RetryDecision::AllowanceExhausted;
  if (!takeRetry(Budgets, Attempt.Service, Now))
    return RetryDecision::BudgetExhausted;
  Allowance.RemainingRetries -= RetryCost;
  return RetryDecision::Retry;
}

Outcome overallOutcome(bool EarlierMayHaveRun, Outcome Last) {
  return EarlierMayHaveRun && Last == Outcome::NotRun ? Outcome::Unknown : Last;
}

Duration remainingTime(Instant Deadline, Instant Now) {
  return std::max(Duration::zero(), Deadline - Now);
}

} // namespace pollenwick
