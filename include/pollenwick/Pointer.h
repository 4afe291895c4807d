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

/// Reference to one chunk of a bundle by name, digest and size.
struct ChunkRef {
  std::string Name;       ///< Section of the bundle, for example `services` or
                          ///< `hosts/cartago`.
  Digest ContentDigest{}; ///< SHA-256 of the chunk's bytes.
  std::uint32_t Bytes = 0;
  friend bool operator==(const ChunkRef &, const ChunkRef &) = default;
};

/// Identifies a revision by number and root digest. Number 0 means that no
/// revision is named.
struct RevisionRef {
  Revision Number;
  Digest Root{};
  friend bool operator==(const RevisionRef &, const RevisionRef &) = default;
};

/// The run of consecutive revisions with one host list that a pointer belongs
/// to. The operator signs it, because a node that skips revisions cannot derive
/// it and quota ownership requires the same value at every node.
struct HostListRun {
  /// First of the consecutive revisions that have the same host chunks and
  /// policy as this one. Number 0: this revision is the first.
  RevisionRef FirstRevision;
  /// First revision of the preceding run. Number 0: unknown.
  RevisionRef PreviousRunStart;
  friend bool operator==(const HostListRun &, const HostListRun &) = default;
};

/// Header of a published bundle. It names the chunks of the bundle; the
/// operator's signature covers all other fields.
struct RevisionPointer {
  Revision Number;
  Digest Parent{}; ///< Root of the preceding revision; zero for the first.
  Digest Root{};   ///< Identifies this revision; see `computeRootDigest`.
  HostListRun HostList;
  std::vector<ChunkRef> Chunks;
  Signature OperatorSignature{};
  friend bool operator==(const RevisionPointer &,
                         const RevisionPointer &) = default;
};

} // namespace pollenwick

#endif
