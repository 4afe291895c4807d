#ifndef POLLENWICK_NODE_BACKENDCLIENT_H
#define POLLENWICK_NODE_BACKENDCLIENT_H

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "node/Settings.h"
#include "peer/Calls.h"

namespace pollenwick {

class BackendSession;

/// What became of one HTTP exchange with the local backend server.
struct BackendResult {
  CallReply Reply;
  bool ConnectionLost = false; ///< The server ended the connection mid-call.
};

/// Pool of kept-alive connections to the local backend server. Thread-safe;
/// each exchange blocks its thread until the answer or the deadline.
class BackendClient {
public:
  BackendClient(Endpoint Server, std::size_t MaxConnections,
                std::size_t MaxBodyBytes);
  ~BackendClient();

  /// Runs the call. The reply is `NotRun` only if no byte of the request was
  /// sent; `Done` only if the whole answer was read.
  BackendResult run(const CallRequest &Call, const std::string &Handle);

  /// Whether the server process has ended: it takes no connection, or resets
  /// the one it took, or it closed all idle connections that were in use
  /// shortly before. A server that was started again at once shows only the
  /// last of these. Blocks for up to 0.7 s.
  bool hasServerExited();

  void setLimits(std::size_t MaxConnections, std::size_t MaxBodyBytes);

private:
  bool isReachable() const;
  bool hasClosedIdleSessions();
  std::unique_ptr<BackendSession> acquire();
  void release(std::unique_ptr<BackendSession> Session);

  const Endpoint Server;
  std::mutex Mutex;
  std::size_t MaxIdleSessions;
  std::size_t AnswerLimitBytes;
  std::vector<std::unique_ptr<BackendSession>> IdleSessions;
};

} // namespace pollenwick

#endif
