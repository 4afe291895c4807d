#include <algorithm>
#include <iostream>

#include <Poco/Net/NetException.h>
#include <Poco/URI.h>
#include <gflags/gflags.h>

#include "../common/HttpApp.h"
#include "../common/Json.h"
#include "ConfigStore.h"

DEFINE_int32(port, 0, "TCP port on 127.0.0.1; 0 lets the system choose");
DEFINE_validator(port, &pollenwick::tools::validPort);
DEFINE_int32(reads_per_second, 2000,
             "reads and watches answered in a second, over all readers");
DEFINE_validator(reads_per_second, &pollenwick::tools::validPositive);
DEFINE_int32(max_connections, 1024, "connections served at a time");
DEFINE_validator(max_connections, &pollenwick::tools::validPositive);
DEFINE_string(operator_token, "",
              "when set, writes need the header `Operator-Token` with it");

namespace pollenwick::tools {
namespace {

constexpr std::size_t MaxValueBytes = 1'000'000;
constexpr std::chrono::milliseconds MaxWatch = std::chrono::minutes(1);
const std::string ValuesPath = "/v1/values/";
const std::string WatchPath = "/v1/watch/";

std::string errorText(const std::string &Message) {
  JsonObject::Ptr Out = new JsonObject;
  Out->set("error", Message);
  return toText(Out);
}

void sendValue(HttpResponse &Response, const ConfigValue &Value) {
  Response.set("Config-Version", std::to_string(Value.Version));
  sendText(Response, 200, Value.Body, "application/octet-stream");
}

std::uint64_t queryNumber(const Poco::URI &Uri, const std::string &Name) {
  for (const auto &[Key, Value] : Uri.getQueryParameters())
    if (Key == Name)
      return std::stoull(Value);
  return 0;
}

void write(ConfigStore &Store, const std::string &Name, HttpRequest &Request,
           HttpResponse &Response) {
  if (!FLAGS_operator_token.empty() &&
      Request.get("Operator-Token", "") != FLAGS_operator_token)
    return sendText(Response, 403, errorText("only operators write values"));
  std::string Body;
  if (!readBody(Request, MaxValueBytes, Body)) {
    // The rest of the body is not read, so the connection cannot be reused.
    Response.setKeepAlive(false);
    return sendText(Response, 413, errorText("a value is at most 1 MB"));
  }
  const std::uint64_t Version = Store.write(Name, std::move(Body));
  Response.set("Config-Version", std::to_string(Version));
  sendText(Response, 200, "{\"version\":" + std::to_string(Version) + "}");
}

void serveValue(ConfigStore &Store, CallKind Kind, const std::string &Name,
                HttpRequest &Request, HttpResponse &Response) {
  switch (Store.admit(Kind, Name)) {
  case Admittance::Down:
    return dropConnection(Request);
  case Admittance::OverRate:
    Response.set("Retry-After", "1");
    return sendText(Response, 429, errorText("too many reads in this second"));
  case Admittance::Accepted:
    break;
  }
  if (Kind == CallKind::Write)
    return write(Store, Name, Request, Response);
  std::optional<ConfigValue> Found;
  if (Kind == CallKind::Read) {
    Found = Store.read(Name);
  } else {
    const Poco::URI Uri(Request.getURI());
    const std::chrono::milliseconds Wait(queryNumber(Uri, "wait_ms"));
    Found =
        Store.watch(Name, queryNumber(Uri, "after"), std::min(Wait, MaxWatch));
    if (!Found && Store.down())
      return dropConnection(Request);
  }
  if (Found)
    return sendValue(Response, *Found);
  if (Kind == CallKind::Watch)
    return sendText(Response, 304, "");
  sendText(Response, 404, errorText("no value is named " + Name));
}

void control(ConfigStore &Store, HttpRequest &Request, HttpResponse &Response) {
  std::string Body;
  readBody(Request, MaxValueBytes, Body);
  const JsonObject::Ptr Wanted = parseObject(Body);
  if (Wanted->has("down"))
    Store.setDown(Wanted->getValue<bool>("down"));
  if (Wanted->has("stale"))
    Store.setStale(Wanted->getValue<bool>("stale"));
  if (Wanted->has("flap_ms"))
    Store.setFlap(
        std::chrono::milliseconds(Wanted->getValue<unsigned>("flap_ms")));
  sendText(Response, 200, "{}");
}

void stats(ConfigStore &Store, HttpResponse &Response) {
  JsonObject::Ptr Names = new JsonObject;
  std::uint64_t Total = 0;
  for (const auto &[Name, Count] : Store.counts()) {
    JsonObject::Ptr Row = new JsonObject;
    Row->set("reads", Count.Reads);
    Row->set("watches", Count.Watches);
    Row->set("writes", Count.Writes);
    Row->set("refused_over_rate", Count.RefusedOverRate);
    Row->set("dropped", Count.Dropped);
    Names->set(Name, Row);
    Total += Count.Reads + Count.Watches;
  }
  JsonObject::Ptr Out = new JsonObject;
  Out->set("names", Names);
  Out->set("reads_and_watches", Total);
  sendText(Response, 200, toText(Out));
}

void serve(ConfigStore &Store, HttpRequest &Request, HttpResponse &Response) {
  const std::string Path = Poco::URI(Request.getURI()).getPath();
  const bool Put = Request.getMethod() == "PUT";
  try {
    if (Path.starts_with(ValuesPath))
      return serveValue(Store, Put ? CallKind::Write : CallKind::Read,
                        Path.substr(ValuesPath.size()), Request, Response);
    if (Path.starts_with(WatchPath))
      return serveValue(Store, CallKind::Watch, Path.substr(WatchPath.size()),
                        Request, Response);
    if (Path == "/control")
      return control(Store, Request, Response);
    if (Path == "/stats")
      return stats(Store, Response);
    sendText(Response, 404, errorText("no such path: " + Path));
  } catch (const Poco::Net::NetException &) {
    throw;
  } catch (const Poco::Exception &Error) {
    sendText(Response, 400, errorText(Error.displayText()));
  } catch (const std::logic_error &Error) {
    sendText(Response, 400, errorText(Error.what()));
  }
}

int run() {
  blockStopSignals();
  ConfigStore Store(static_cast<std::uint64_t>(FLAGS_reads_per_second));
  HttpApp App(static_cast<std::uint16_t>(FLAGS_port), FLAGS_max_connections,
              [&](HttpRequest &Request, HttpResponse &Response) {
                serve(Store, Request, Response);
              });
  std::cout << "port " << App.port() << std::endl;
  waitForStopSignal();
  // Ends the waiting watches, so that their threads can be joined.
  Store.setDown(true);
  return 0;
}

} // namespace
} // namespace pollenwick::tools

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("stand-in for the configuration service");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return pollenwick::tools::runMain(pollenwick::tools::run);
}
