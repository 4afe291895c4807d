#ifndef POLLENWICK_TOOLS_HTTPAPP_H
#define POLLENWICK_TOOLS_HTTPAPP_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace Poco::Net {
class HTTPServer;
} // namespace Poco::Net
namespace Poco {
class ThreadPool;
} // namespace Poco

namespace pollenwick::tools {

using HttpRequest = Poco::Net::HTTPServerRequest;
using HttpResponse = Poco::Net::HTTPServerResponse;
using HttpHandler = std::function<void(HttpRequest &, HttpResponse &)>;

/// HTTP server on 127.0.0.1 with one thread per open connection.
class HttpApp {
public:
  /// Throws Poco::Net::NetException when the port is in use. Port 0 lets the
  /// system choose one.
  HttpApp(std::uint16_t Port, int MaxConnections, HttpHandler Handler);
  HttpApp(const HttpApp &) = delete;
  HttpApp &operator=(const HttpApp &) = delete;
  ~HttpApp();

  std::uint16_t port() const;
  void stop();

private:
  std::unique_ptr<Poco::ThreadPool> Pool;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

/// Blocks the stop signals in this thread and all threads it starts later.
void blockStopSignals();
/// Waits for SIGTERM or SIGINT. `blockStopSignals` comes first.
void waitForStopSignal();

/// Reads the body. Returns false when it is longer than `Limit`.
bool readBody(HttpRequest &Request, std::size_t Limit, std::string &Body);
void sendText(HttpResponse &Response, int Status, const std::string &Body,
              const std::string &Type = "application/json");
/// Closes the connection without an answer.
void dropConnection(HttpRequest &Request);
/// Whether the caller has closed its end.
bool callerGone(HttpRequest &Request);

/// gflags validator of a TCP port; 0 means "chosen by the system".
bool validPort(const char *Flag, std::int32_t Value);
/// gflags validator of a number above zero.
bool validPositive(const char *Flag, std::int32_t Value);
/// gflags validator of a number that is zero or above.
bool validNotNegative(const char *Flag, std::int32_t Value);

/// Runs `Body` and turns an exception into a message and exit status 1.
int runMain(const std::function<int()> &Body);

} // namespace pollenwick::tools

#endif
