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
  int connections() const { return Connections; }

  /// Reads one request without a body; returns the value of its id header.
  static std::string readRequest(Poco::Net::StreamSocket &Socket);
  static void write(Poco::Net::StreamSocket &Socket, const std::string &Text);
  /// A whole answer to the request with that id.
  static std::string answer(const std::string &Id, const std::string &Body);
  /// Waits until the other side has closed; returns whether it did in time.
  static bool closedWithin(Poco::Net::StreamSocket &Socket, int Ms);

private:
  void serve();

  std::vector<Script> Scripts;
  Poco::Net::ServerSocket Listener;
  std::atomic<int> Connections{0};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace pollenwick

#endif
