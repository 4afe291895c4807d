#ifndef POLLENWICK_AGENT_STREAM_H
#define POLLENWICK_AGENT_STREAM_H

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <Poco/Net/StreamSocket.h>

#include "agent/EventLoop.h"
#include "agent/SharedBytes.h"

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
  /// Sends bytes that are shared. Large ones are not copied.
  void send(SharedBytes &&Bytes);
  /// Closes the connection immediately without calling `onClosed`.
  void close();
  /// Closes the connection once the send buffer is empty, without calling
  /// `onClosed`.
  void closeWhenFlushed(CloseMode Mode);
  /// Stops or resumes reading. A paused stream still notices that the peer has
  /// closed the connection, and then discards the unread bytes.
  void pauseReading(bool Pause);
  /// Stops or resumes reading. A stream that is held notices the end of the
  /// connection only when it is resumed, and passes on all bytes before it.
  void holdReading(bool Hold);
  /// Passes on the bytes that have been received but not read yet.
  void readAvailable();

  bool closed() const { return Closed; }
  std::size_t unsentBytes() const { return UnsentBytes; }
  Poco::Net::StreamSocket &socket() { return Socket; }

  void onReady(const Readiness &State) override;

private:
  /// Reads until the socket is empty or closed, or reading is paused.
  void readAll();
  /// Returns how a stream has ended that has no more bytes to read.
  StreamCloseReason reasonOfEnd() const;
  void flush();
  /// Sends until the socket takes no more. Returns false after an error.
  bool sendPending();
  void dropSentBytes(std::size_t Count);
  void releaseSendBuffers();
  void resumeReading();
  void scheduleFlush();
  void lingerAndClose();
  void closeAndNotify(StreamCloseReason Reason);

  EventLoop &Loop;
  Poco::Net::StreamSocket Socket;
  StreamOwner &Owner;
  /// Bytes that are sent together: copied ones, then shared ones.
  struct Segment {
    std::string Copied;
    SharedBytes Shared;
  };
  /// Segments before the last one end with large shared bytes.
  std::deque<Segment> SendQueue;
  std::size_t SendOffset = 0;  ///< Bytes of the first segment that were sent.
  std::size_t UnsentBytes = 0; ///< Of all segments.
  /// Copied bytes that were left when the socket took no more. Shared bytes are
  /// counted by their owner.
  MemoryCharge SendCharge;
  MemoryCharge OpenCharge; ///< Overhead of the connection.
  bool Connecting;
  bool Closed = false;
  bool Watched = false;
  bool FlushScheduled = false;
  std::optional<CloseMode> CloseAfterFlush;
  bool ReadingPaused = false;
  bool ReadingHeld = false;
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
