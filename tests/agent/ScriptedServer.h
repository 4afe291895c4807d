#ifndef POLLENWICK_TESTS_AGENT_SCRIPTEDSERVER_H
#define POLLENWICK_TESTS_AGENT_SCRIPTEDSERVER_H

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace pollenwick {

/// A fake backend server that runs one script of the test for each connection.
/// It runs on its own thread and accepts one connection at a time.
class ScriptedServer {
public:
  using Script = std::function<void(Poco::Net::StreamSocket &)>;

  explicit ScriptedServer(std::vector<Script> Scripts);
  ~ScriptedServer();

  std::string address() const;
  int connectionCount() const { return ConnectionCount; }

  /// Reads one request without a body. Returns the value of its `X-Id` header,
  /// or an empty string when there is none.
  static std::string readRequest(Poco::Net::StreamSocket &Socket);
  static void write(Poco::Net::StreamSocket &Socket, const std::string &Text);
  /// Returns a complete 200 response to the request with the id `Id`.
  static std::string makeResponse(const std::string &Id,
                                  const std::string &Body);
  /// Waits for the peer to close the connection. Returns false when the timeout
  /// passes or the peer sends data first.
  static bool waitForClose(Poco::Net::StreamSocket &Socket, int TimeoutMs);

private:
  void serve();

  std::vector<Script> Scripts;
  Poco::Net::ServerSocket Listener;
  std::atomic<int> ConnectionCount{0};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace pollenwick

#endif
