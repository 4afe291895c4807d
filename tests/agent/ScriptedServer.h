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

/// A backend server that does with each connection what the test says. It runs
/// on a thread of its own and takes one connection at a time.
class ScriptedServer {
public:
  using Script = std::function<void(Poco::Net::StreamSocket &)>;

  explicit ScriptedServer(std::vector<Script> Scripts);
  ~ScriptedServer();

  std::string address() const;
  int connectionCount() const { return ConnectionCount; }

  /// Reads one request without a body; returns the value of its id header.
  static std::string readRequest(Poco::Net::StreamSocket &Socket);
  static void write(Poco::Net::StreamSocket &Socket, const std::string &Text);
  /// A whole answer to the request with that id.
  static std::string makeResponse(const std::string &Id,
                                  const std::string &Body);
  /// Waits until the other side has closed; returns whether it did in time.
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
