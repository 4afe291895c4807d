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

/// A complete HTTP request of a caller.
struct CallerRequest {
  std::string Method;
  std::string Target;
  HeaderFields Headers;
  std::string Body;
  std::string CallerIp;
  Instant FirstByteAt; ///< When the first byte was read. The caller's waiting
                       ///< time is counted from then.
};

class CallerConnection;

/// Receives complete requests. The handler must call
/// `CallerConnection::respond` once for each request unless the caller
/// disconnects first.
class CallerEventHandler {
public:
  virtual ~CallerEventHandler() = default;
  virtual void onRequest(const std::shared_ptr<CallerConnection> &Caller,
                         CallerRequest &&Request) = 0;
  /// The caller closed its connection while its request was running.
  virtual void onCallerDisconnected(CallerConnection &Caller) = 0;
};

/// One connection of a caller. It processes one request at a time.
class CallerConnection : public StreamOwner,
                         public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(EventLoop &Loop, CallerListener &Port, std::string PeerIp);

  void start(const Poco::Net::StreamSocket &Socket);
  /// Sends a complete HTTP response. Closes the connection afterwards unless
  /// `KeepAlive` is set, the caller keeps it open and no drain is in progress.
  void respond(std::string &&Message, bool KeepAlive);
  bool busy() const { return Busy; }
  bool keepsAlive() const { return KeepAlive; }
  void close();

  /// Closes the connection when the caller was idle, or was slow to send a
  /// request header or to read a response, for too long.
  void enforceTimeouts(Instant Now, const CallerLimits &Limits);

  /// Number that the request handler assigns to the running request.
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
  std::string UnparsedBytes; ///< Received but not parsed.
  bool Busy = false;
  bool KeepAlive = true;
  bool ContinueSent = false; ///< `100 Continue` was sent for this request.
  bool Closing = false;
  Instant LastActivity; ///< Start of the idle or slow period.
  Instant RequestFirstByteAt;
};

/// Listens on one address and owns the connections of its callers.
class CallerListener : public EventHandler {
public:
  CallerListener(EventLoop &Loop, CallerEventHandler &Handler,
                 const std::string &ListenAddress);

  void setLimits(const CallerLimits &NewLimits) { Limits = NewLimits; }
  const CallerLimits &limits() const { return Limits; }
  /// Closes idle connections now and busy ones after their response.
  void drain();
  void stopListening();
  bool draining() const { return Draining; }
  /// Returns the number of connections with a running request or unsent bytes.
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
