#include "core/retry/Retry.h"

#include <algorithm>
#include <cassert>

namespace pollenwick {
namespace {

constexpr std::int64_t OneRetry = 1'000;

RetryBudgets::Bucket &bucketOf(RetryBudgets &Budgets, const ServiceId &Service,
                               Instant Now) {
  const std::int64_t Full = Budgets.Limits.MaxStoredRetries * OneRetry;
  const auto [It, New] =
      Budgets.Buckets.try_emplace(Service, RetryBudgets::Bucket{Full, Now});
  RetryBudgets::Bucket &Bucket = It->second;
  const Duration Elapsed = std::max(Duration::zero(), Now - Bucket.FilledAt);
  const std::int64_t PerSecond = Budgets.Limits.MinRetriesPerSecond * OneRetry;
  if (PerSecond == 0)
    return Bucket;
  // Whole thousandths only; the rest of the time stays for the next call. A
  // long pause is capped before the product to avoid an overflow.
  const Duration Enough =
      std::chrono::seconds(Budgets.Limits.MaxStoredRetries + 1);
  const std::int64_t Gained =
      std::min(Elapsed, Enough).count() * PerSecond / 1'000'000;
  if (Gained > 0) {
    Bucket.MilliRetries = std::min(Full, Bucket.MilliRetries + Gained);
    Bucket.FilledAt = Now;
  }
  return Bucket;
}

} // namespace

std::uint32_t delegateRetries(RetryAllowance &Held) {
  const std::uint32_t Part = Held.RemainingRetries - Held.RemainingRetries / 2;
  Held.RemainingRetries -= Part;
  return Part;
}

void returnRetries(RetryAllowance &Held, std::uint32_t Delegated,
                   std::uint32_t Unused) {
  Held.RemainingRetries += std::min(Delegated, Unused);
}

void recordFirstAttempt(RetryBudgets &Budgets, const ServiceId &Service,
                        std::uint32_t Permille, Instant Now) {
  RetryBudgets::Bucket &Bucket = bucketOf(Budgets, Service, Now);
  Bucket.MilliRetries = std::min(Budgets.Limits.MaxStoredRetries * OneRetry,
                                 Bucket.MilliRetries + Permille);
}

bool takeRetry(RetryBudgets &Budgets, const ServiceId &Service, Instant Now) {
  RetryBudgets::Bucket &Bucket = bucketOf(Budgets, Service, Now);
  if (Bucket.MilliRetries < OneRetry)
    return false;
  Bucket.MilliRetries -= OneRetry;
  return true;
}

RetryDecision consumeRetry(RetryAllowance &Held, RetryBudgets &Budgets,
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
  if (Held.RemainingRetries < RetryCost)
    return RetryDecision::AllowanceExhausted;
  if (!takeRetry(Budgets, Attempt.Service, Now))
    return RetryDecision::BudgetExhausted;
  Held.RemainingRetries -= RetryCost;
  return RetryDecision::Retry;
}

Outcome overallOutcome(bool EarlierMayHaveRun, Outcome Last) {
  return EarlierMayHaveRun && Last == Outcome::NotRun ? Outcome::Unknown : Last;
}

Duration remainingTime(Instant Deadline, Instant Now) {
  return std::max(Duration::zero(), Deadline - Now);
}

} // namespace pollenwick
