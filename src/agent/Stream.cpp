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

constexpr std::size_t ReadBytes = std::size_t{64} * 1024;
/// Sent bytes are dropped from the buffer in steps of this size.
constexpr std::size_t CompactBytes = std::size_t{64} * 1024;

char *readBuffer() {
  static thread_local std::array<char, ReadBytes> Buffer;
  return Buffer.data();
}

} // namespace

Stream::Stream(EventLoop &TheLoop, const Poco::Net::StreamSocket &TheSocket,
               StreamOwner &TheOwner, bool IsConnecting)
    : Loop(TheLoop), Socket(TheSocket), Owner(TheOwner),
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
  Out.append(Bytes);
  scheduleFlush();
}

void Stream::send(std::string &&Bytes) {
  if (Closed || Bytes.empty())
    return;
  if (unsentBytes() == 0) {
    Out = std::move(Bytes);
    Sent = 0;
  } else {
    Out.append(Bytes);
  }
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
  Out.clear();
  Out.shrink_to_fit();
  Sent = 0;
  Loop.deferRelease(shared_from_this());
}

void Stream::closeWhenFlushed() {
  if (Closed)
    return;
  if (unsentBytes() == 0 && !FlushScheduled) {
    close();
    return;
  }
  CloseAfterFlush = true;
}

void Stream::fail(StreamEnd End) {
  if (Closed)
    return;
  const std::shared_ptr<Stream> Self = shared_from_this();
  close();
  Owner.onEnd(End);
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
      fail(StreamEnd::Reset);
      return;
    }
    Connecting = false;
    Owner.onConnected();
    if (Closed)
      return;
  }
  if (State.Readable || State.HasError)
    readAll(State.PeerClosed || State.HasError);
  if (!Closed && State.Writable && !Connecting && unsentBytes() > 0)
    flush();
}

void Stream::readAll(bool ToEnd) {
  while (!Closed) {
    const ssize_t Got =
        ::recv(Socket.impl()->sockfd(), readBuffer(), ReadBytes, 0);
    if (Got > 0) {
      Owner.onData({readBuffer(), static_cast<std::size_t>(Got)});
      // A short read has emptied the socket: the next bytes raise an event. An
      // end that has been reported raises none.
      if (!ToEnd && static_cast<std::size_t>(Got) < ReadBytes)
        return;
      continue;
    }
    if (Got == 0) {
      fail(StreamEnd::Closed);
      return;
    }
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK)
      fail(StreamEnd::Reset);
    return;
  }
}

void Stream::flush() {
  if (Closed || Connecting)
    return;
  const std::shared_ptr<Stream> Self = shared_from_this();
  while (unsentBytes() > 0) {
    const ssize_t Put = ::send(Socket.impl()->sockfd(), Out.data() + Sent,
                               unsentBytes(), MSG_NOSIGNAL);
    if (Put < 0) {
      if (errno == EINTR)
        continue;
      if (errno == EAGAIN || errno == EWOULDBLOCK)
        break;
      // What the peer sent before it closed may still be unread.
      readAll(true);
      fail(StreamEnd::Reset);
      return;
    }
    Sent += static_cast<std::size_t>(Put);
  }
  if (unsentBytes() > 0) {
    if (Sent >= CompactBytes) {
      Out.erase(0, Sent);
      Sent = 0;
    }
    return;
  }
  if (Out.capacity() > CompactBytes)
    std::string().swap(Out);
  else
    Out.clear();
  Sent = 0;
  if (CloseAfterFlush) {
    close();
    return;
  }
  Owner.onFlushed();
}

std::shared_ptr<Stream> connectStream(EventLoop &Loop,
                                      const std::string &Address,
                                      StreamOwner &Owner, int UnansweredMs) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connectNB(Poco::Net::SocketAddress(Address));
    Socket.setBlocking(false);
    Socket.setNoDelay(true);
    Socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, UnansweredMs);
    auto Result = std::make_shared<Stream>(Loop, Socket, Owner, true);
    Result->start();
    return Result;
  } catch (const Poco::Exception &) {
    // The caller reports it as a failed connection, with the address.
    return nullptr;
  }
}

} // namespace pollenwick::agent
