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

/// Result of one HTTP exchange with the local backend server.
struct BackendResult {
  CallReply Reply;
  /// True if the connection ended before the whole answer was read, or the body
  /// was malformed, too long or of unknown length.
  bool ConnectionLost = false;
};

/// Pool of kept-alive connections to the local backend server. Thread-safe;
/// each exchange blocks its thread until the answer arrives or the deadline
/// passes.
class BackendClient {
public:
  BackendClient(Endpoint Server, std::size_t MaxConnections,
                std::size_t MaxBodyBytes);
  ~BackendClient();

  /// Sends the call to the server and waits for the answer. `Handle` is the
  /// call handle that the server copies into its sub-calls. The outcome is
  /// `NotRun` only if no byte of the request was sent, and `Done` only if the
  /// whole answer was read; otherwise it is `Unknown`.
  BackendResult run(const CallRequest &Call, const std::string &Handle);

  /// Returns whether the server process has exited. It has if it accepts no
  /// connection, resets the one it accepted, or closed all idle connections
  /// that were in use shortly before. If the server was restarted
  /// immediately, only the closed connections show it. Blocks for up to 0.7 s.
  bool hasServerExited();

  /// Sets the largest number of idle connections kept and the largest answer
  /// body that is accepted.
  void setLimits(std::size_t MaxConnections, std::size_t MaxBodyBytes);

private:
  /// Returns whether the server accepts a connection and leaves it open for at
  /// least 0.2 s.
  bool isReachable() const;
  /// Returns whether the server has closed all idle connections that were used
  /// recently. False if there is none.
  bool hasClosedIdleSessions();
  /// Takes an idle connection that is still open, or creates a session that is
  /// not connected yet.
  std::unique_ptr<BackendSession> acquire();
  /// Returns a connection to the pool, or closes it if the pool is full.
  void release(std::unique_ptr<BackendSession> Session);

  const Endpoint Server;
  std::mutex Mutex;
  std::size_t MaxIdleSessions;
  std::size_t AnswerLimitBytes;
  std::vector<std::unique_ptr<BackendSession>> IdleSessions;
};

} // namespace pollenwick

#endif
