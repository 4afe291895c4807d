#include "agent/Stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <optional>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace pollenwick::agent {
namespace {

constexpr std::size_t ReadBufferBytes = std::size_t{64} * 1024;
/// Sent bytes are erased from the front of the buffer once there are at least
/// this many. An empty buffer with a larger capacity is freed.
constexpr std::size_t CompactThresholdBytes = std::size_t{64} * 1024;
/// Objects and buffers of an open connection.
constexpr std::size_t ConnectionBytes = std::size_t{4} * 1024;
/// Time that a peer has to close its end after everything was sent.
constexpr Duration LingerTimeout = std::chrono::milliseconds(500);

char *readBuffer() {
  static thread_local std::array<char, ReadBufferBytes> Buffer;
  return Buffer.data();
}

} // namespace

Stream::Stream(EventLoop &TheLoop, const Poco::Net::StreamSocket &TheSocket,
               StreamOwner &TheOwner, bool IsConnecting)
    : Loop(TheLoop), Socket(TheSocket), Owner(TheOwner),
      SendCharge(TheLoop.memory(), MemoryKind::SendBuffers),
      OpenCharge(TheLoop.memory(), MemoryKind::Connections, ConnectionBytes),
      Connecting(IsConnecting) {}

Stream::~Stream() {
  if (!Closed)
    Socket.close();
}

void Stream::start() {
  Watched = true;
  Loop.watch(Socket.impl()->sockfd(), *this);
}

void Stream::send(std::string_view Bytes) {
  if (Closed || Bytes.empty())
    return;
  if (SendQueue.empty() || !SendQueue.back().Shared.empty())
    SendQueue.emplace_back();
  SendQueue.back().Copied.append(Bytes);
  UnsentBytes += Bytes.size();
  scheduleFlush();
}

void Stream::send(std::string &&Bytes) {
  if (UnsentBytes > 0 || Closed || Bytes.empty()) {
    send(std::string_view(Bytes));
    return;
  }
  if (SendQueue.empty())
    SendQueue.emplace_back();
  UnsentBytes = Bytes.size();
  SendQueue.back().Copied = std::move(Bytes);
  scheduleFlush();
}

void Stream::send(SharedBytes &&Bytes) {
  if (!Bytes.isLarge()) {
    send(Bytes.view());
    return;
  }
  if (Closed)
    return;
  if (SendQueue.empty() || !SendQueue.back().Shared.empty())
    SendQueue.emplace_back();
  UnsentBytes += Bytes.size();
  SendQueue.back().Shared = std::move(Bytes);
  scheduleFlush();
}

void Stream::scheduleFlush() {
  if (Connecting || FlushScheduled)
    return;
  FlushScheduled = true;
  Loop.callAtTurnEnd([Self = shared_from_this()] {
    Self->FlushScheduled = false;
    Self->flush();
  });
}

void Stream::close() {
  if (Closed)
    return;
  Closed = true;
  if (Watched)
    Loop.unwatch(Socket.impl()->sockfd());
  Socket.close();
  releaseSendBuffers();
  OpenCharge.resize(0);
  Loop.deferRelease(shared_from_this());
}

void Stream::closeWhenFlushed(CloseMode Mode) {
  if (Closed)
    return;
  if (unsentBytes() == 0 && !FlushScheduled) {
    close();
    return;
  }
  CloseAfterFlush = Mode;
}

void Stream::lingerAndClose() {
  Lingering = true;
  ReadingPaused = false;
  ReadingHeld = false;
  ::shutdown(Socket.impl()->sockfd(), SHUT_WR);
  Loop.callAt(Loop.now() + LingerTimeout,
              [Self = shared_from_this()] { Self->close(); });
  readAll();
}

void Stream::pauseReading(bool Pause) {
  if (Closed || Lingering || ReadingPaused == Pause)
    return;
  ReadingPaused = Pause;
  if (!Pause)
    resumeReading();
}

void Stream::holdReading(bool Hold) {
  if (Closed || Lingering || ReadingHeld == Hold)
    return;
  ReadingHeld = Hold;
  if (!Hold)
    resumeReading();
}

void Stream::resumeReading() {
  // The event for the bytes that wait in the socket has been reported.
  Loop.callAtTurnEnd([Self = shared_from_this()] { Self->readAvailable(); });
}

void Stream::readAvailable() {
  if (Closed || Connecting)
    return;
  const std::shared_ptr<Stream> Self = shared_from_this();
  readAll();
}

void Stream::closeAndNotify(StreamCloseReason Reason) {
  if (Closed)
    return;
  const std::shared_ptr<Stream> Self = shared_from_this();
  const StreamEnd End{Reason, ReceiveError, SendError, unsentBytes()};
  close();
  if (!Lingering)
    Owner.onClosed(End);
}

void Stream::onReady(const Readiness &State) {
  if (Closed)
    return;
  const std::shared_ptr<Stream> Self = shared_from_this();
  if (Connecting && (State.Writable || State.HasError)) {
    int Error = 0;
    socklen_t Length = sizeof(Error);
    ::getsockopt(Socket.impl()->sockfd(), SOL_SOCKET, SO_ERROR, &Error,
                 &Length);
    if (Error != 0) {
      closeAndNotify(StreamCloseReason::Reset);
      return;
    }
    Connecting = false;
    Owner.onConnected();
    if (Closed)
      return;
  }
  if (State.HasError)
    ReportedEnd = StreamCloseReason::Reset;
  else if (State.PeerClosed && !ReportedEnd)
    ReportedEnd = StreamCloseReason::Closed;
  if (State.Readable || State.HasError)
    readAll();
  if (!Closed && State.Writable && !Connecting && unsentBytes() > 0)
    flush();
}

