#ifndef POLLENWICK_NODE_HTTPSERVER_H
#define POLLENWICK_NODE_HTTPSERVER_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "pollenwick/Time.h"

namespace Poco {
class ThreadPool;
}
namespace Poco::Net {
class HTTPServer;
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace pollenwick {

struct HttpServerOptions {
  std::string Name; ///< Of the threads and in error messages.
  std::string Address;
  std::uint16_t Port = 0;
  std::uint32_t Threads = 4; ///< Connections served at once.
  std::string TlsCertificateFile;
  std::string TlsKeyFile;
};

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest &,
                                       Poco::Net::HTTPServerResponse &)>;

/// HTTP/1.1 server on one port: a thread per connection in use, up to a bound;
/// further connections wait in a bounded queue.
class HttpServer {
public:
  HttpServer(HttpServerOptions Options, HttpHandler Handler);
  ~HttpServer();

  /// Returns an empty string, or an error that names the remedy.
  std::string start();

  /// From now on each answer asks its caller to close the connection.
  void beginDrain() { Draining = true; }
  bool isDraining() const { return Draining; }

  /// Stops accepting, lets requests in flight finish and closes connections.
  void stop();

  std::uint32_t connections() const;
  std::uint32_t requestsInFlight() const { return InFlight; }

private:
  const HttpServerOptions Options;
  const HttpHandler Handler;
  std::atomic<bool> Draining = false;
  std::atomic<std::uint32_t> InFlight = 0;
  std::unique_ptr<Poco::ThreadPool> Threads;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace pollenwick

#endif
