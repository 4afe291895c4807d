#ifndef POLLENWICK_APPS_BUNDLE_FILES_H
#define POLLENWICK_APPS_BUNDLE_FILES_H

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bundle/Published.h"
#include "bundle/Signing.h"

namespace pollenwick {

absl::StatusOr<std::string> readFile(const std::string &Path);
/// Replaces the file. A private file is readable by its owner only.
absl::Status writeFile(const std::string &Path, const std::string &Content,
                       bool IsPrivate = false);
bool isDirectory(const std::string &Path);

/// Published form as `sign` writes it.
struct PublishedFiles {
  std::string PointerDocument;
  RevisionPointer Head;
  ChunkMap Chunks;
};
absl::StatusOr<PublishedFiles> readPublished(const std::string &Directory);
absl::Status writePublished(const std::string &Directory,
                            const PublishedBundle &Published);

/// Reads a source file or a published directory.
absl::StatusOr<Bundle> loadBundle(const std::string &Path);

/// Reads the comma-separated files of `--trust`.
absl::StatusOr<std::vector<PublicKey>> readTrusted(const std::string &Paths);

} // namespace pollenwick

#endif
