#include <catch2/catch.hpp>

#include "SampleBundle.h"
#include "bundle/Check.h"
#include "bundle/Published.h"
#include "bundle/Signing.h"
#include "bundle/Source.h"

using namespace pollenwick;

TEST_CASE("A bundle is published as a signed pointer and chunks",
          "[published]") {
  const KeyPair Operator = generateKeyPair().value();
  const std::vector<PublicKey> Trusted{generateKeyPair()->Public,
                                       Operator.Public};
  const Bundle Source = sampleBundle();
  PublishedBundle Published = encodeBundle(Source).value();
  REQUIRE(signPointer(Published.Head, Operator.Private).ok());
  const std::string Document = encodePointer(Published.Head);

  SECTION("assembling the chunks restores the bundle") {
    // Guards against a field that is written but not read.
    const RevisionPointer Head = verifyPointer(Document, Trusted).value();
    CHECK(Head == Published.Head);
    const Bundle Result = assembleBundle(Head, Published.Chunks).value();
    CHECK(checkBundle(Result).empty());
    CHECK(encodeBundle(Result)->Head.Root == Published.Head.Root);
    CHECK(Result.Hosts.size() == Source.Hosts.size());
    CHECK(Result.Customers[0].RatePerSecond ==
          Source.Customers[0].RatePerSecond);
    CHECK(Result.Routes[0].Calls[0].Count == 2);
  }

  SECTION("writing and reading the source form preserves the bundle") {
    const Bundle Read = parseBundle(formatBundle(Source)).value();
    CHECK(encodeBundle(Read)->Head.Root == Published.Head.Root);
    CHECK(formatBundle(Read) == formatBundle(Source));
  }

  SECTION("the order of entries in the source does not change the chunks") {
    // Guards against chunks that change although the content is the same.
    Bundle Other = Source;
    std::reverse(Other.Hosts.begin(), Other.Hosts.end());
    std::reverse(Other.Routes.begin(), Other.Routes.end());
    CHECK(encodeBundle(Other)->Head.Root == Published.Head.Root);
  }

  SECTION("adding a key changes only one chunk") {
    // Guards against a change that requires publishing the whole bundle again.
    Bundle Next = Source;
    Next.Keys.push_back({keyDigest("another"), CustomerId("first")});
    const PublishedBundle Changed = encodeBundle(Next).value();
    std::size_t Fresh = 0;
    for (const auto &[ContentDigest, Text] : Changed.Chunks)
      Fresh += Published.Chunks.contains(ContentDigest) ? 0 : 1;
    CHECK(Fresh == 1);
  }

  SECTION("equal content in a different revision has a different root") {
    // Guards against an ambiguous chain of parents after older content is
    // restored.
    Bundle Next = Source;
    Next.Number = Revision(8);
    CHECK(encodeBundle(Next)->Head.Root != Published.Head.Root);
  }

  SECTION("a flipped bit anywhere in the pointer is detected") {
    // Guards against bytes that neither the canonical form nor the signature
    // covers.
    std::size_t Accepted = 0;
    for (std::size_t Bit = 0; Bit < Document.size() * 8; ++Bit) {
      std::string Flipped = Document;
      Flipped[Bit / 8] = static_cast<char>(
          static_cast<unsigned char>(Flipped[Bit / 8]) ^ (1U << (Bit % 8)));
      Accepted += verifyPointer(Flipped, Trusted).ok() ? 1 : 0;
    }
    CHECK(Accepted == 0);
    CHECK(verifyPointer(Document, Trusted).ok());
  }

  SECTION("a flipped bit anywhere in a chunk is detected") {
    std::size_t Accepted = 0;
    for (const auto &[ContentDigest, Text] : Published.Chunks)
      for (std::size_t Bit = 0; Bit < Text.size() * 8; ++Bit) {
        ChunkMap Chunks = Published.Chunks;
        char &Byte = Chunks[ContentDigest][Bit / 8];
        Byte = static_cast<char>(static_cast<unsigned char>(Byte) ^
                                 (1U << (Bit % 8)));
        Accepted += assembleBundle(Published.Head, Chunks).ok() ? 1 : 0;
      }
    CHECK(Accepted == 0);
  }

  SECTION("only a signature of a trusted operator is accepted") {
    CHECK(verifyPointer(Document, {Trusted[0]}).status().code() ==
          absl::StatusCode::kPermissionDenied);
    CHECK_FALSE(verifyPointer(Document, {}).ok());
    RevisionPointer Forged = Published.Head;
    Forged.Number = Revision(9);
    Forged.Root = computeRootDigest(Forged);
    CHECK(verifyPointer(encodePointer(Forged), Trusted).status().code() ==
          absl::StatusCode::kPermissionDenied);
  }

  SECTION("the error for a missing chunk names the chunk") {
    ChunkMap Chunks = Published.Chunks;
    const Digest First = Published.Head.Chunks[0].ContentDigest;
    Chunks.erase(First);
    const absl::Status Status = assembleBundle(Published.Head, Chunks).status();
    CHECK(Status.code() == absl::StatusCode::kNotFound);
    CHECK(std::string(Status.message()).find(chunkValueName(First)) !=
          std::string::npos);
  }

  SECTION("formatting and parsing a key preserves it") {
    CHECK(parsePublicKey(keyToHex(Operator.Public) + "\n").value() ==
          Operator.Public);
    CHECK(
        derivePublicKey(*parsePrivateKey(keyToHex(Operator.Private))).value() ==
        Operator.Public);
    CHECK_FALSE(parsePublicKey("abc").ok());
    CHECK(digestToHex(sha256("abc")) == "ba7816bf8f01cfea414140de5dae2223"
                                        "b00361a396177a9cb410ff61f20015ad");
  }
}
