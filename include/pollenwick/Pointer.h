#ifndef POLLENWICK_POINTER_H
#define POLLENWICK_POINTER_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "pollenwick/Ids.h"

namespace pollenwick {

/// Ed25519 signature.
using Signature = std::array<std::uint8_t, 64>;

struct ChunkRef {
  std::string Name; ///< Section, for example `services` or `hosts/cartago`.
  Digest ContentDigest{}; ///< SHA-256 of the chunk's bytes.
  std::uint32_t Bytes = 0;
  friend bool operator==(const ChunkRef &, const ChunkRef &) = default;
};

/// Names one revision. Number 0: none.
struct RevisionRef {
  Revision Number;
  Digest Root{};
  friend bool operator==(const RevisionRef &, const RevisionRef &) = default;
};

/// Where a pointer stands in the chain of host lists. It is signed, since a
/// node that skips revisions cannot derive it, and quota ownership needs the
/// same answer at every node.
struct HostListRun {
  /// First revision of the unbroken run with the host chunks and the policy of
  /// this one; none: this revision itself.
  RevisionRef FirstRevision;
  /// First revision of the run before that; none: unknown.
  RevisionRef PreviousRunStart;
  friend bool operator==(const HostListRun &, const HostListRun &) = default;
};

/// Head of a published bundle: one operator signature over everything else.
struct RevisionPointer {
  Revision Number;
  Digest Parent{}; ///< Root of the revision it follows; zero for the first.
  Digest Root{};   ///< Identifies this revision; see `computeRootDigest`.
  HostListRun HostList;
  std::vector<ChunkRef> Chunks;
  Signature OperatorSignature{};
  friend bool operator==(const RevisionPointer &,
                         const RevisionPointer &) = default;
};

} // namespace pollenwick

#endif
