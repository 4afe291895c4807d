#include "bundle/Sections.h"

#include <limits>

#include "bundle/Digests.h"

namespace pollenwick {
namespace {

constexpr std::uint64_t MaxCount = 1'000'000;
constexpr std::uint64_t MaxPort = 65535;
constexpr std::uint64_t MaxWeight = 1000;
constexpr std::uint64_t MaxBodyBytesLimit = 64U << 20;

template <typename Id> std::vector<Id> toIds(std::vector<std::string> Texts) {
  std::vector<Id> Result;
  Result.reserve(Texts.size());
  for (std::string &Text : Texts)
    Result.emplace_back(std::move(Text));
  return Result;
}

std::uint32_t readUint32(JsonObjectReader &Reader, const std::string &Name,
                         std::uint64_t Min, std::uint64_t Max,
                         std::optional<std::uint64_t> Default = std::nullopt) {
  return static_cast<std::uint32_t>(Reader.readNumber(Name, Min, Max, Default));
}

HostSpec readHost(JsonObjectReader &Reader) {
  const auto Port = [&](const char *Name) {
    return static_cast<std::uint16_t>(Reader.readNumber(Name, 1, MaxPort));
  };
  HostSpec Host;
  Host.Id = HostId(Reader.readString("id"));
  Host.Service = ServiceId(Reader.readString("service"));
  Host.Zone = ZoneId(Reader.readString("zone"));
  Host.Address = Reader.readString("address");
  Host.CallerPort = Port("caller_port");
  Host.PeerPort = Port("peer_port");
  Host.MembershipPort = Port("membership_port");
  return Host;
}

KeySpec readKey(JsonObjectReader &Reader) {
  KeySpec Key;
  Key.Customer = CustomerId(Reader.readString("tenant"));
  const std::string Text = Reader.readString("sha256");
  if (absl::StatusOr<Digest> Sum = parseDigest(Text); Sum.ok())
    Key.Key = KeyDigest{*Sum};
  else
    Reader.setError(
        {Sum.status().message().data(), Sum.status().message().size()});
  return Key;
}

RouteSpec readRoute(JsonObjectReader &Reader) {
  RouteSpec Route;
  Route.Id = RouteId(Reader.readString("id"));
  // The service defaults to the part of the id before the slash.
  Route.Service = ServiceId(Reader.readString(
      "service", Route.Id.Text.substr(0, Route.Id.Text.find('/'))));
  Route.Class = ClassId(Reader.readString("class", ""));
  Route.Idempotent = Reader.readBool("idempotent", true);
  Route.Open = Reader.readBool("open", false);
  Route.Internal = Reader.readBool("internal", false);
  Route.Customers = toIds<CustomerId>(Reader.readStringList("tenants"));
  Reader.readObjects("calls", [&](JsonObjectReader &Edge) {
    Route.Calls.push_back({RouteId(Edge.readString("route")),
                           readUint32(Edge, "count", 1, 1000, 1)});
  });
  Route.Deadline = Reader.readMillis("deadline_ms", RouteSpec().Deadline);
  return Route;
}

Policy readPolicy(JsonObjectReader &Reader) {
  Policy Rules;
  Rules.RetryAllowance =
      readUint32(Reader, "retry_allowance", 0, 1000, Rules.RetryAllowance);
  Rules.RetryRatioPermille = readUint32(Reader, "retry_ratio_permille", 0, 1000,
                                        Rules.RetryRatioPermille);
  Rules.ViewLease = Reader.readMillis("view_lease_ms", Rules.ViewLease);
  Rules.QuotaLease = Reader.readMillis("quota_lease_ms", Rules.QuotaLease);
  Rules.TicketLifetime =
      Reader.readMillis("ticket_lifetime_ms", Rules.TicketLifetime);
  Rules.QuarantineTime =
      Reader.readMillis("quarantine_time_ms", Rules.QuarantineTime);
  Rules.MaxBodyBytes = readUint32(Reader, "max_body_bytes", 1,
                                  MaxBodyBytesLimit, Rules.MaxBodyBytes);
  Rules.Witnesses = toIds<HostId>(Reader.readStringList("witnesses"));
  return Rules;
}

Poco::Dynamic::Var tokensToJson(MicroTokens Tokens) {
  if (Tokens.Value % OneToken.Value == 0)
    return Tokens.Value / OneToken.Value;
  return static_cast<double>(Tokens.Value) / 1e6;
}

std::int64_t toMillis(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

template <typename Item, typename Write>
Poco::JSON::Array::Ptr writeList(const std::vector<Item> &List, Write Fill) {
  Poco::JSON::Array::Ptr Result = new Poco::JSON::Array;
  for (const Item &Entry : List) {
    Poco::JSON::Object::Ptr Object = newObject();
    Fill(*Object, Entry);
    Result->add(Object);
  }
  return Result;
}

template <typename Id>
Poco::JSON::Array::Ptr writeIds(const std::vector<Id> &List) {
  Poco::JSON::Array::Ptr Result = new Poco::JSON::Array;
  for (const Id &Entry : List)
    Result->add(Entry.Text);
  return Result;
}

} // namespace

void readSections(JsonObjectReader &Reader, Bundle &Out) {
  Reader.readObjects("services", [&](JsonObjectReader &Item) {
    ServiceSpec Service;
    Service.Id = ServiceId(Item.readString("id"));
    Service.Slots = readUint32(Item, "slots", 1, MaxCount);
    Service.Connections = readUint32(Item, "connections", 1, MaxCount);
    Out.Services.push_back(std::move(Service));
  });
  Reader.readObjects("hosts", [&](JsonObjectReader &Item) {
    Out.Hosts.push_back(readHost(Item));
  });
  Reader.readObjects("tenants", [&](JsonObjectReader &Item) {
    CustomerSpec Customer;
    Customer.Id = CustomerId(Item.readString("id"));
    Customer.RatePerSecond = Item.readTokens("rate");
    Customer.Burst = Item.readTokens("burst");
    Customer.Weight = readUint32(Item, "weight", 1, MaxWeight, 1);
    Out.Customers.push_back(std::move(Customer));
  });
  Reader.readObjects("keys", [&](JsonObjectReader &Item) {
    Out.Keys.push_back(readKey(Item));
  });
  Reader.readObjects("classes", [&](JsonObjectReader &Item) {
    Out.Classes.push_back({ClassId(Item.readString("id")),
                           readUint32(Item, "rank", 0, MaxCount)});
  });
  Reader.readObjects("routes", [&](JsonObjectReader &Item) {
    Out.Routes.push_back(readRoute(Item));
  });
  Reader.readObject(
      "policy", [&](JsonObjectReader &Item) { Out.Rules = readPolicy(Item); });
}

Poco::JSON::Object::Ptr newObject() {
  return new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

Poco::JSON::Array::Ptr writeServices(const std::vector<ServiceSpec> &List) {
  return writeList(List, [](auto &Out, const ServiceSpec &Service) {
    Out.set("id", Service.Id.Text);
    Out.set("slots", Service.Slots);
    Out.set("connections", Service.Connections);
  });
}

Poco::JSON::Array::Ptr writeHosts(const std::vector<HostSpec> &List) {
  return writeList(List, [](auto &Out, const HostSpec &Host) {
    Out.set("id", Host.Id.Text);
    Out.set("service", Host.Service.Text);
    Out.set("zone", Host.Zone.Text);
    Out.set("address", Host.Address);
    Out.set("caller_port", Host.CallerPort);
    Out.set("peer_port", Host.PeerPort);
    Out.set("membership_port", Host.MembershipPort);
  });
}

Poco::JSON::Array::Ptr writeCustomers(const std::vector<CustomerSpec> &List) {
  return writeList(List, [](auto &Out, const CustomerSpec &Customer) {
    Out.set("id", Customer.Id.Text);
    Out.set("rate", tokensToJson(Customer.RatePerSecond));
    Out.set("burst", tokensToJson(Customer.Burst));
    Out.set("weight", Customer.Weight);
  });
}

Poco::JSON::Array::Ptr writeKeys(const std::vector<KeySpec> &List) {
  return writeList(List, [](auto &Out, const KeySpec &Key) {
    Out.set("tenant", Key.Customer.Text);
    Out.set("sha256", digestToHex(Key.Key.Bytes));
  });
}

Poco::JSON::Array::Ptr writeClasses(const std::vector<ClassSpec> &List) {
  return writeList(List, [](auto &Out, const ClassSpec &Class) {
    Out.set("id", Class.Id.Text);
    Out.set("rank", Class.Rank);
  });
}

Poco::JSON::Array::Ptr writeRoutes(const std::vector<RouteSpec> &List) {
  return writeList(List, [](auto &Out, const RouteSpec &Route) {
    Out.set("id", Route.Id.Text);
    Out.set("service", Route.Service.Text);
    Out.set("class", Route.Class.Text);
    Out.set("idempotent", Route.Idempotent);
    Out.set("open", Route.Open);
    Out.set("internal", Route.Internal);
    Out.set("tenants", writeIds(Route.Customers));
    Out.set("calls", writeList(Route.Calls, [](auto &Item, const EdgeSpec &E) {
              Item.set("route", E.Route.Text);
              Item.set("count", E.Count);
            }));
    Out.set("deadline_ms", toMillis(Route.Deadline));
  });
}

Poco::JSON::Object::Ptr writePolicy(const Policy &Rules) {
  Poco::JSON::Object::Ptr Out = newObject();
  Out->set("retry_allowance", Rules.RetryAllowance);
  Out->set("retry_ratio_permille", Rules.RetryRatioPermille);
  Out->set("view_lease_ms", toMillis(Rules.ViewLease));
  Out->set("quota_lease_ms", toMillis(Rules.QuotaLease));
  Out->set("ticket_lifetime_ms", toMillis(Rules.TicketLifetime));
  Out->set("quarantine_time_ms", toMillis(Rules.QuarantineTime));
  Out->set("max_body_bytes", Rules.MaxBodyBytes);
  Out->set("witnesses", writeIds(Rules.Witnesses));
  return Out;
}

} // namespace pollenwick
