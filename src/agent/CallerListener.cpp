#include "agent/CallerListener.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace pollenwick::agent {
namespace {

constexpr int ListenBacklog = 1024;
constexpr Duration SweepInterval = std::chrono::milliseconds(500);

} // namespace

CallerListener::CallerListener(EventLoop &TheLoop,
                               CallerEventHandler &TheHandler,
                               const std::string &ListenAddress,
                               const PipelineLimits &ThePipeline)
    : Loop(TheLoop), Handler(TheHandler), Pipeline(ThePipeline),
      Waiting(TheLoop) {
  ListenSocket.bind(Poco::Net::SocketAddress(ListenAddress), true);
  ListenSocket.listen(ListenBacklog);
  ListenSocket.setBlocking(false);
  Loop.watch(ListenSocket.impl()->sockfd(), *this);
  Loop.callAt(Loop.now() + SweepInterval, [this] { sweep(); });
}

void CallerListener::onReady(const Readiness & /*State*/) {
  if (Listening)
    acceptPending();
}

void CallerListener::acceptPending() {
  try {
    while (true) {
      Poco::Net::SocketAddress CallerAddress;
      Poco::Net::StreamSocket Socket =
          ListenSocket.acceptConnection(CallerAddress);
      if (Connections.size() >= ConnectionLimit) {
        ++RefusedConnections;
        if (!closeLongestIdle())
          continue; // Leaving the scope closes the new connection.
      }
      Socket.setBlocking(false);
      Socket.setNoDelay(true);
      auto Connection = std::make_shared<CallerConnection>(
          Loop, *this, CallerAddress.host().toString());
      Connections.emplace(Connection.get(), Connection);
      Connection->start(Socket);
    }
  } catch (const Poco::Exception &) {
    // Either no connection is pending or none can be accepted now, for example
    // for lack of descriptors. `sweep` tries again.
  }
}

bool CallerListener::closeLongestIdle() {
  const auto IdleSince = [this](const auto &Entry) {
    return Entry.second->idleSince(Loop.now());
  };
  const auto Longest = std::ranges::min_element(Connections, {}, IdleSince);
  if (Longest == Connections.end() || IdleSince(*Longest) >= Loop.now())
    return false;
  const std::shared_ptr<CallerConnection> Closed = Longest->second;
  Closed->closeIdle();
  return true;
}

void CallerListener::removeConnection(CallerConnection &Connection) {
  const auto Found = Connections.find(&Connection);
  if (Found == Connections.end())
    return;
  // The stream refers to the connection until all bytes are sent, so the
  // connection stays in the map until its stream is closed.
  Loop.deferRelease(Found->second);
  if (Connection.closed()) {
    Connections.erase(Found);
    return;
  }
}

std::vector<std::shared_ptr<CallerConnection>>
CallerListener::openConnections() const {
  // A copy, because connections remove themselves when they are closed.
  std::vector<std::shared_ptr<CallerConnection>> All;
  All.reserve(Connections.size());
  for (const auto &[Raw, Connection] : Connections)
    All.push_back(Connection);
  return All;
}

void CallerListener::refuseUnfinishedRequests() {
  for (const std::shared_ptr<CallerConnection> &Connection : openConnections())
    Connection->refuseUnfinishedInput();
}

void CallerListener::sweep() {
  Loop.callAt(Loop.now() + SweepInterval, [this] { sweep(); });
  onReady({});
  for (const std::shared_ptr<CallerConnection> &Connection :
       openConnections()) {
    if (Connection->closed())
      Connections.erase(Connection.get());
    else
      Connection->enforceTimeouts(Loop.now(), Limits);
  }
}

void CallerListener::drain() {
  Draining = true;
  for (const std::shared_ptr<CallerConnection> &Connection : openConnections())
    Connection->drain();
}

void CallerListener::stopListening() {
  if (!Listening)
    return;
  // A connection that is not accepted is reset, with the request on it.
  onReady({});
  Listening = false;
  Loop.unwatch(ListenSocket.impl()->sockfd());
  ListenSocket.close();
}

std::vector<std::string> CallerListener::unsentResponses() const {
  std::vector<std::string> Ids;
  for (const auto &[Raw, Connection] : Connections)
    std::ranges::copy(Connection->unsentResponses(), std::back_inserter(Ids));
  return Ids;
}

std::size_t CallerListener::busyConnectionCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Connections, [](const auto &Entry) {
        const CallerConnection &Connection = *Entry.second;
        return !Connection.closed() &&
               (Connection.busy() || Connection.hasUnsentBytes() ||
                Connection.hasUnfinishedInput());
      }));
}

} // namespace pollenwick::agent
