#ifndef POLLENWICK_BUNDLE_PUBLISHED_H
#define POLLENWICK_BUNDLE_PUBLISHED_H

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "pollenwick/Bundle.h"
#include "pollenwick/Pointer.h"

namespace pollenwick {

/// Maximum size of a value that the configuration service accepts.
inline constexpr std::size_t MaxChunkBytes = 1'000'000;
inline constexpr std::size_t MaxPointerBytes = 256'000;
inline constexpr std::size_t MaxChunks = 1024;

/// Content of chunks by SHA-256 digest.
using ChunkMap = std::map<Digest, std::string>;

/// Published form of a bundle: a pointer and the chunks that it lists by
/// digest.
struct PublishedBundle {
  RevisionPointer Head; ///< Unsigned until `signPointer` is called.
  ChunkMap Chunks;
};

/// Splits a bundle into chunks. Equal content always results in equal chunks.
/// Returns an error if a chunk exceeds `MaxChunkBytes` or if there are more
/// than `MaxChunks`.
absl::StatusOr<PublishedBundle> encodeBundle(const Bundle &Source);

/// Rebuilds a bundle from its chunks. Returns an error if a chunk is missing,
/// does not match its size or digest, or cannot be parsed.
absl::StatusOr<Bundle> assembleBundle(const RevisionPointer &Head,
                                      const ChunkMap &Chunks);

/// Makes `Head` the successor of `Parent`: sets `Head.Parent` and
/// `Head.HostList`, the run of revisions with an unchanged host list. Must be
/// called before `signPointer`, since the signature covers both.
void linkToParent(RevisionPointer &Head, const RevisionPointer &Parent);

/// Computes the root digest of a pointer, which covers the revision, the
/// parent, the run of host lists and the names, sizes and digests of the
/// chunks. Since it covers the revision, a revision that restores older content
/// has a different root, which keeps the chain of parents unambiguous.
Digest computeRootDigest(const RevisionPointer &Head);

/// Returns the canonical document of a pointer, including the signature.
std::string encodePointer(const RevisionPointer &Head);
/// Parses a pointer document. Returns an error unless the document is in
/// canonical form. Does not verify the signature.
absl::StatusOr<RevisionPointer> parsePointer(std::string_view Document);

/// Name of the value at the configuration service that holds the current
/// pointer. The functions below return the names of the other values.
inline constexpr std::string_view PointerValueName = "pointer";
std::string chunkValueName(const Digest &Sum);     ///< Returns `chunk-<hex>`.
std::string ancestorValueName(const Digest &Root); ///< Returns `pointer-<hex>`.

} // namespace pollenwick

#endif
