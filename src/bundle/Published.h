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

/// Largest value that the configuration service takes.
inline constexpr std::size_t MaxChunkBytes = 1'000'000;
inline constexpr std::size_t MaxPointerBytes = 256'000;
inline constexpr std::size_t MaxChunks = 1024;

using ChunkMap = std::map<Digest, std::string>;

/// Published form of a bundle: the pointer names the chunks by digest.
struct PublishedBundle {
  RevisionPointer Head; ///< Unsigned until `signPointer`.
  ChunkMap Chunks;
};

/// Cuts a bundle into chunks. The same content always gives the same chunks.
/// Fails if a chunk exceeds `MaxChunkBytes`.
absl::StatusOr<PublishedBundle> encodeBundle(const Bundle &Source);

/// Rebuilds the bundle. Checks the presence and the digest of each chunk.
absl::StatusOr<Bundle> assembleBundle(const RevisionPointer &Head,
                                      const ChunkMap &Chunks);

/// Makes `Head` the successor of `Parent`: sets the parent and the run of host
/// lists. Call it before `signPointer`.
void linkToParent(RevisionPointer &Head, const RevisionPointer &Parent);

/// Digest over revision, parent, run of host lists and the list of chunk names
/// and digests. It covers the revision, so that a return to older content has a
/// root of its own and the chain of parents stays unambiguous.
Digest computeRootDigest(const RevisionPointer &Head);

/// Canonical document of a pointer, signature included.
std::string encodePointer(const RevisionPointer &Head);
/// Accepts the canonical document only; does not check the signature.
absl::StatusOr<RevisionPointer> parsePointer(std::string_view Document);

/// Names of the values at the configuration service.
inline constexpr std::string_view PointerValueName = "pointer";
std::string chunkValueName(const Digest &Sum);     ///< `chunk-<hex>`
std::string ancestorValueName(const Digest &Root); ///< `pointer-<hex>`

} // namespace pollenwick

#endif
