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

/// Listening address, size and TLS files of an HttpServer.
struct HttpServerOptions {
  std::string Name;    ///< Used as thread name and in errors.
  std::string Address; ///< IP address to listen on.
  std::uint16_t Port = 0;
  std::uint32_t Threads = 4; ///< Maximum connections served at once.
  /// Path of a PEM file; empty when the port uses plain HTTP.
  std::string TlsCertificateFile;
  std::string TlsKeyFile; ///< Path of a PEM file; empty without TLS.
};

/// Writes the response to one request. Called concurrently, on the thread of
/// the connection.
using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest &,
                                       Poco::Net::HTTPServerResponse &)>;

/// Serves HTTP/1.1 on one port with one thread per active connection, up to
/// HttpServerOptions::Threads. Further connections wait in a bounded queue.
class HttpServer {
public:
  HttpServer(HttpServerOptions Options, HttpHandler Handler);
  ~HttpServer();

  /// Binds the port and starts serving. Returns an empty string on success,
  /// otherwise an error message that names the remedy.
  std::string start();

  /// Makes each later response ask its caller to close the connection.
  void beginDrain() { Draining = true; }
  bool isDraining() const { return Draining; }

  /// Stops accepting connections, waits for requests in flight to finish and
  /// closes all connections.
  void stop();

  /// Returns the number of connections being served, or 0 when not started.
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
