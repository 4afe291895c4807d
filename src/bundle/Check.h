#ifndef POLLENWICK_BUNDLE_CHECK_H
#define POLLENWICK_BUNDLE_CHECK_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "bundle/Published.h"
#include "pollenwick/Bundle.h"

namespace pollenwick {

enum class BundleProblemKind : std::uint8_t {
  InvalidName,
  Duplicate,
  UnknownName,
  RouteWithoutClass,
  RouteNameMismatch,
  QuotaNotDivisible,
  Cycle,
  CallChainTooLong,
  IdempotentCallsNonIdempotent,
  OpenCallsRestricted,
  ConflictingOptions,
  DuplicateKey,
  DuplicateHost,
  DuplicateAddress,
  Witnesses,
  ChunkTooLarge,
  RevisionNotIncreasing,
  InvalidValue,
  ReportTruncated, ///< Further problems of a kind were left out.
};

struct BundleProblem {
  BundleProblemKind Kind;
  std::string Message; ///< Names the offending value and the remedy.
};

std::string_view problemKindName(BundleProblemKind Kind);

/// Longest chain of nested calls, the root call included.
inline constexpr std::uint32_t MaxCallDepth = 29;
/// Hosts whose majority keeps the view lease when the service is down.
inline constexpr std::size_t WitnessCount = 5;

/// Highest rate of a customer. The accrual of a shard is computed in 64 bits.
inline constexpr MicroTokens MaxRatePerSecond{1'000'000'000'000};

/// Everything that is wrong with a bundle, up to 100 problems of each kind.
/// `Current` is the revision that the bundle is to follow.
std::vector<BundleProblem>
checkBundle(const Bundle &Source,
            std::optional<Revision> Current = std::nullopt);

/// Assembles and checks a published bundle, since another tool may have signed
/// what `checkBundle` refuses. The verdict depends on the content only, so that
/// it is the same at every node.
absl::StatusOr<Bundle> assembleValidBundle(const RevisionPointer &Head,
                                           const ChunkMap &Chunks);

} // namespace pollenwick

#endif
