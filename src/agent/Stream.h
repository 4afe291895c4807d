#ifndef POLLENWICK_AGENT_STREAM_H
#define POLLENWICK_AGENT_STREAM_H

#include <memory>
#include <string>
#include <string_view>

#include <Poco/Net/StreamSocket.h>

#include "agent/EventLoop.h"

namespace pollenwick::agent {

/// How a connection ended.
enum class StreamCloseReason : std::uint8_t { Closed, Reset };

class Stream;

/// Owner of a stream. A call may close the stream.
class StreamOwner {
public:
  virtual ~StreamOwner() = default;
  virtual void onConnected() {}
  virtual void onData(std::string_view Bytes) = 0;
  virtual void onClosed(StreamCloseReason Reason) = 0;
  /// Everything that was sent has left the buffer.
  virtual void onFlushed() {}
};

/// A non-blocking TCP connection on an event loop. Bytes sent during a turn of
/// the loop leave together at its end.
class Stream : public EventHandler,
               public std::enable_shared_from_this<Stream> {
public:
  Stream(EventLoop &Loop, const Poco::Net::StreamSocket &Socket,
         StreamOwner &Owner, bool Connecting);
  ~Stream() override;

  /// Registers with the loop. Call once, after construction.
  void start();

  void send(std::string_view Bytes);
  void send(std::string &&Bytes);
  /// Ends the connection at once; `onClosed` is not called.
  void close();
  /// Ends the connection once everything was sent.
  void closeWhenFlushed();

  bool closed() const { return Closed; }
  std::size_t unsentBytes() const { return SendBuffer.size() - SendOffset; }
  Poco::Net::StreamSocket &socket() { return Socket; }

  void onReady(const Readiness &State) override;

private:
  /// `EofPending`: the end of the stream is known to be waiting.
  void readAll(bool EofPending);
  void flush();
  void scheduleFlush();
  void closeAndNotify(StreamCloseReason Reason);

  EventLoop &Loop;
  Poco::Net::StreamSocket Socket;
  StreamOwner &Owner;
  std::string SendBuffer;
  std::size_t SendOffset = 0;
  bool Connecting;
  bool Closed = false;
  bool Watched = false;
  bool FlushScheduled = false;
  bool CloseAfterFlush = false;
};

/// Starts a connection to `Address` (IP:PORT). Returns null when the system
/// refuses at once. `TcpUserTimeoutMs` bounds how long sent bytes may stay
/// unacknowledged.
std::shared_ptr<Stream> connectStream(EventLoop &Loop,
                                      const std::string &Address,
                                      StreamOwner &Owner, int TcpUserTimeoutMs);

} // namespace pollenwick::agent

#endif
