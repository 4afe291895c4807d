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

/// Kinds of problems that the check of a bundle reports.
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
  ReportTruncated, ///< The report omits further problems of a kind.
};

/// One problem that `checkBundle` found in a bundle.
struct BundleProblem {
  BundleProblemKind Kind;
  std::string Message; ///< Names the offending value and the remedy.
};

/// Returns the name of a kind of problem for reports.
std::string_view problemKindName(BundleProblemKind Kind);

/// Maximum number of calls in a chain of nested calls, including the root call.
inline constexpr std::uint32_t MaxCallDepth = 29;
/// Number of witness hosts. A majority of them keeps the view lease valid while
/// the configuration service is down.
inline constexpr std::size_t WitnessCount = 5;

/// Maximum rate of a customer. A higher rate could overflow the 64-bit
/// arithmetic with which a shard accrues tokens.
inline constexpr MicroTokens MaxRatePerSecond{1'000'000'000'000};

/// Returns the problems of a bundle, at most 100 of each kind; an empty list
/// means that the bundle is valid. `Current` is the revision that the bundle
/// replaces; when it is set, the revision of the bundle must be higher.
std::vector<BundleProblem>
checkBundle(const Bundle &Source,
            std::optional<Revision> Current = std::nullopt);

/// Assembles a published bundle and checks it with `checkBundle`, since another
/// tool may have signed an invalid bundle. The result depends on the content
/// only, so that every node accepts or rejects the same bundles. Returns an
/// error if the bundle is incomplete, damaged or invalid.
absl::StatusOr<Bundle> assembleValidBundle(const RevisionPointer &Head,
                                           const ChunkMap &Chunks);

} // namespace pollenwick

#endif
