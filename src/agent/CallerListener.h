#ifndef POLLENWICK_AGENT_CALLERLISTENER_H
#define POLLENWICK_AGENT_CALLERLISTENER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <Poco/Net/ServerSocket.h>

#include "agent/EventLoop.h"
#include "agent/HttpMessage.h"
#include "agent/Stream.h"
#include "pollenwick/Rules.h"

namespace pollenwick::agent {

class CallerListener;

/// A whole request of a caller.
struct CallerRequest {
  std::string Method;
  std::string Target;
  HeaderFields Headers;
  std::string Body;
  std::string CallerIp;
  Instant FirstByteAt; ///< When its first byte was read: the caller waits since
                       ///< then.
};

class CallerConnection;

/// Receives whole requests. `respond` of the connection must be called once,
/// unless the caller left before.
class CallerEventHandler {
public:
  virtual ~CallerEventHandler() = default;
  virtual void onRequest(const std::shared_ptr<CallerConnection> &Caller,
                         CallerRequest &&Request) = 0;
  /// The caller closed its connection while its request was running.
  virtual void onCallerDisconnected(CallerConnection &Caller) = 0;
};

/// One connection of a caller; one request at a time.
class CallerConnection : public StreamOwner,
                         public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(EventLoop &Loop, CallerListener &Port, std::string PeerIp);

  void start(const Poco::Net::StreamSocket &Socket);
  /// Sends a complete message.
  void respond(std::string &&Message, bool KeepAlive);
  bool busy() const { return Busy; }
  bool keepsAlive() const { return KeepAlive; }
  void close();

  /// Closes a connection that was idle or slow for too long.
  void enforceTimeouts(Instant Now, const CallerLimits &Limits);

  /// Number of the running request; for the owner's use.
  std::uint64_t ExchangeId = 0;

  void onData(std::string_view Bytes) override;
  void onClosed(StreamCloseReason Reason) override;
  void onFlushed() override { LastActivity = Loop.now(); }

private:
  friend class CallerListener;
  void parse();
  void reject(int Status, std::string_view Cause);
  void finishRequest();
  void closeAfterResponse();

  EventLoop &Loop;
  CallerListener &Port;
  std::string CallerIp;
  std::shared_ptr<Stream> Transport;
  std::optional<RequestParser> Parser;
  std::string UnparsedBytes; ///< Bytes after the running request.
  bool Busy = false;
  bool KeepAlive = true;
  bool ContinueSent = false;
  bool Closing = false;
  Instant LastActivity; ///< Since when nothing happened.
  Instant RequestFirstByteAt;
};

/// Accepts callers on one address.
class CallerListener : public EventHandler {
public:
  CallerListener(EventLoop &Loop, CallerEventHandler &Handler,
                 const std::string &ListenAddress);

  void setLimits(const CallerLimits &NewLimits) { Limits = NewLimits; }
  const CallerLimits &limits() const { return Limits; }
  /// Closes idle connections and asks the busy ones to close.
  void drain();
  void stopListening();
  bool draining() const { return Draining; }
  std::size_t busyConnectionCount() const;
  std::uint16_t port() const { return ListenSocket.address().port(); }
  std::size_t connectionCount() const { return Connections.size(); }

  void onReady(const Readiness &State) override;

private:
  friend class CallerConnection;
  void removeConnection(CallerConnection &Connection);
  void sweep();

  EventLoop &Loop;
  CallerEventHandler &Handler;
  Poco::Net::ServerSocket ListenSocket;
  bool Listening = true;
  bool Draining = false;
  CallerLimits Limits;
  std::map<CallerConnection *, std::shared_ptr<CallerConnection>> Connections;
};

} // namespace pollenwick::agent

#endif
