#include "Files.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "bundle/Source.h"

namespace pollenwick {
namespace fs = std::filesystem;

absl::StatusOr<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::string Content(MaxSourceBytes + 1, '\0');
  if (!In || isDirectory(Path))
    return absl::NotFoundError(
        absl::StrCat("cannot read \"", Path, "\"; check the path"));
  In.read(Content.data(), static_cast<std::streamsize>(Content.size()));
  Content.resize(static_cast<std::size_t>(In.gcount()));
  if (Content.size() > MaxSourceBytes)
    return absl::ResourceExhaustedError(
        absl::StrCat("\"", Path, "\" is larger than ", MaxSourceBytes,
                     " bytes; split or shorten it"));
  return Content;
}

absl::Status writeFile(const std::string &Path, const std::string &Content,
                       bool IsPrivate) {
  std::error_code Ignored;
  fs::remove(Path, Ignored);
  std::ofstream Out(Path, std::ios::binary);
  // Permissions are set while the file is still empty.
  if (Out && IsPrivate)
    fs::permissions(Path, fs::perms::owner_read | fs::perms::owner_write,
                    Ignored);
  Out << Content;
  Out.close();
  if (!Out || Ignored)
    return absl::PermissionDeniedError(absl::StrCat(
        "cannot write \"", Path, "\"; check the folder and its permissions"));
  return absl::OkStatus();
}

bool isDirectory(const std::string &Path) {
  std::error_code Ignored;
  return fs::is_directory(Path, Ignored);
}

absl::StatusOr<PublishedFiles> readPublished(const std::string &Directory) {
  PublishedFiles Files;
  absl::StatusOr<std::string> Document =
      readFile(Directory + "/" + std::string(PointerValueName));
  if (!Document.ok())
    return Document.status();
  Files.PointerDocument = *std::move(Document);
  absl::StatusOr<RevisionPointer> Head = parsePointer(Files.PointerDocument);
  if (!Head.ok())
    return Head.status();
  Files.Head = *std::move(Head);
  for (const ChunkRef &Ref : Files.Head.Chunks) {
    absl::StatusOr<std::string> Chunk =
        readFile(Directory + "/" + chunkValueName(Ref.ContentDigest));
    if (!Chunk.ok())
      return Chunk.status();
    Files.Chunks.emplace(Ref.ContentDigest, *std::move(Chunk));
  }
  return Files;
}

absl::Status writePublished(const std::string &Directory,
                            const PublishedBundle &Published) {
  std::error_code Error;
  fs::create_directories(Directory, Error);
  if (Error)
    return absl::PermissionDeniedError(
        absl::StrCat("cannot make the folder \"", Directory,
                     "\": ", Error.message(), "; choose another with --out"));
  for (const auto &[Sum, Text] : Published.Chunks)
    if (absl::Status Done =
            writeFile(Directory + "/" + chunkValueName(Sum), Text);
        !Done.ok())
      return Done;
  return writeFile(Directory + "/" + std::string(PointerValueName),
                   encodePointer(Published.Head));
}

absl::StatusOr<Bundle> loadBundle(const std::string &Path) {
  if (isDirectory(Path)) {
    absl::StatusOr<PublishedFiles> Files = readPublished(Path);
    if (!Files.ok())
      return Files.status();
    return assembleBundle(Files->Head, Files->Chunks);
  }
  absl::StatusOr<std::string> Text = readFile(Path);
  if (!Text.ok())
    return Text.status();
  absl::StatusOr<Bundle> Result = parseBundle(*Text);
  if (!Result.ok())
    return absl::Status(Result.status().code(),
                        absl::StrCat(Path, ": ", Result.status().message()));
  return Result;
}

absl::StatusOr<std::vector<PublicKey>> readTrusted(const std::string &Paths) {
  std::vector<PublicKey> Keys;
  const std::vector<std::string> List =
      absl::StrSplit(Paths, ',', absl::SkipEmpty());
  for (const std::string &Path : List) {
    absl::StatusOr<std::string> Text = readFile(Path);
    if (!Text.ok())
      return Text.status();
    absl::StatusOr<PublicKey> Key = parsePublicKey(*Text);
    if (!Key.ok())
      return Key.status();
    Keys.push_back(*Key);
  }
  return Keys;
}

} // namespace pollenwick
