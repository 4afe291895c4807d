#include <gflags/gflags.h>

#include <iostream>
#include <map>
#include <optional>
#include <sstream>

#include "Commands.h"
#include "Files.h"
#include "Http.h"
#include "absl/strings/str_cat.h"
#include "bundle/Check.h"
#include "bundle/Digests.h"
#include "bundle/Sections.h"
#include "bundle/Source.h"

DECLARE_string(key);
DECLARE_string(out);
DECLARE_string(parent);
DECLARE_string(service);
DECLARE_string(trust);
DECLARE_string(tenant);
DECLARE_int64(current);

namespace pollenwick {
namespace {

std::string textOf(const absl::Status &Status) {
  return std::string(Status.message());
}

ExitCode printProblems(const std::string &Path,
                       const std::vector<BundleProblem> &Problems) {
  for (const BundleProblem &Item : Problems)
    std::cout << Path << ": " << problemKindName(Item.Kind) << ": "
              << Item.Message << '\n';
  return Problems.empty() ? ExitOk : ExitProblems;
}

Bundle starterBundle() {
  Bundle Result;
  Result.Number = Revision(1);
  Result.Services = {{ServiceId("shop"), 20, 200}};
  for (std::uint16_t I = 0; I < 5; ++I) {
    const std::string Name = absl::StrCat("shop-", I + 1);
    Result.Hosts.push_back({HostId(Name), ServiceId("shop"),
                            ZoneId(absl::StrCat("zone-", I % 3)), "127.0.0.1",
                            static_cast<std::uint16_t>(20001 + I),
                            static_cast<std::uint16_t>(20201 + I),
                            static_cast<std::uint16_t>(20401 + I)});
    Result.Rules.Witnesses.emplace_back(Name);
  }
  Result.Customers = {
      {CustomerId("first"), MicroTokens{100'000'000}, MicroTokens{30'000'000}}};
  Result.Classes = {{ClassId("payment"), 0}, {ClassId("lookup"), 1}};
  RouteSpec Lookup;
  Lookup.Id = RouteId("shop/lookup");
  Lookup.Service = ServiceId("shop");
  Lookup.Class = ClassId("lookup");
  RouteSpec Order = Lookup;
  Order.Id = RouteId("shop/order");
  Order.Class = ClassId("payment");
  Order.Idempotent = false;
  Order.Calls = {{Lookup.Id, 1}};
  Result.Routes = {Lookup, Order};
  return Result;
}

using Entries = std::map<std::string, std::string>;

std::string compact(const Poco::Dynamic::Var &Value) {
  std::ostringstream Out;
  Poco::JSON::Stringifier::stringify(Value, Out);
  return Out.str();
}

void addEntries(Entries &Out, const std::string &Section,
                const Poco::JSON::Array::Ptr &List, const char *IdField) {
  for (std::size_t I = 0; I < List->size(); ++I) {
    const Poco::JSON::Object::Ptr Item = List->getObject(I);
    Out[Section + " " + Item->getValue<std::string>(IdField)] =
        compact(List->get(I));
  }
}

Entries entriesOf(const Bundle &Source) {
  Entries Out;
  addEntries(Out, "service", writeServices(Source.Services), "id");
  addEntries(Out, "host", writeHosts(Source.Hosts), "id");
  addEntries(Out, "tenant", writeCustomers(Source.Customers), "id");
  addEntries(Out, "key", writeKeys(Source.Keys), "sha256");
  addEntries(Out, "class", writeClasses(Source.Classes), "id");
  addEntries(Out, "route", writeRoutes(Source.Routes), "id");
  Out["policy"] = compact(writePolicy(Source.Rules));
  return Out;
}

// The revision and the parent of the next bundle follow a published pointer,
// which `Parent` receives.
absl::Status followParent(Bundle &Source,
                          std::optional<RevisionPointer> &Parent) {
  if (FLAGS_parent.empty() && FLAGS_service.empty())
    return absl::OkStatus();
  absl::StatusOr<RevisionPointer> Head;
  if (!FLAGS_parent.empty()) {
    absl::StatusOr<PublishedFiles> Files = readPublished(FLAGS_parent);
    if (!Files.ok())
      return Files.status();
    Head = Files->Head;
  } else {
    absl::StatusOr<std::string> Document =
        readValue(FLAGS_service, std::string(PointerValueName));
    if (absl::IsNotFound(Document.status()))
      return absl::OkStatus();
    if (!Document.ok())
      return Document.status();
    Head = parsePointer(*Document);
    if (!Head.ok())
      return Head.status();
  }
  Source.Parent = Head->Root;
  Parent = *Head;
  if (Source.Number <= Head->Number)
    return absl::FailedPreconditionError(absl::StrCat(
        "revision ", Source.Number.Value, " does not follow the revision ",
        Head->Number.Value, " of its parent; set \"revision\" to ",
        Head->Number.Value + 1));
  return absl::OkStatus();
}

ExitCode showSource(const std::string &Path) {
  absl::StatusOr<Bundle> Source = loadBundle(Path);
  if (!Source.ok())
    return fail(ExitInput, textOf(Source.status()));
  std::cout << "revision  " << Source->Number.Value << "\nparent    "
            << digestToHex(Source->Parent) << "\nservices  "
            << Source->Services.size() << "\nhosts     " << Source->Hosts.size()
            << "\ntenants   " << Source->Customers.size() << "\nkeys      "
            << Source->Keys.size() << "\nclasses   " << Source->Classes.size()
            << "\nroutes    " << Source->Routes.size() << '\n';
  return ExitOk;
}

} // namespace

ExitCode runInit(const Arguments &) {
  const std::string Text = formatBundle(starterBundle());
  if (FLAGS_out.empty()) {
    std::cout << Text;
    return ExitOk;
  }
  if (readFile(FLAGS_out).ok())
    return fail(ExitInput, "\"" + FLAGS_out +
                               "\" exists already; remove it or choose "
                               "another file with --out");
  const absl::Status Done = writeFile(FLAGS_out, Text);
  return Done.ok() ? ExitOk : fail(ExitInput, textOf(Done));
}

ExitCode runKeygen(const Arguments &Args) {
  if (Args.size() == 1 && Args[0] == "tenant") {
    absl::StatusOr<std::string> Key = generateCustomerKey();
    if (!Key.ok())
      return fail(ExitInput, textOf(Key.status()));
    const std::string Sum = digestToHex(keyDigest(*Key).Bytes);
    std::cout << "key     " << *Key << "\nsha256  " << Sum << '\n';
    if (!FLAGS_tenant.empty())
      std::cout << "entry   "
                << compact(
                       writeKeys({{keyDigest(*Key), CustomerId(FLAGS_tenant)}})
                           ->get(0))
                << '\n';
    return ExitOk;
  }
  if (Args.size() != 1 || Args[0] != "operator" || FLAGS_out.empty())
    return fail(ExitUsage, "keygen needs `operator --out FILE` or `tenant`");
  if (readFile(FLAGS_out + ".key").ok())
    return fail(ExitInput, "\"" + FLAGS_out +
                               ".key\" exists already; choose another --out");
  absl::StatusOr<KeyPair> Pair = generateKeyPair();
  if (!Pair.ok())
    return fail(ExitInput, textOf(Pair.status()));
  absl::Status Done =
      writeFile(FLAGS_out + ".key", keyToHex(Pair->Private) + "\n", true);
  if (Done.ok())
    Done = writeFile(FLAGS_out + ".pub", keyToHex(Pair->Public) + "\n");
  if (!Done.ok())
    return fail(ExitInput, textOf(Done));
  std::cout << "private  " << FLAGS_out << ".key (keep secret)\npublic   "
            << FLAGS_out << ".pub " << keyToHex(Pair->Public) << '\n';
  return ExitOk;
}

ExitCode runCheck(const Arguments &Args) {
  if (Args.empty() || FLAGS_current < 0)
    return fail(ExitUsage, "check needs at least one file, and --current a "
                           "revision of at least 0");
  ExitCode Worst = ExitOk;
  for (const std::string &Path : Args) {
    absl::StatusOr<Bundle> Source = loadBundle(Path);
    if (!Source.ok()) {
      Worst = fail(ExitInput, textOf(Source.status()));
      continue;
    }
    std::optional<Revision> Current;
    if (FLAGS_current > 0)
      Current = Revision(static_cast<std::uint64_t>(FLAGS_current));
    const std::vector<BundleProblem> Problems = checkBundle(*Source, Current);
    printProblems(Path, Problems);
    if (Problems.empty())
      std::cout << Path << ": ok, revision " << Source->Number.Value << '\n';
    else if (Worst == ExitOk)
      Worst = ExitProblems;
  }
  return Worst;
}

ExitCode runDiff(const Arguments &Args) {
  if (Args.size() != 2)
    return fail(ExitUsage, "diff needs an old and a new bundle");
  std::array<Entries, 2> Sides;
  for (std::size_t I = 0; I < 2; ++I) {
    absl::StatusOr<Bundle> Source = loadBundle(Args[I]);
    if (!Source.ok())
      return fail(ExitInput, textOf(Source.status()));
    Sides[I] = entriesOf(*Source);
  }
  bool Differs = false;
  const auto Print = [&](char Mark, const std::string &Name,
                         const std::string &Text) {
    Differs = true;
    std::cout << Mark << ' ' << Name << "  " << Text << '\n';
  };
  for (const auto &[Name, Text] : Sides[0])
    if (const auto Found = Sides[1].find(Name); Found == Sides[1].end())
      Print('-', Name, Text);
    else if (Found->second != Text) {
      Print('<', Name, Text);
      Print('>', Name, Found->second);
    }
  for (const auto &[Name, Text] : Sides[1])
    if (!Sides[0].contains(Name))
      Print('+', Name, Text);
  return Differs ? ExitDiffers : ExitOk;
}

ExitCode runSign(const Arguments &Args) {
  if (Args.size() != 1 || FLAGS_key.empty() || FLAGS_out.empty())
    return fail(ExitUsage, "sign needs a bundle, --key FILE.key and --out DIR");
  absl::StatusOr<Bundle> Source = loadBundle(Args[0]);
  if (!Source.ok())
    return fail(ExitInput, textOf(Source.status()));
  std::optional<RevisionPointer> Parent;
  if (const absl::Status Done = followParent(*Source, Parent); !Done.ok())
    return fail(absl::IsFailedPrecondition(Done) ? ExitProblems
                : absl::IsUnavailable(Done)      ? ExitService
                                                 : ExitInput,
                textOf(Done));
  if (const ExitCode Code = printProblems(Args[0], checkBundle(*Source));
      Code != ExitOk)
    return Code;
  absl::StatusOr<std::string> Text = readFile(FLAGS_key);
  if (!Text.ok())
    return fail(ExitInput, textOf(Text.status()));
  absl::StatusOr<PrivateKey> Key = parsePrivateKey(*Text);
  if (!Key.ok())
    return fail(ExitSignature, textOf(Key.status()));
  absl::StatusOr<PublishedBundle> Published = encodeBundle(*Source);
  if (!Published.ok())
    return fail(ExitProblems, textOf(Published.status()));
  if (Parent)
    linkToParent(Published->Head, *Parent);
  if (const absl::Status Done = signPointer(Published->Head, *Key); !Done.ok())
    return fail(ExitSignature, textOf(Done));
  if (const absl::Status Done = writePublished(FLAGS_out, *Published);
      !Done.ok())
    return fail(ExitInput, textOf(Done));
  std::cout << "revision  " << Published->Head.Number.Value << "\nparent    "
            << digestToHex(Published->Head.Parent) << "\nroot      "
            << digestToHex(Published->Head.Root) << "\nchunks    "
            << Published->Head.Chunks.size() << " in " << FLAGS_out << '\n';
  return ExitOk;
}

ExitCode runShow(const Arguments &Args) {
  if (Args.size() != 1)
    return fail(ExitUsage, "show needs one signed folder or source file");
  if (!isDirectory(Args[0]))
    return showSource(Args[0]);
  absl::StatusOr<PublishedFiles> Files = readPublished(Args[0]);
  if (!Files.ok())
    return fail(ExitInput, textOf(Files.status()));
  if (const absl::Status Whole =
          assembleBundle(Files->Head, Files->Chunks).status();
      !Whole.ok())
    return fail(ExitInput, textOf(Whole));
  absl::StatusOr<std::vector<PublicKey>> Trusted = readTrusted(FLAGS_trust);
  if (!Trusted.ok())
    return fail(ExitInput, textOf(Trusted.status()));
  const char *Verdict = "not checked, give --trust FILE.pub";
  if (!Trusted->empty()) {
    if (const absl::Status Valid =
            verifyPointer(Files->PointerDocument, *Trusted).status();
        !Valid.ok())
      return fail(ExitSignature, textOf(Valid));
    Verdict = "valid";
  }
  std::cout << "revision   " << Files->Head.Number.Value << "\nparent     "
            << digestToHex(Files->Head.Parent) << "\nroot       "
            << digestToHex(Files->Head.Root) << "\nsignature  " << Verdict
            << '\n';
  for (const ChunkRef &Ref : Files->Head.Chunks)
    std::cout << "chunk      " << digestToHex(Ref.ContentDigest) << ' '
              << Ref.Bytes << ' ' << Ref.Name << '\n';
  return ExitOk;
}

} // namespace pollenwick
