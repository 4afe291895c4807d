#include "bundle/Published.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "bundle/Digests.h"
#include "bundle/Json.h"
#include "bundle/Sections.h"

namespace pollenwick {
namespace {

// A chunk with 4,000 hosts contains 32,000 values.
constexpr JsonLimits ChunkLimits{MaxChunkBytes, 64'000};
constexpr JsonLimits PointerLimits{MaxPointerBytes, 8'000};
constexpr std::size_t MaxChunkNameBytes = 80;
// A key takes about 110 bytes, so a chunk stays well below `MaxChunkBytes`.
constexpr std::size_t MaxKeysPerChunk = 4'000;
constexpr std::size_t MaxKeyChunks = 256;

template <typename Item> std::vector<Item> sortedById(std::vector<Item> List) {
  std::stable_sort(List.begin(), List.end(),
                   [](const Item &A, const Item &B) { return A.Id < B.Id; });
  return List;
}

class ChunkWriter {
public:
  explicit ChunkWriter(PublishedBundle &Target) : Out(Target) {}

  void add(const std::string &Name, Poco::JSON::Object &Content) {
    std::ostringstream Stream;
    Content.stringify(Stream);
    std::string Text = Stream.str();
    if (Text.size() > MaxChunkBytes && Result.ok())
      Result = absl::ResourceExhaustedError(absl::StrCat(
          "chunk \"", Name, "\" has ", Text.size(), " bytes, the limit is ",
          MaxChunkBytes, "; shorten the ids or split the zone"));
    const Digest Sum = sha256(Text);
    Out.Head.Chunks.push_back(
        {Name, Sum, static_cast<std::uint32_t>(Text.size())});
    Out.Chunks.emplace(Sum, std::move(Text));
  }

  absl::Status status() const { return Result; }

private:
  PublishedBundle &Out;
  absl::Status Result;
};

void addHosts(const Bundle &Source, ChunkWriter &Writer) {
  std::map<ZoneId, std::vector<HostSpec>> ByZone;
  for (const HostSpec &Host : Source.Hosts)
    ByZone[Host.Zone].push_back(Host);
  for (auto &[Zone, Hosts] : ByZone) {
    Poco::JSON::Object::Ptr Content = newObject();
    Content->set("hosts", writeHosts(sortedById(std::move(Hosts))));
    Writer.add("hosts/" + Zone.Text, *Content);
  }
}

// Distributes keys over chunks by the first byte of their digest, so that
// adding or revoking a key changes only one chunk.
void addKeys(const Bundle &Source, ChunkWriter &Writer) {
  std::size_t Count = 1;
  while (Count < MaxKeyChunks && Source.Keys.size() / Count > MaxKeysPerChunk)
    Count *= 2;
  std::vector<std::vector<KeySpec>> Groups(Count);
  for (const KeySpec &Key : Source.Keys)
    Groups[Key.Key.Bytes[0] % Count].push_back(Key);
  for (std::size_t I = 0; I < Count; ++I) {
    std::sort(Groups[I].begin(), Groups[I].end(),
              [](const KeySpec &A, const KeySpec &B) {
                return std::tie(A.Key, A.Customer) <
                       std::tie(B.Key, B.Customer);
              });
    Poco::JSON::Object::Ptr Content = newObject();
    Content->set("keys", writeKeys(Groups[I]));
    Writer.add(absl::StrCat("keys/", I), *Content);
  }
}

} // namespace

absl::StatusOr<PublishedBundle> encodeBundle(const Bundle &Source) {
  PublishedBundle Result;
  Result.Head.Number = Source.Number;
  Result.Head.Parent = Source.Parent;
  ChunkWriter Writer(Result);
  Poco::JSON::Object::Ptr Content = newObject();
  Content->set("services", writeServices(sortedById(Source.Services)));
  Writer.add("services", *Content);
  addHosts(Source, Writer);
  Content = newObject();
  Content->set("tenants", writeCustomers(sortedById(Source.Customers)));
  Writer.add("tenants", *Content);
  addKeys(Source, Writer);
  Content = newObject();
  Content->set("classes", writeClasses(sortedById(Source.Classes)));
  Content->set("routes", writeRoutes(sortedById(Source.Routes)));
  Writer.add("routes", *Content);
  Content = newObject();
  Content->set("policy", writePolicy(Source.Rules));
  Writer.add("policy", *Content);
  if (!Writer.status().ok())
    return Writer.status();
  if (Result.Head.Chunks.size() > MaxChunks)
    return absl::ResourceExhaustedError(
        absl::StrCat("bundle has ", Result.Head.Chunks.size(),
                     " chunks, the limit is ", MaxChunks, "; use fewer zones"));
  Result.Head.Root = computeRootDigest(Result.Head);
  return Result;
}

absl::StatusOr<Bundle> assembleBundle(const RevisionPointer &Head,
                                      const ChunkMap &Chunks) {
  Bundle Out;
  Out.Number = Head.Number;
  Out.Parent = Head.Parent;
  for (const ChunkRef &Ref : Head.Chunks) {
    const auto Found = Chunks.find(Ref.ContentDigest);
    if (Found == Chunks.end())
      return absl::NotFoundError(absl::StrCat(
          "chunk \"", Ref.Name, "\" (", digestToHex(Ref.ContentDigest),
          ") is missing; fetch ", chunkValueName(Ref.ContentDigest)));
    if (Found->second.size() != Ref.Bytes ||
        sha256(Found->second) != Ref.ContentDigest)
      return absl::DataLossError(
          absl::StrCat("chunk \"", Ref.Name, "\" does not have the digest ",
                       digestToHex(Ref.ContentDigest), "; fetch it again"));
    absl::StatusOr<Poco::JSON::Object::Ptr> Root =
        parseJson(Found->second, ChunkLimits);
    absl::Status Result = Root.status();
    if (Result.ok()) {
      JsonObjectReader Reader(*Root, "", Result);
      readSections(Reader, Out);
      Reader.rejectUnreadFields();
    }
    if (!Result.ok())
      return absl::Status(
          Result.code(),
          absl::StrCat("chunk \"", Ref.Name, "\": ", Result.message()));
  }
  return Out;
}

void linkToParent(RevisionPointer &Head, const RevisionPointer &Parent) {
  const auto HostListChunks = [](const RevisionPointer &P) {
    std::vector<ChunkRef> Out;
    // The policy is included because it lists the witness hosts.
    std::ranges::copy_if(
        P.Chunks, std::back_inserter(Out), [](const ChunkRef &Ref) {
          return Ref.Name.starts_with("hosts/") || Ref.Name == "policy";
        });
    return Out;
  };
  const RevisionRef ParentRun = Parent.HostList.FirstRevision.Number.Value != 0
                                    ? Parent.HostList.FirstRevision
                                    : RevisionRef{Parent.Number, Parent.Root};
  Head.Parent = Parent.Root;
  Head.HostList = HostListChunks(Head) == HostListChunks(Parent)
                      ? HostListRun{ParentRun, Parent.HostList.PreviousRunStart}
                      : HostListRun{{}, ParentRun};
}

Digest computeRootDigest(const RevisionPointer &Head) {
  std::string List = absl::StrCat("pollenwick root 1\n", Head.Number.Value,
                                  "\n", digestToHex(Head.Parent), "\n");
  for (const RevisionRef &Ref :
       {Head.HostList.FirstRevision, Head.HostList.PreviousRunStart})
    absl::StrAppend(&List, Ref.Number.Value, " ", digestToHex(Ref.Root), "\n");
  // Each name is prefixed with its length, so that different lists never
  // serialize to the same bytes.
  for (const ChunkRef &Ref : Head.Chunks)
    absl::StrAppend(&List, Ref.Name.size(), " ", Ref.Name, " ", Ref.Bytes, " ",
                    digestToHex(Ref.ContentDigest), "\n");
  return sha256(List);
}

std::string encodePointer(const RevisionPointer &Head) {
  Poco::JSON::Object::Ptr Root = newObject();
  Root->set("format", 1);
  Root->set("revision", Head.Number.Value);
  Root->set("parent", digestToHex(Head.Parent));
  Root->set("root", digestToHex(Head.Root));
  Root->set("hosts_since", Head.HostList.FirstRevision.Number.Value);
  Root->set("hosts_since_root", digestToHex(Head.HostList.FirstRevision.Root));
  Root->set("hosts_before", Head.HostList.PreviousRunStart.Number.Value);
  Root->set("hosts_before_root",
            digestToHex(Head.HostList.PreviousRunStart.Root));
  Poco::JSON::Array::Ptr List = new Poco::JSON::Array;
  for (const ChunkRef &Ref : Head.Chunks) {
    Poco::JSON::Object::Ptr Item = newObject();
    Item->set("name", Ref.Name);
    Item->set("sha256", digestToHex(Ref.ContentDigest));
    Item->set("bytes", Ref.Bytes);
    List->add(Item);
  }
  Root->set("chunks", List);
  Root->set("signature", bytesToHex(Head.OperatorSignature.data(),
                                    Head.OperatorSignature.size()));
  std::ostringstream Out;
  Root->stringify(Out);
  Out << '\n';
  return Out.str();
}

absl::StatusOr<RevisionPointer> parsePointer(std::string_view Document) {
  absl::StatusOr<Poco::JSON::Object::Ptr> Root =
      parseJson(Document, PointerLimits);
  if (!Root.ok())
    return Root.status();
  absl::Status Result;
  JsonObjectReader Reader(*Root, "", Result);
  RevisionPointer Head;
  const auto ReadHex = [](JsonObjectReader &In, const char *Name, auto &Bytes) {
    if (!parseHex(In.readString(Name), Bytes.data(), Bytes.size()))
      In.setError(
          absl::StrCat(Name, " is not ", Bytes.size() * 2,
                       " lower-case hex digits; sign the bundle again"));
  };
  Reader.readNumber("format", 1, 1);
  Head.Number = Revision(Reader.readNumber(
      "revision", 1, std::numeric_limits<std::int64_t>::max() - 1));
  ReadHex(Reader, "parent", Head.Parent);
  ReadHex(Reader, "root", Head.Root);
  const auto Ref = [&](const char *Number, const char *Root, RevisionRef &To) {
    To.Number = Revision(Reader.readNumber(
        Number, 0, std::numeric_limits<std::int64_t>::max() - 1));
    ReadHex(Reader, Root, To.Root);
  };
  Ref("hosts_since", "hosts_since_root", Head.HostList.FirstRevision);
  Ref("hosts_before", "hosts_before_root", Head.HostList.PreviousRunStart);
  Reader.readObjects("chunks", [&](JsonObjectReader &Item) {
    ChunkRef Ref;
    Ref.Name = Item.readString("name");
    ReadHex(Item, "sha256", Ref.ContentDigest);
    Ref.Bytes =
        static_cast<std::uint32_t>(Item.readNumber("bytes", 1, MaxChunkBytes));
    if (Ref.Name.empty() || Ref.Name.size() > MaxChunkNameBytes)
      Item.setError(
          "chunk name is not 1 to 80 bytes long; sign the bundle again");
    Head.Chunks.push_back(std::move(Ref));
  });
  ReadHex(Reader, "signature", Head.OperatorSignature);
  Reader.rejectUnreadFields();
  if (!Result.ok())
    return Result;
  if (Head.Chunks.empty() || Head.Chunks.size() > MaxChunks)
    return absl::InvalidArgumentError(
        absl::StrCat("pointer lists ", Head.Chunks.size(),
                     " chunks; it needs 1 to ", MaxChunks));
  if (Head.Root != computeRootDigest(Head))
    return absl::DataLossError(absl::StrCat(
        "root ", digestToHex(Head.Root),
        " does not cover the revision, parent and chunks of the pointer; "
        "fetch it again"));
  // Requiring the canonical form ensures that every changed byte is detected.
  if (encodePointer(Head) != Document)
    return absl::DataLossError(
        "pointer is not in its canonical form; fetch it again");
  return Head;
}

std::string chunkValueName(const Digest &Sum) {
  return "chunk-" + digestToHex(Sum);
}

std::string ancestorValueName(const Digest &Root) {
  return "pointer-" + digestToHex(Root);
}

} // namespace pollenwick
