#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

#include <Poco/URI.h>
#include <gflags/gflags.h>

#include "../common/HttpApp.h"
#include "../common/Json.h"

DEFINE_int32(port, 0, "TCP port on 127.0.0.1; 0 lets the system choose");
DEFINE_validator(port, &pollenwick::tools::validPort);
DEFINE_int32(lag_ms, 2000, "delay until a change is seen by readers, in ms");
DEFINE_validator(lag_ms, &pollenwick::tools::validNotNegative);
DEFINE_string(hosts, "",
              "ids of the hosts that are live at the start, "
              "separated by commas");

namespace pollenwick::tools {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t MaxControlBytes = 65'536;

struct HostState {
  std::string Shown; ///< Empty: the host is not listed yet.
  std::string Next;
  Clock::time_point NextFrom;
};

class HostList {
public:
  void set(const std::string &Id, const std::string &State,
           Clock::duration Lag) {
    const std::lock_guard Lock(Mutex);
    HostState &Host = Hosts[Id];
    settle(Host);
    Host.Next = State;
    Host.NextFrom = Clock::now() + Lag;
  }

  JsonArray::Ptr listed() {
    const std::lock_guard Lock(Mutex);
    JsonArray::Ptr Rows = new JsonArray;
    for (auto &[Id, Host] : Hosts) {
      settle(Host);
      if (Host.Shown.empty() || Host.Shown == "gone")
        continue;
      JsonObject::Ptr Row = new JsonObject;
      Row->set("id", Id);
      Row->set("state", Host.Shown);
      Rows->add(Row);
    }
    return Rows;
  }

private:
  static void settle(HostState &Host) {
    if (!Host.Next.empty() && Clock::now() >= Host.NextFrom)
      Host.Shown = std::exchange(Host.Next, "");
  }

  std::mutex Mutex;
  std::map<std::string, HostState> Hosts;
};

void control(HostList &List, HttpRequest &Request, HttpResponse &Response) {
  std::string Body;
  readBody(Request, MaxControlBytes, Body);
  const JsonObject::Ptr Wanted = parseObject(Body);
  const auto Id = Wanted->getValue<std::string>("id");
  const auto State = Wanted->getValue<std::string>("state");
  if (State != "live" && State != "leaving" && State != "gone")
    return sendText(Response, 400,
                    R"({"error":"state must be live, leaving or gone"})");
  List.set(Id, State, std::chrono::milliseconds(FLAGS_lag_ms));
  sendText(Response, 200, "{}");
}

void serve(HostList &List, HttpRequest &Request, HttpResponse &Response) {
  const std::string Path = Poco::URI(Request.getURI()).getPath();
  if (Path == "/v1/hosts") {
    JsonObject::Ptr Out = new JsonObject;
    Out->set("hosts", List.listed());
    return sendText(Response, 200, toText(Out));
  }
  if (Path != "/control")
    return sendText(Response, 404, R"({"error":"no such path"})");
  try {
    control(List, Request, Response);
  } catch (const Poco::Exception &Error) {
    sendText(Response, 400, Error.displayText(), "text/plain");
  }
}

int run() {
  blockStopSignals();
  HostList List;
  std::istringstream Ids(FLAGS_hosts);
  for (std::string Id; std::getline(Ids, Id, ',');)
    List.set(Id, "live", Clock::duration::zero());
  HttpApp App(static_cast<std::uint16_t>(FLAGS_port), 256,
              [&](HttpRequest &Request, HttpResponse &Response) {
                serve(List, Request, Response);
              });
  std::cout << "port " << App.port() << std::endl;
  waitForStopSignal();
  return 0;
}

} // namespace
} // namespace pollenwick::tools

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("stand-in for the list of live and leaving hosts");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return pollenwick::tools::runMain(pollenwick::tools::run);
}
