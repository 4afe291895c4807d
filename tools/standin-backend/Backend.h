#ifndef POLLENWICK_TOOLS_BACKEND_H
#define POLLENWICK_TOOLS_BACKEND_H

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <Poco/Net/SocketAddress.h>

#include "../common/HttpApp.h"
#include "../common/Json.h"
#include "RunRecords.h"
#include "SlotGate.h"

namespace pollenwick::tools {

struct SubCall {
  std::string Route;
  int Count = 1;
};

/// Sub-calls by route id.
using CallGraph = std::map<std::string, std::vector<SubCall>>;

/// Reads the routes of one service from the JSON source of a bundle.
CallGraph readCallGraph(const std::string &Path, const std::string &Service);

struct BackendSettings {
  std::string Service;
  CallGraph Routes;
  Poco::Net::SocketAddress Egress;
  int Slots = 1;
  int MaxWaiting = 1;
  std::chrono::microseconds ServiceTime{0};
  std::chrono::milliseconds ColdStart{0};
  std::size_t BodyBytes = 0;
  std::size_t MaxRuns = 1;
};

/// Faults that tests switch on by `POST /control/set`.
struct BackendFaults {
  double SlowFactor = 1;
  bool Drain = false;
  std::optional<double> ReportedLoad;
  std::string Health = "ok";
  std::string CrashMarker;
};

/// Stand-in for the server of one service. Thread-safe.
class Backend {
public:
  explicit Backend(BackendSettings Settings);

  void serve(HttpRequest &Request, HttpResponse &Response);

private:
  using Clock = std::chrono::steady_clock;

  struct Call {
    std::string Route;
    std::string RequestId;
    std::string Body;
    std::size_t ReplyBytes = 0;
    Clock::time_point Deadline;
  };

  void serveControl(const std::string &Path, HttpRequest &Request,
                    HttpResponse &Response);
  void setFaults(HttpRequest &Request, HttpResponse &Response);
  void serveRoute(const std::string &Route, HttpRequest &Request,
                  HttpResponse &Response);
  void runCall(const Call &Work, HttpRequest &Request, HttpResponse &Response);
  /// Returns false when the caller left or the deadline passed.
  bool work(const Call &Work, HttpRequest &Request);
  /// Returns the failure of a sub-call, or an empty text.
  std::string subCalls(const Call &Work, HttpRequest &Request);
  std::string subCall(const std::string &Route, const Call &Work,
                      HttpRequest &Request);
  void recordLeaks(const HttpRequest &Request);
  BackendFaults faults();
  double reportedLoad();

  const BackendSettings Settings;
  const Clock::time_point Started = Clock::now();
  RunRecords Records;
  SlotGate Gate;
  std::mutex FaultMutex;
  BackendFaults Faults;
};

} // namespace pollenwick::tools

#endif
