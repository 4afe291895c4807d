#ifndef POLLENWICK_AGENT_STREAM_H
#define POLLENWICK_AGENT_STREAM_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <Poco/Net/StreamSocket.h>

#include "agent/EventLoop.h"

namespace pollenwick::agent {

/// What happens to a connection after all bytes are sent.
enum class CloseMode : std::uint8_t {
  Immediate,
  /// Bytes that the peer still sends are discarded for a while. Unread bytes
  /// would reset the connection, and the peer could lose the end of what was
  /// sent.
  Linger,
};

/// How a connection ended: by an orderly close or by an error.
enum class StreamCloseReason : std::uint8_t { Closed, Reset };

/// How and where the end of a connection was noticed.
struct StreamEnd {
  StreamCloseReason Reason = StreamCloseReason::Reset;
  int ReceiveError = 0; ///< `errno` of the last `recv`; 0 if it did not fail.
  int SendError = 0;    ///< `errno` of the last `send`; 0 if it did not fail.
  std::size_t UnsentBytes = 0; ///< Left in the send buffer.
};

class Stream;

/// Receives the events of a stream. Each callback may close the stream.
class StreamOwner {
public:
  virtual ~StreamOwner() = default;
  virtual void onConnected() {}
  virtual void onData(std::string_view Bytes) = 0;
  /// Called when the peer or an error has closed the stream, but not after
  /// `Stream::close`.
  virtual void onClosed(const StreamEnd &End) = 0;
  /// Called when the send buffer has become empty.
  virtual void onFlushed() {}
};

/// A non-blocking TCP connection on an event loop. Bytes passed to `send`
/// during one turn of the loop are written to the socket together at its end.
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
  /// Closes the connection immediately without calling `onClosed`.
  void close();
  /// Closes the connection once the send buffer is empty, without calling
  /// `onClosed`.
  void closeWhenFlushed(CloseMode Mode);
  /// Stops or resumes reading. A paused stream still notices that the peer has
  /// closed the connection, and then discards the unread bytes.
  void pauseReading(bool Pause);
  /// Passes on the bytes that have been received but not read yet.
  void readAvailable();

  bool closed() const { return Closed; }
  std::size_t unsentBytes() const { return SendBuffer.size() - SendOffset; }
  Poco::Net::StreamSocket &socket() { return Socket; }

  void onReady(const Readiness &State) override;

private:
  /// Reads until the socket is empty or closed, or reading is paused.
  void readAll();
  /// Returns how a stream has ended that has no more bytes to read.
  StreamCloseReason reasonOfEnd() const;
  void flush();
  void scheduleFlush();
  void lingerAndClose();
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
  std::optional<CloseMode> CloseAfterFlush;
  bool ReadingPaused = false;
  bool Lingering = false; ///< All is sent; received bytes are discarded.
  /// How the stream has ended, as far as epoll has reported it. No further
  /// event follows.
  std::optional<StreamCloseReason> ReportedEnd;
  int ReceiveError = 0; ///< `errno` of a failed `recv`.
  int SendError = 0;    ///< `errno` of a failed `send`.
};

/// Starts to connect to `Address` (IP:PORT). Returns null when the system
/// refuses immediately. The connection fails when sent bytes stay
/// unacknowledged for longer than `TcpUserTimeoutMs`. `LocalIp` is the address
/// from which to connect; empty: the system chooses it.
std::shared_ptr<Stream> connectStream(EventLoop &Loop,
                                      const std::string &Address,
                                      StreamOwner &Owner, int TcpUserTimeoutMs,
                                      const std::string &LocalIp = {});

} // namespace pollenwick::agent

#endif
