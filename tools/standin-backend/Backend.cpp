#include "Backend.h"

#include <algorithm>
#include <memory>
#include <thread>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <unistd.h>

#include "../common/Payload.h"

namespace pollenwick::tools {
namespace {

constexpr std::size_t MaxBodyBytes = 16U << 20;
constexpr std::size_t MaxReplyBytes = 64U << 20;
// Larger bodies are not repeated to sub-calls: a photo goes to one service.
constexpr std::size_t MaxForwardedBody = 1024;
constexpr int CrashStatus = 70;
// Service time right after a cold start, relative to a warm server.
constexpr double ColdFactor = 5;
constexpr std::chrono::milliseconds CancelCheck{10};
const std::string KeyMark = "dev-";

void fail(HttpResponse &Response, int Status, const std::string &Message) {
  sendText(Response, Status, Message + "\n", "text/plain");
}

std::size_t replyBytes(const Poco::URI &Uri, std::size_t Default) {
  for (const auto &[Key, Value] : Uri.getQueryParameters())
    if (Key == "bytes")
      return std::min<std::size_t>(std::stoull(Value), MaxReplyBytes);
  return Default;
}

std::string routeOf(const std::string &Path) {
  const std::size_t Start = Path.find_first_not_of('/');
  if (Start == std::string::npos)
    return "";
  const std::size_t Slash = Path.find('/', Start);
  const std::size_t End =
      Slash == std::string::npos ? Slash : Path.find('/', Slash + 1);
  return Path.substr(Start, End == std::string::npos ? End : End - Start);
}

std::string serviceOf(const std::string &Route) {
  return Route.substr(0, Route.find('/'));
}

// One open connection per server thread.
Poco::Net::HTTPClientSession &
egressSession(const Poco::Net::SocketAddress &Egress) {
  using Poco::Net::HTTPClientSession;
  thread_local std::unique_ptr<HTTPClientSession> Session;
  if (!Session) {
    Session = std::make_unique<HTTPClientSession>(Egress);
    Session->setKeepAlive(true);
    Session->setKeepAliveTimeout(Poco::Timespan(5, 0));
    Session->setTimeout(Poco::Timespan(30, 0));
  }
  // A connection that its server closed while idle is readable.
  if (Session->connected() &&
      Session->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
    Session->reset();
  return *Session;
}

} // namespace

CallGraph readCallGraph(const std::string &Path, const std::string &Service) {
  CallGraph Graph;
  const JsonArray::Ptr Rows = arrayOf(readObjectFile(Path), "Routes");
  if (!Rows)
    throw Poco::DataFormatException(Path + " has no array `routes`");
  for (std::size_t At = 0; At < Rows->size(); ++At) {
    const JsonObject::Ptr Row = Rows->getObject(At);
    const std::string Id = textOf(Row, "Id");
    if (serviceOf(Id) != Service)
      continue;
    std::vector<SubCall> &Calls = Graph[Id];
    const JsonArray::Ptr Edges = arrayOf(Row, "Calls");
    for (std::size_t Edge = 0; Edges && Edge < Edges->size(); ++Edge) {
      const JsonObject::Ptr Call = Edges->getObject(Edge);
      Calls.push_back({textOf(Call, "Route"),
                       Call->optValue("count", Call->optValue("Count", 1))});
    }
  }
  return Graph;
}

Backend::Backend(BackendSettings Given)
    : Settings(std::move(Given)), Records(Settings.MaxRuns),
      Gate(Settings.Slots, Settings.MaxWaiting) {}

void Backend::serve(HttpRequest &Request, HttpResponse &Response) {
  const std::string Path = Poco::URI(Request.getURI()).getPath();
  try {
    Response.set("Server-Load", std::to_string(reportedLoad()));
    if (Path.starts_with("/control/") || Path == "/health" || Path == "/load")
      return serveControl(Path, Request, Response);
    recordLeaks(Request);
    const std::string Route = routeOf(Path);
    if (!Settings.Routes.contains(Route))
      return fail(Response, 404, "no such route: " + Route);
    serveRoute(Route, Request, Response);
  } catch (const Poco::Net::NetException &) {
    throw;
  } catch (const Poco::Exception &Error) {
    fail(Response, 400, Error.displayText());
  } catch (const std::logic_error &Error) {
    fail(Response, 400, Error.what());
  }
}

void Backend::serveControl(const std::string &Path, HttpRequest &Request,
                           HttpResponse &Response) {
  if (Path == "/control/set")
    return setFaults(Request, Response);
  if (Path == "/control/records")
    return sendText(Response, 200, toText(Records.report(true)));
  if (Path == "/control/summary")
    return sendText(Response, 200, toText(Records.report(false)));
  JsonObject::Ptr Out = new JsonObject;
  if (Path == "/load") {
    Out->set("load", reportedLoad());
    Out->set("running", Gate.running());
    return sendText(Response, 200, toText(Out));
  }
  if (Path != "/health")
    return fail(Response, 404, "no such path: " + Path);
  const BackendFaults Now = faults();
  const std::string State = Now.Drain ? "draining" : Now.Health;
  Out->set("health", State);
  sendText(Response, State == "ok" ? 200 : 503, toText(Out));
}

void Backend::setFaults(HttpRequest &Request, HttpResponse &Response) {
  std::string Body;
  readBody(Request, MaxBodyBytes, Body);
  const JsonObject::Ptr Wanted = parseObject(Body);
  {
    const std::lock_guard Lock(FaultMutex);
    if (Wanted->has("slow_factor"))
      Faults.SlowFactor = Wanted->getValue<double>("slow_factor");
    if (Wanted->has("report_load"))
      Faults.ReportedLoad =
          Wanted->isNull("report_load")
              ? std::nullopt
              : std::optional(Wanted->getValue<double>("report_load"));
    if (Wanted->has("health"))
      Faults.Health = Wanted->getValue<std::string>("health");
    if (Wanted->has("crash_marker"))
      Faults.CrashMarker = Wanted->getValue<std::string>("crash_marker");
    if (Wanted->has("drain"))
      Faults.Drain = Wanted->getValue<bool>("drain");
  }
  if (Wanted->optValue("drain", false))
    Records.markDrain();
  sendText(Response, 200, "{}");
}

void Backend::serveRoute(const std::string &Route, HttpRequest &Request,
                         HttpResponse &Response) {
  Call Work;
  Work.Route = Route;
  Work.RequestId = Request.get("Client-Request-Id", "");
  Work.ReplyBytes = replyBytes(Poco::URI(Request.getURI()), Settings.BodyBytes);
  if (!readBody(Request, MaxBodyBytes, Work.Body)) {
    Response.setKeepAlive(false);
    return fail(Response, 413, "the body is above 16 MB");
  }
  const std::string Marker = faults().CrashMarker;
  if (!Marker.empty() && Work.Body.find(Marker) != std::string::npos)
    _exit(CrashStatus);
  const std::string Limit = Request.get("Pollenwick-Deadline-Ms", "");
  Work.Deadline =
      Clock::now() + (Limit.empty()
                          ? std::chrono::hours(1)
                          : std::chrono::milliseconds(std::stoll(Limit)));
  const auto Entry =
      Gate.enter(Work.Deadline, [&] { return callerGone(Request); });
  if (Entry != SlotGate::Entry::Entered) {
    // Nothing has run: the caller may send the call to another server.
    Response.set("Server-Outcome", "not-run");
    if (Entry == SlotGate::Entry::Full)
      return fail(Response, 503, "all slots are in use");
    return fail(Response, 504, "the call waited too long for a slot");
  }
  const auto Leave = [](SlotGate *Used) { Used->leave(); };
  const std::unique_ptr<SlotGate, decltype(Leave)> Held(&Gate, Leave);
  runCall(Work, Request, Response);
}

void Backend::runCall(const Call &Work, HttpRequest &Request,
                      HttpResponse &Response) {
  Records.addRun(Work.RequestId, Work.Route,
                 Request.get("Pollenwick-Tenant", "(none)"));
  if (!work(Work, Request))
    return fail(Response, 504, "cancelled or past its deadline");
  const std::string Failure = subCalls(Work, Request);
  if (!Failure.empty())
    return fail(Response, 502, Failure);
  const std::string Body = payloadOf(Work.RequestId, Work.ReplyBytes);
  Response.set("Content-Digest-Hex", sha256Hex(Body));
  Response.set("Server-Load", std::to_string(reportedLoad()));
  sendText(Response, 200, Body, "application/octet-stream");
}

bool Backend::work(const Call &Work, HttpRequest &Request) {
  const auto Age = Clock::now() - Started;
  double Factor = faults().SlowFactor;
  if (Age < Settings.ColdStart) {
    const double Warm = std::chrono::duration<double>(Age) /
                        std::chrono::duration<double>(Settings.ColdStart);
    Factor *= ColdFactor - (ColdFactor - 1) * Warm;
  }
  const auto Time = std::chrono::duration_cast<Clock::duration>(
      Settings.ServiceTime * Factor);
  const Clock::time_point End = Clock::now() + Time;
  while (Clock::now() < End) {
    if (Clock::now() >= Work.Deadline || callerGone(Request))
      return false;
    std::this_thread::sleep_for(
        std::min<Clock::duration>(CancelCheck, End - Clock::now()));
  }
  return true;
}

std::string Backend::subCalls(const Call &Work, HttpRequest &Request) {
  for (const SubCall &Edge : Settings.Routes.at(Work.Route))
    for (int Count = 0; Count < Edge.Count; ++Count) {
      if (Clock::now() >= Work.Deadline || callerGone(Request))
        return "cancelled or past its deadline";
      std::string Failure = subCall(Edge.Route, Work, Request);
      if (!Failure.empty())
        return Failure;
    }
  return "";
}

std::string Backend::subCall(const std::string &Route, const Call &Work,
                             HttpRequest &Request) {
  using namespace Poco::Net;
  HTTPRequest Out(HTTPRequest::HTTP_POST, "/" + Route, HTTPMessage::HTTP_1_1);
  for (const char *Name : {"Pollenwick-Call", "Client-Request-Id"})
    if (Request.has(Name))
      Out.set(Name, Request.get(Name));
  const std::string Body =
      Work.Body.size() <= MaxForwardedBody ? Work.Body : "";
  Out.setContentLength(static_cast<std::streamsize>(Body.size()));
  HTTPClientSession &Session = egressSession(Settings.Egress);
  try {
    Session.sendRequest(Out) << Body;
    HTTPResponse Reply;
    Poco::NullOutputStream Sink;
    Poco::StreamCopier::copyStream(Session.receiveResponse(Reply), Sink);
    if (Reply.getStatus() == HTTPResponse::HTTP_OK)
      return "";
    return "sub-call " + Route + " answered " +
           std::to_string(Reply.getStatus()) + " " +
           Reply.get("Pollenwick-Reason", "");
  } catch (const Poco::Exception &Error) {
    Session.reset();
    return "sub-call " + Route + " failed: " + Error.displayText();
  }
}

void Backend::recordLeaks(const HttpRequest &Request) {
  for (const auto &[Name, Value] : Request)
    if (Poco::icompare(Name, "Authorization") == 0 ||
        Value.find(KeyMark) != std::string::npos)
      Records.addLeakedHeader(Name, Value);
  if (Request.getURI().find(KeyMark) != std::string::npos)
    Records.addLeakedHeader("(request target)", Request.getURI());
}

BackendFaults Backend::faults() {
  const std::lock_guard Lock(FaultMutex);
  return Faults;
}

double Backend::reportedLoad() {
  return faults().ReportedLoad.value_or(Gate.load());
}

} // namespace pollenwick::tools
