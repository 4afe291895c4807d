#include "node/HttpServer.h"

#include <Poco/Exception.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/SecureServerSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

namespace pollenwick {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// A TLS handshake needs the deepest stack, which is well below this size.
constexpr int ThreadStackBytes = 256 * 1024;
constexpr int IdleThreadSeconds = 30;
constexpr int MaxQueuedConnections = 256;
/// Limits how long a caller that stops sending can occupy a thread.
constexpr int SocketTimeoutSeconds = 30;
constexpr int KeepAliveSeconds = 60;

class Handler final : public Poco::Net::HTTPRequestHandler {
public:
  Handler(const HttpHandler &H, const std::atomic<bool> &D,
          std::atomic<std::uint32_t> &F)
      : Handle(H), Draining(D), InFlight(F) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    ++InFlight;
    if (Draining)
      Response.setKeepAlive(false);
    try {
      Handle(Request, Response);
    } catch (const Poco::Exception &) {
      // The connection to the caller failed while the response was written.
      Response.setKeepAlive(false);
    }
    --InFlight;
  }

private:
  const HttpHandler &Handle;
  const std::atomic<bool> &Draining;
  std::atomic<std::uint32_t> &InFlight;
};

class RequestHandlerFactory final
    : public Poco::Net::HTTPRequestHandlerFactory {
public:
  RequestHandlerFactory(const HttpHandler &H, const std::atomic<bool> &D,
                        std::atomic<std::uint32_t> &F)
      : Handle(H), Draining(D), InFlight(F) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new Handler(Handle, Draining, InFlight);
  }

private:
  const HttpHandler &Handle;
  const std::atomic<bool> &Draining;
  std::atomic<std::uint32_t> &InFlight;
};

Poco::Net::ServerSocket openSocket(const HttpServerOptions &Options) {
  const Poco::Net::SocketAddress Address(Options.Address, Options.Port);
  if (Options.TlsCertificateFile.empty()) {
    Poco::Net::ServerSocket Socket;
    // SO_REUSEPORT stays off, so that a second process on the same port fails
    // to bind.
    Socket.bind(Address, true, false);
    Socket.listen(MaxQueuedConnections);
    return Socket;
  }
  Poco::Net::Context::Params Params;
  Params.certificateFile = Options.TlsCertificateFile;
  Params.privateKeyFile = Options.TlsKeyFile;
  Params.verificationMode = Poco::Net::Context::VERIFY_NONE;
  Poco::Net::Context::Ptr Context(
      new Poco::Net::Context(Poco::Net::Context::TLS_SERVER_USE, Params));
  Context->requireMinimumProtocol(Poco::Net::Context::PROTO_TLSV1_2);
  Poco::Net::SecureServerSocket Socket(Context);
  Socket.bind(Address, true, false);
  Socket.listen(MaxQueuedConnections);
  return Socket;
}

} // namespace

HttpServer::HttpServer(HttpServerOptions O, HttpHandler H)
    : Options(std::move(O)), Handler(std::move(H)) {}

HttpServer::~HttpServer() { stop(); }

std::string HttpServer::start() {
  try {
    Threads = std::make_unique<Poco::ThreadPool>(
        Options.Name, 2, static_cast<int>(Options.Threads), IdleThreadSeconds,
        ThreadStackBytes);
    Poco::Net::HTTPServerParams::Ptr Params(new Poco::Net::HTTPServerParams);
    Params->setMaxThreads(static_cast<int>(Options.Threads));
    Params->setMaxQueued(MaxQueuedConnections);
    Params->setKeepAlive(true);
    Params->setMaxKeepAliveRequests(0);
    Params->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
    Params->setTimeout(Poco::Timespan(SocketTimeoutSeconds, 0));
    Params->setSoftwareVersion("pollenwick");
    Server = std::make_unique<Poco::Net::HTTPServer>(
        new RequestHandlerFactory(Handler, Draining, InFlight), *Threads,
        openSocket(Options), Params);
    Server->start();
    return "";
  } catch (const Poco::Exception &Error) {
    Server.reset();
    return "cannot listen on " + Options.Name + " port " + Options.Address +
           ":" + std::to_string(Options.Port) + ": " + Error.displayText() +
           "; use a free port and readable TLS files";
  }
}

void HttpServer::stop() {
  if (!Server)
    return;
  Server->stop();
  Server->stopAll(false);
  Threads->stopAll();
  Server.reset();
}

std::uint32_t HttpServer::connections() const {
  return Server ? static_cast<std::uint32_t>(Server->currentConnections()) : 0;
}

} // namespace pollenwick