StreamCloseReason Stream::reasonOfEnd() const {
  // `recv` reports a reset once. If `send` has taken the error, `recv` returns
  // the bytes that were received before it and then 0, as at an orderly end.
  // EPIPE means that the orderly end had arrived before the reset.
  const bool ResetBeforeEnd = SendError != 0 && SendError != EPIPE;
  return ResetBeforeEnd ? StreamCloseReason::Reset : StreamCloseReason::Closed;
}

void Stream::readAll() {
  while (!Closed && !ReadingPaused && !ReadingHeld) {
    const ssize_t Received =
        ::recv(Socket.impl()->sockfd(), readBuffer(), ReadBufferBytes, 0);
    if (Received > 0) {
      if (!Lingering)
        Owner.onData({readBuffer(), static_cast<std::size_t>(Received)});
      // A short read has emptied the socket, and new bytes raise another event.
      // A reported end of the stream raises no other event, so reading goes on
      // until `recv` returns it.
      if (!ReportedEnd && static_cast<std::size_t>(Received) < ReadBufferBytes)
        return;
      continue;
    }
    if (Received == 0) {
      closeAndNotify(reasonOfEnd());
      return;
    }
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      ReceiveError = errno;
      closeAndNotify(StreamCloseReason::Reset);
    }
    return;
  }
  // The end may have come together with the bytes that paused the reading.
  if (ReportedEnd && !ReadingHeld)
    closeAndNotify(*ReportedEnd);
}

void Stream::dropSentBytes(std::size_t Count) {
  UnsentBytes -= Count;
  SendOffset += Count;
  while (!SendQueue.empty() && UnsentBytes > 0) {
    Segment &First = SendQueue.front();
    const std::size_t Size = First.Copied.size() + First.Shared.size();
    if (SendOffset < Size)
      break;
    SendOffset -= Size;
    SendQueue.pop_front();
  }
  // A segment with shared bytes has few copied ones.
  if (!SendQueue.empty() && SendQueue.front().Shared.empty() &&
      UnsentBytes > 0 && SendOffset >= CompactThresholdBytes) {
    SendQueue.front().Copied.erase(0, SendOffset);
    SendOffset = 0;
  }
}

bool Stream::sendPending() {
  while (UnsentBytes > 0) {
    const Segment &First = SendQueue.front();
    std::string_view Bytes;
    bool HasMore = SendQueue.size() > 1;
    if (SendOffset < First.Copied.size()) {
      Bytes = std::string_view(First.Copied).substr(SendOffset);
      HasMore |= !First.Shared.empty();
    } else {
      Bytes = First.Shared.view().substr(SendOffset - First.Copied.size());
    }
    const ssize_t Written =
        ::send(Socket.impl()->sockfd(), Bytes.data(), Bytes.size(),
               MSG_NOSIGNAL | (HasMore ? MSG_MORE : 0));
    if (Written >= 0) {
      dropSentBytes(static_cast<std::size_t>(Written));
      continue;
    }
    if (errno == EINTR)
      continue;
    if (errno == EAGAIN || errno == EWOULDBLOCK)
      return true;
    SendError = errno;
    return false;
  }
  return true;
}

void Stream::releaseSendBuffers() {
  // The string of the usual case, one message at a time, is kept.
  if (!Closed && SendQueue.size() == 1 && SendQueue.front().Shared.empty() &&
      SendQueue.front().Copied.capacity() <= CompactThresholdBytes)
    SendQueue.front().Copied.clear();
  else
    std::deque<Segment>().swap(SendQueue);
  SendOffset = 0;
  UnsentBytes = 0;
  SendCharge.resize(0);
}

void Stream::flush() {
  if (Closed || Connecting)
    return;
  const std::shared_ptr<Stream> Self = shared_from_this();
  if (!sendPending()) {
    // Bytes that the peer sent before the failure may still be unread.
    ReportedEnd = StreamCloseReason::Reset;
    readAll();
    closeAndNotify(StreamCloseReason::Reset);
    return;
  }
  if (UnsentBytes > 0) {
    std::size_t Copied = 0;
    for (const Segment &Item : SendQueue)
      Copied += Item.Copied.capacity();
    SendCharge.resize(Copied);
    return;
  }
  releaseSendBuffers();
  if (CloseAfterFlush == CloseMode::Immediate) {
    close();
    return;
  }
  if (CloseAfterFlush == CloseMode::Linger) {
    lingerAndClose();
    return;
  }
  Owner.onFlushed();
}

std::shared_ptr<Stream> connectStream(EventLoop &Loop,
                                      const std::string &Address,
                                      StreamOwner &Owner, int TcpUserTimeoutMs,
                                      const std::string &LocalIp) {
  try {
    Poco::Net::StreamSocket Socket;
    if (!LocalIp.empty())
      Socket.impl()->bind(Poco::Net::SocketAddress(LocalIp, std::uint16_t{0}),
                          false);
    Socket.connectNB(Poco::Net::SocketAddress(Address));
    Socket.setBlocking(false);
    Socket.setNoDelay(true);
    Socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, TcpUserTimeoutMs);
    auto Result = std::make_shared<Stream>(Loop, Socket, Owner, true);
    Result->start();
    return Result;
  } catch (const Poco::Exception &) {
    // The calling code reports the failed connection with its address.
    return nullptr;
  }
}

} // namespace pollenwick::agent
