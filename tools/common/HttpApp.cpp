#include "HttpApp.h"

#include <csignal>
#include <iostream>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

namespace pollenwick::tools {
namespace {

using namespace Poco::Net;

class FunctionHandler : public HTTPRequestHandler {
public:
  explicit FunctionHandler(const HttpHandler &Handler) : Handler(Handler) {}
  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    Handler(Request, Response);
  }

private:
  const HttpHandler &Handler;
};

class FunctionFactory : public HTTPRequestHandlerFactory {
public:
  explicit FunctionFactory(HttpHandler Handler) : Handler(std::move(Handler)) {}
  HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest & /*Request*/) override {
    return new FunctionHandler(Handler);
  }

private:
  HttpHandler Handler;
};

ServerSocket listenOn(std::uint16_t Port) {
  // The constructor of ServerSocket sets SO_REUSEPORT, which would let two
  // processes share the port without an error.
  ServerSocket Socket;
  Socket.bind(SocketAddress("127.0.0.1", Port), true, false);
  Socket.listen(1024);
  return Socket;
}

StreamSocket &socketOf(HttpRequest &Request) {
  return dynamic_cast<HTTPServerRequestImpl &>(Request).socket();
}

sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}

} // namespace

HttpApp::HttpApp(std::uint16_t Port, int MaxConnections, HttpHandler Handler)
    : Pool(std::make_unique<Poco::ThreadPool>(2, MaxConnections + 2)) {
  HTTPServerParams::Ptr Params = new HTTPServerParams;
  Params->setKeepAlive(true);
  Params->setMaxKeepAliveRequests(0);
  Params->setKeepAliveTimeout(Poco::Timespan(60, 0));
  Params->setMaxThreads(MaxConnections);
  Params->setMaxQueued(1024);
  // An idle thread ends soon, so that a closed connection costs no memory.
  Params->setThreadIdleTime(Poco::Timespan(2, 0));
  Server = std::make_unique<HTTPServer>(new FunctionFactory(std::move(Handler)),
                                        *Pool, listenOn(Port), Params);
  Server->start();
}

HttpApp::~HttpApp() { stop(); }

std::uint16_t HttpApp::port() const { return Server->port(); }

void HttpApp::stop() { Server->stopAll(true); }

void blockStopSignals() {
  const sigset_t Set = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  // A write to a closed connection is reported as an error instead.
  (void)std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal() {
  const sigset_t Set = stopSignals();
  int Signal = 0;
  sigwait(&Set, &Signal);
}

bool readBody(HttpRequest &Request, std::size_t Limit, std::string &Body) {
  Body.clear();
  if (Request.hasContentLength() &&
      static_cast<std::size_t>(Request.getContentLength64()) > Limit)
    return false;
  std::istream &In = Request.stream();
  char Chunk[16384];
  while (In.read(Chunk, sizeof Chunk) || In.gcount() > 0) {
    Body.append(Chunk, static_cast<std::size_t>(In.gcount()));
    if (Body.size() > Limit)
      return false;
  }
  return true;
}

void sendText(HttpResponse &Response, int Status, const std::string &Body,
              const std::string &Type) {
  Response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(Status));
  if (Status == HTTPResponse::HTTP_NOT_MODIFIED) {
    Response.setContentLength(0);
    Response.send();
    return;
  }
  Response.setContentType(Type);
  Response.sendBuffer(Body.data(), Body.size());
}

void dropConnection(HttpRequest &Request) {
  socketOf(Request).shutdown();
  throw NetException("connection dropped on purpose");
}

bool callerGone(HttpRequest &Request) {
  try {
    StreamSocket &Socket = socketOf(Request);
    return Socket.poll(Poco::Timespan(0), Socket::SELECT_READ) &&
           Socket.available() == 0;
  } catch (const Poco::Exception &) {
    return true;
  }
}

bool validPort(const char *Flag, std::int32_t Value) {
  if (Value >= 0 && Value <= 65535)
    return true;
  std::cerr << "--" << Flag << ": " << Value
            << " is no TCP port; use 0-65535\n";
  return false;
}

bool validPositive(const char *Flag, std::int32_t Value) {
  if (Value > 0)
    return true;
  std::cerr << "--" << Flag << ": " << Value << " must be above 0\n";
  return false;
}

bool validNotNegative(const char *Flag, std::int32_t Value) {
  if (Value >= 0)
    return true;
  std::cerr << "--" << Flag << ": " << Value << " must be 0 or above\n";
  return false;
}

int runMain(const std::function<int()> &Body) {
  try {
    return Body();
  } catch (const Poco::Exception &Error) {
    std::cerr << "error: " << Error.displayText() << '\n';
  } catch (const std::exception &Error) {
    std::cerr << "error: " << Error.what() << '\n';
  }
  return 1;
}

} // namespace pollenwick::tools
