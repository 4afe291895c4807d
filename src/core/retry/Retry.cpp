#include "core/retry/Retry.h"

#include <algorithm>
#include <cassert>

namespace pollenwick {
namespace {

constexpr std::int64_t OneRetry = 1'000;

RetryRatios::Bucket &bucketOf(RetryRatios &Ratios, const ServiceId &Service,
                              Instant Now) {
  const std::int64_t Full = Ratios.Limits.MaxStored * OneRetry;
  const auto [It, New] =
      Ratios.Buckets.try_emplace(Service, RetryRatios::Bucket{Full, Now});
  RetryRatios::Bucket &Bucket = It->second;
  const Duration Elapsed = std::max(Duration::zero(), Now - Bucket.Filled);
  const std::int64_t PerSecond = Ratios.Limits.TricklePerSecond * OneRetry;
  if (PerSecond == 0)
    return Bucket;
  // Whole thousandths only; the rest of the time stays for the next call. A
  // long pause is capped before the product to avoid an overflow.
  const Duration Enough = std::chrono::seconds(Ratios.Limits.MaxStored + 1);
  const std::int64_t Gained =
      std::min(Elapsed, Enough).count() * PerSecond / 1'000'000;
  if (Gained > 0) {
    Bucket.MilliRetries = std::min(Full, Bucket.MilliRetries + Gained);
    Bucket.Filled = Now;
  }
  return Bucket;
}

} // namespace

std::uint32_t delegate(RetryAllowance &Held) {
  const std::uint32_t Part = Held.Left - Held.Left / 2;
  Held.Left -= Part;
  return Part;
}

void giveBack(RetryAllowance &Held, std::uint32_t Delegated,
              std::uint32_t Unused) {
  Held.Left += std::min(Delegated, Unused);
}

void onFirstAttempt(RetryRatios &Ratios, const ServiceId &Service,
                    std::uint32_t Permille, Instant Now) {
  RetryRatios::Bucket &Bucket = bucketOf(Ratios, Service, Now);
  Bucket.MilliRetries = std::min(Ratios.Limits.MaxStored * OneRetry,
                                 Bucket.MilliRetries + Permille);
}

bool takeRetry(RetryRatios &Ratios, const ServiceId &Service, Instant Now) {
  RetryRatios::Bucket &Bucket = bucketOf(Ratios, Service, Now);
  if (Bucket.MilliRetries < OneRetry)
    return false;
  Bucket.MilliRetries -= OneRetry;
  return true;
}

RetryVerdict mayRetry(RetryAllowance &Held, RetryRatios &Ratios,
                      const FailedAttempt &Attempt, Instant Now) {
  assert(Attempt.Result != Outcome::Done);
  const bool MayHaveRun = Attempt.Result == Outcome::Unknown;
  if (Attempt.Suspect)
    return RetryVerdict::Suspect;
  if (MayHaveRun && !Attempt.Idempotent)
    return RetryVerdict::NotIdempotent;
  if (Now >= Attempt.Deadline)
    return RetryVerdict::DeadlinePassed;
  const std::uint32_t Cost = MayHaveRun ? Attempt.Cost : 0;
  if (Held.Left < Cost)
    return RetryVerdict::AllowanceUsed;
  if (!takeRetry(Ratios, Attempt.Service, Now))
    return RetryVerdict::RatioUsed;
  Held.Left -= Cost;
  return RetryVerdict::Retry;
}

Outcome overallOutcome(bool EarlierMayHaveRun, Outcome Last) {
  return EarlierMayHaveRun && Last == Outcome::NotRun ? Outcome::Unknown : Last;
}

Duration remaining(Instant Deadline, Instant Now) {
  return std::max(Duration::zero(), Deadline - Now);
}

} // namespace pollenwick
