#include <catch2/catch.hpp>

#include "SampleBundle.h"
#include "bundle/Check.h"
#include "bundle/Published.h"
#include "bundle/Signing.h"
#include "bundle/Source.h"

using namespace pollenwick;

TEST_CASE("A bundle travels as a signed pointer and chunks", "[published]") {
  const KeyPair Operator = generateKeyPair().value();
  const std::vector<PublicKey> Trusted{generateKeyPair()->Public,
                                       Operator.Public};
  const Bundle Source = sampleBundle();
  PublishedBundle Published = encodeBundle(Source).value();
  REQUIRE(signPointer(Published.Head, Operator.Private).ok());
  const std::string Document = encodePointer(Published.Head);

  SECTION("it arrives unchanged") {
    // Guards against fields that one side writes and the other side skips.
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

  SECTION("the source form keeps everything as well") {
    const Bundle Read = parseBundle(formatBundle(Source)).value();
    CHECK(encodeBundle(Read)->Head.Root == Published.Head.Root);
    CHECK(formatBundle(Read) == formatBundle(Source));
  }

  SECTION("the order of the source does not matter") {
    // Guards against chunks that change although nothing did.
    Bundle Other = Source;
    std::reverse(Other.Hosts.begin(), Other.Hosts.end());
    std::reverse(Other.Routes.begin(), Other.Routes.end());
    CHECK(encodeBundle(Other)->Head.Root == Published.Head.Root);
  }

  SECTION("one new key changes one chunk") {
    // Guards against a full bundle per change.
    Bundle Next = Source;
    Next.Keys.push_back({keyDigest("another"), CustomerId("first")});
    const PublishedBundle Changed = encodeBundle(Next).value();
    std::size_t Fresh = 0;
    for (const auto &[ContentDigest, Text] : Changed.Chunks)
      Fresh += Published.Chunks.contains(ContentDigest) ? 0 : 1;
    CHECK(Fresh == 1);
  }

  SECTION("the same content as another revision has another root") {
    // Guards against an ambiguous chain of parents after a rollback of content.
    Bundle Next = Source;
    Next.Number = Revision(8);
    CHECK(encodeBundle(Next)->Head.Root != Published.Head.Root);
  }

  SECTION("one flipped bit anywhere in the pointer is refused") {
    // Guards against bytes that neither the form nor the signature covers.
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

  SECTION("one flipped bit anywhere in a chunk is refused") {
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

  SECTION("only trusted operators count, and only their own signature") {
    CHECK(verifyPointer(Document, {Trusted[0]}).status().code() ==
          absl::StatusCode::kPermissionDenied);
    CHECK_FALSE(verifyPointer(Document, {}).ok());
    RevisionPointer Forged = Published.Head;
    Forged.Number = Revision(9);
    Forged.Root = computeRootDigest(Forged);
    CHECK(verifyPointer(encodePointer(Forged), Trusted).status().code() ==
          absl::StatusCode::kPermissionDenied);
  }

  SECTION("missing chunks are named") {
    ChunkMap Chunks = Published.Chunks;
    const Digest First = Published.Head.Chunks[0].ContentDigest;
    Chunks.erase(First);
    const absl::Status Status = assembleBundle(Published.Head, Chunks).status();
    CHECK(Status.code() == absl::StatusCode::kNotFound);
    CHECK(std::string(Status.message()).find(chunkValueName(First)) !=
          std::string::npos);
  }

  SECTION("keys survive their text form") {
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
