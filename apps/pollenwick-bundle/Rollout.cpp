#include <gflags/gflags.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <optional>
#include <thread>

#include "Commands.h"
#include "Files.h"
#include "Http.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "bundle/Check.h"
#include "bundle/Digests.h"

DECLARE_string(service);
DECLARE_string(trust);
DECLARE_string(admin);
DECLARE_bool(wait);
DECLARE_int32(timeout_seconds);

namespace pollenwick {
namespace {

using Clock = std::chrono::steady_clock;
constexpr std::chrono::milliseconds PollInterval{100};
constexpr std::int32_t MaxTimeoutSeconds = 86'400;

std::string textOf(const absl::Status &Status) {
  return std::string(Status.message());
}

ExitCode checkPublished(const PublishedFiles &Files) {
  absl::StatusOr<std::vector<PublicKey>> Trusted = readTrusted(FLAGS_trust);
  if (!Trusted.ok())
    return fail(ExitInput, textOf(Trusted.status()));
  if (!Trusted->empty())
    if (const absl::Status Valid =
            verifyPointer(Files.PointerDocument, *Trusted).status();
        !Valid.ok())
      return fail(ExitSignature, textOf(Valid));
  absl::StatusOr<Bundle> Source = assembleBundle(Files.Head, Files.Chunks);
  if (!Source.ok())
    return fail(ExitInput, textOf(Source.status()));
  if (const std::vector<BundleProblem> Problems = checkBundle(*Source);
      !Problems.empty())
    return fail(ExitProblems, Problems[0].Message + "; run check for all");
  return ExitOk;
}

// A second rollout of the same pointer is allowed, so that an interrupted one
// can be repeated.
ExitCode checkOrder(const PublishedFiles &Files) {
  absl::StatusOr<std::string> Document =
      readValue(FLAGS_service, std::string(PointerValueName));
  if (absl::IsNotFound(Document.status()))
    return ExitOk;
  if (!Document.ok())
    return fail(ExitService, textOf(Document.status()));
  absl::StatusOr<RevisionPointer> Current = parsePointer(*Document);
  if (!Current.ok())
    return fail(ExitRefused, absl::StrCat("the published pointer is broken: ",
                                          Current.status().message()));
  if (Current->Root == Files.Head.Root)
    return ExitOk;
  if (Files.Head.Number <= Current->Number)
    return fail(ExitRefused,
                absl::StrCat("revision ", Files.Head.Number.Value,
                             " would roll back the published revision ",
                             Current->Number.Value,
                             "; sign the content again as revision ",
                             Current->Number.Value + 1));
  if (Files.Head.Parent != Current->Root)
    return fail(ExitRefused,
                absl::StrCat("revision ", Files.Head.Number.Value, " follows ",
                             digestToHex(Files.Head.Parent), ", but ",
                             digestToHex(Current->Root),
                             " is published (another operator may have been "
                             "faster); sign again with --service ",
                             FLAGS_service));
  return ExitOk;
}

absl::Status publish(const PublishedFiles &Files) {
  for (const auto &[Sum, Text] : Files.Chunks)
    if (absl::Status Done =
            writeValue(FLAGS_service, chunkValueName(Sum), Text);
        !Done.ok())
      return Done;
  // Nodes that missed revisions fetch the chain of parents by root.
  if (absl::Status Done =
          writeValue(FLAGS_service, ancestorValueName(Files.Head.Root),
                     Files.PointerDocument);
      !Done.ok())
    return Done;
  return writeValue(FLAGS_service, std::string(PointerValueName),
                    Files.PointerDocument);
}

struct NodeState {
  std::string Host;
  std::uint64_t Revision = 0;
};

std::optional<NodeState> readState(const std::string &Admin) {
  absl::StatusOr<std::string> Text = httpRead(Admin, "/state");
  if (!Text.ok())
    return std::nullopt;
  try {
    Poco::JSON::Parser Parser;
    const auto Root = Parser.parse(*Text).extract<Poco::JSON::Object::Ptr>();
    const Poco::JSON::Object::Ptr Config = Root->getObject("config");
    if (!Config)
      return std::nullopt;
    return NodeState{Root->optValue<std::string>("host", ""),
                     Config->getValue<std::uint64_t>("revision")};
  } catch (const Poco::Exception &) {
    return std::nullopt; // A node that starts may have no configuration yet.
  }
}

ExitCode waitInForce(std::uint64_t Revision, Clock::time_point Start) {
  std::vector<std::string> Left =
      absl::StrSplit(FLAGS_admin, ',', absl::SkipEmpty());
  const auto Seconds = [&] {
    return std::chrono::duration<double>(Clock::now() - Start).count();
  };
  std::cout << std::fixed << std::setprecision(1);
  while (!Left.empty()) {
    std::erase_if(Left, [&](const std::string &Admin) {
      const std::optional<NodeState> State = readState(Admin);
      if (!State || State->Revision < Revision)
        return false;
      std::cout << "in force  " << Admin << ' ' << State->Host << " revision "
                << State->Revision << " after " << Seconds() << " s"
                << std::endl;
      return true;
    });
    if (Left.empty())
      break;
    if (Seconds() > FLAGS_timeout_seconds) {
      for (const std::string &Admin : Left)
        std::cout << "missing   " << Admin << '\n';
      return fail(ExitTimeout,
                  absl::StrCat("revision ", Revision, " is not in force at ",
                               Left.size(), " nodes after ",
                               FLAGS_timeout_seconds,
                               " s; read their logs or wait longer with "
                               "--timeout_seconds"));
    }
    std::this_thread::sleep_for(PollInterval);
  }
  std::cout << "everywhere after " << Seconds() << " s\n";
  return ExitOk;
}

} // namespace

ExitCode runRollout(const Arguments &Args) {
  if (Args.size() != 1 || FLAGS_service.empty())
    return fail(ExitUsage, "rollout needs a signed folder and --service "
                           "HOST:PORT");
  if (FLAGS_wait && FLAGS_admin.empty())
    return fail(ExitUsage, "rollout --wait needs --admin HOST:PORT,...");
  if (FLAGS_timeout_seconds < 1 || FLAGS_timeout_seconds > MaxTimeoutSeconds)
    return fail(ExitUsage, "--timeout_seconds must be 1 to 86400");
  absl::StatusOr<PublishedFiles> Files = readPublished(Args[0]);
  if (!Files.ok())
    return fail(ExitInput, textOf(Files.status()));
  if (const ExitCode Code = checkPublished(*Files); Code != ExitOk)
    return Code;
  if (const ExitCode Code = checkOrder(*Files); Code != ExitOk)
    return Code;
  const Clock::time_point Start = Clock::now();
  if (const absl::Status Done = publish(*Files); !Done.ok())
    return fail(ExitService, textOf(Done));
  std::cout << "published revision " << Files->Head.Number.Value << " root "
            << digestToHex(Files->Head.Root) << std::endl;
  return FLAGS_wait ? waitInForce(Files->Head.Number.Value, Start) : ExitOk;
}

} // namespace pollenwick
