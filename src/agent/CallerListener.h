#ifndef POLLENWICK_AGENT_CALLERLISTENER_H
#define POLLENWICK_AGENT_CALLERLISTENER_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <Poco/Net/ServerSocket.h>

#include "agent/CallerConnection.h"
#include "agent/EventLoop.h"
#include "agent/RoomQueue.h"
#include "pollenwick/Rules.h"

namespace pollenwick::agent {

/// Receives complete requests. The handler must call
/// `CallerConnection::respond` once for each request unless the caller
/// disconnects first.
class CallerEventHandler {
public:
  virtual ~CallerEventHandler() = default;
  virtual void onRequest(const std::shared_ptr<CallerConnection> &Caller,
                         CallerRequest &&Request) = 0;
  /// Returns whether a request may run while earlier ones on its connection
  /// are unanswered. Its caller may send it again when an earlier response
  /// closes the connection, so it must be safe to run more than once.
  virtual bool mayOverlap(const CallerRequest &Request) const = 0;
  /// Returns the id of a request, for the log; empty if it has none.
  virtual std::string requestId(const HeaderFields & /*Headers*/) const {
    return {};
  }
  /// A request that was received in part is refused because this process ends.
  /// `Headers` holds the part of its header that was received.
  virtual void onUnfinishedRequest(const HeaderFields & /*Headers*/) {}
  /// A request that was received in part is refused, or its connection is
  /// closed without an answer (`Status` is 0), because memory is short.
  virtual void onMemoryRefusal(int /*Status*/, std::string_view /*Cause*/) {}
  /// The caller closed its connection while this request was running.
  virtual void onCallerDisconnected(CallerRequestNumber Number) = 0;
};

/// Listens on one address and owns the connections of its callers.
class CallerListener : public EventHandler {
public:
  CallerListener(EventLoop &Loop, CallerEventHandler &Handler,
                 const std::string &ListenAddress,
                 const PipelineLimits &Pipeline = {});

  void setLimits(const CallerLimits &NewLimits) { Limits = NewLimits; }
  const CallerLimits &limits() const { return Limits; }
  /// Sets the largest number of connections. A new connection beyond it
  /// replaces the one that has been idle longest (see
  /// `CallerConnection::idleSince`), or is closed if none is idle.
  void setConnectionLimit(std::size_t Limit) { ConnectionLimit = Limit; }
  std::size_t connectionLimit() const { return ConnectionLimit; }
  /// Returns the number of connections whose bodies wait for memory.
  std::size_t waitingBodies() const { return Waiting.size(); }
  /// Returns how many connections were closed because of the limit.
  std::uint64_t refusedConnections() const { return RefusedConnections; }
  const PipelineLimits &pipelineLimits() const { return Pipeline; }
  /// Closes idle connections now and busy ones after their last response.
  void drain();
  /// Accepts the connections that have arrived, and then no others.
  void stopListening();
  /// Refuses the requests that were received in part.
  void refuseUnfinishedRequests();
  bool draining() const { return Draining; }
  /// Returns the number of connections with a request that is being received or
  /// runs, or with unsent bytes.
  std::size_t busyConnectionCount() const;
  /// Returns the ids of the requests whose responses are not sent wholly.
  std::vector<std::string> unsentResponses() const;
  std::uint16_t port() const { return ListenSocket.address().port(); }
  std::size_t connectionCount() const { return Connections.size(); }

  void onReady(const Readiness &State) override;

private:
  friend class CallerConnection;
  void removeConnection(CallerConnection &Connection);
  CallerRequestNumber newRequestNumber() { return ++LastRequestNumber; }
  void sweep();
  void acceptPending();
  /// Closes the connection that has been idle longest. Returns false if none is
  /// idle.
  bool closeLongestIdle();
  std::vector<std::shared_ptr<CallerConnection>> openConnections() const;

  EventLoop &Loop;
  CallerEventHandler &Handler;
  Poco::Net::ServerSocket ListenSocket;
  bool Listening = true;
  bool Draining = false;
  CallerLimits Limits;
  PipelineLimits Pipeline;
  std::size_t ConnectionLimit = SIZE_MAX;
  std::uint64_t RefusedConnections = 0;
  CallerRequestNumber LastRequestNumber = 0;
  RoomQueue Waiting; ///< Connections whose bodies wait for room.
  std::map<CallerConnection *, std::shared_ptr<CallerConnection>> Connections;
};

} // namespace pollenwick::agent

#endif
