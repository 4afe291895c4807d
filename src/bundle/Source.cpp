#include "bundle/Source.h"

#include <limits>
#include <sstream>

#include "bundle/Digests.h"
#include "bundle/Json.h"
#include "bundle/Sections.h"

namespace pollenwick {
namespace {

// Sufficient for a bundle with 3,000 hosts, 79 services and 50,000 keys.
constexpr std::size_t MaxSourceValues = 400'000;

} // namespace

absl::StatusOr<Bundle> parseBundle(std::string_view Text) {
  absl::StatusOr<Poco::JSON::Object::Ptr> Root =
      parseJson(Text, {MaxSourceBytes, MaxSourceValues});
  if (!Root.ok())
    return Root.status();
  absl::Status Result;
  Bundle Out;
  JsonObjectReader Reader(*Root, "", Result);
  // The maximum value is excluded, so that every revision can have a successor.
  Out.Number = Revision(Reader.readNumber(
      "revision", 1, std::numeric_limits<std::int64_t>::max() - 1));
  const std::string Parent = Reader.readString("parent", digestToHex(Digest{}));
  if (absl::StatusOr<Digest> Sum = parseDigest(Parent); Sum.ok())
    Out.Parent = *Sum;
  else
    Reader.setError(
        {Sum.status().message().data(), Sum.status().message().size()});
  readSections(Reader, Out);
  Reader.rejectUnreadFields();
  if (!Result.ok())
    return Result;
  return Out;
}

std::string formatBundle(const Bundle &Source) {
  Poco::JSON::Object::Ptr Root = newObject();
  Root->set("revision", Source.Number.Value);
  Root->set("parent", digestToHex(Source.Parent));
  Root->set("services", writeServices(Source.Services));
  Root->set("hosts", writeHosts(Source.Hosts));
  Root->set("tenants", writeCustomers(Source.Customers));
  Root->set("keys", writeKeys(Source.Keys));
  Root->set("classes", writeClasses(Source.Classes));
  Root->set("routes", writeRoutes(Source.Routes));
  Root->set("policy", writePolicy(Source.Rules));
  std::ostringstream Out;
  Root->stringify(Out, 2);
  Out << '\n';
  return Out.str();
}

} // namespace pollenwick
