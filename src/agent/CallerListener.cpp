#include "agent/CallerListener.h"

#include <algorithm>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace pollenwick::agent {
namespace {

constexpr int ListenBacklog = 1024;
/// Limit on the bytes that a caller sends before its running request is
/// answered. The connection is closed beyond it.
constexpr std::size_t MaxUnparsedBytes = std::size_t{256} * 1024;
constexpr Duration SweepInterval = std::chrono::milliseconds(500);
/// A connection is closed when its caller has not read the whole answer within
/// this time.
constexpr Duration ResponseReadTimeout = std::chrono::seconds(20);

} // namespace

CallerConnection::CallerConnection(EventLoop &TheLoop, CallerListener &ThePort,
                                   std::string TheCallerIp)
    : Loop(TheLoop), Port(ThePort), CallerIp(std::move(TheCallerIp)),
      LastActivity(TheLoop.now()) {}

void CallerConnection::start(const Poco::Net::StreamSocket &Socket) {
  Transport = std::make_shared<Stream>(Loop, Socket, *this, false);
  Transport->start();
}

void CallerConnection::onData(std::string_view Bytes) {
  if (Closing)
    return;
  UnparsedBytes.append(Bytes);
  if (Busy) {
    if (UnparsedBytes.size() > MaxUnparsedBytes)
      onClosed(StreamCloseReason::Reset);
    return;
  }
  parse();
}

void CallerConnection::parse() {
  while (!Busy && !Closing && !UnparsedBytes.empty()) {
    if (!Parser) {
      Parser.emplace();
      Parser->eager(true);
      Parser->header_limit(
          static_cast<std::uint32_t>(Port.limits().MaxHeaderBytes));
      Parser->body_limit(Port.limits().MaxBodyBytes);
      LastActivity = Loop.now();
      RequestFirstByteAt = Loop.now();
      ContinueSent = false;
    }
    boost::system::error_code Error;
    const std::size_t BytesParsed = Parser->put(
        boost::asio::const_buffer(UnparsedBytes.data(), UnparsedBytes.size()),
        Error);
    if (Error && Error != http::error::need_more) {
      if (Error == http::error::header_limit)
        reject(431, "header-too-large");
      else if (Error == http::error::body_limit)
        reject(413, "body-too-large");
      else
        reject(400, "unreadable-request");
      return;
    }
    UnparsedBytes.erase(0, BytesParsed);
    if (Parser->is_done()) {
      finishRequest();
      continue;
    }
    if (!ContinueSent && Parser->is_header_done() &&
        Parser->get()[http::field::expect] == "100-continue") {
      ContinueSent = true;
      Transport->send(std::string_view("HTTP/1.1 100 Continue\r\n\r\n"));
    }
    if (BytesParsed == 0)
      return;
  }
}

void CallerConnection::reject(int Status, std::string_view Cause) {
  Transport->send(makeLocalReply(Status, Cause, "", false));
  closeAfterResponse();
}

void CallerConnection::closeAfterResponse() {
  Closing = true;
  Busy = false;
  UnparsedBytes.clear();
  Transport->closeWhenFlushed();
  Port.removeConnection(*this);
}

void CallerConnection::finishRequest() {
  Busy = true;
  KeepAlive = Parser->keep_alive();
  auto Request = Parser->release();
  Parser.reset();
  CallerRequest Result;
  Result.Method = std::string(Request.method_string());
  Result.Target = std::string(Request.target());
  Result.Body = std::move(Request.body());
  Result.Headers = std::move(Request.base());
  Result.CallerIp = CallerIp;
  Result.FirstByteAt = RequestFirstByteAt;
  Port.Handler.onRequest(shared_from_this(), std::move(Result));
}

void CallerConnection::respond(std::string &&Message, bool KeepOpen) {
  if (!Busy || Transport->closed())
    return;
  Busy = false;
  LastActivity = Loop.now();
  Transport->send(std::move(Message));
  if (!KeepOpen || !KeepAlive || Port.draining()) {
    closeAfterResponse();
    return;
  }
  if (!UnparsedBytes.empty())
    parse();
}

void CallerConnection::close() {
  Transport->close();
  Port.removeConnection(*this);
}

void CallerConnection::onClosed(StreamCloseReason /*End*/) {
  const std::shared_ptr<CallerConnection> Self = shared_from_this();
  const bool WasBusy = Busy;
  Busy = false;
  close();
  if (WasBusy)
    Port.Handler.onCallerDisconnected(*this);
}

void CallerConnection::enforceTimeouts(Instant Now,
                                       const CallerLimits &Limits) {
  if (Busy)
    return;
  const Duration SinceActivity = Now - LastActivity;
  if (Transport->unsentBytes() > 0) {
    if (SinceActivity > ResponseReadTimeout)
      close();
    return;
  }
  if (Parser && !Parser->is_header_done() &&
      SinceActivity > Limits.HeaderTimeout) {
    reject(408, "header-timeout");
    return;
  }
  if (SinceActivity > Limits.IdleTimeout)
    close();
}

CallerListener::CallerListener(EventLoop &TheLoop,
                               CallerEventHandler &TheHandler,
                               const std::string &ListenAddress)
    : Loop(TheLoop), Handler(TheHandler) {
  ListenSocket.bind(Poco::Net::SocketAddress(ListenAddress), true);
  ListenSocket.listen(ListenBacklog);
  ListenSocket.setBlocking(false);
  Loop.watch(ListenSocket.impl()->sockfd(), *this);
  Loop.callAt(Loop.now() + SweepInterval, [this] { sweep(); });
}

void CallerListener::onReady(const Readiness & /*State*/) {
  if (!Listening)
    return;
  try {
    while (true) {
      Poco::Net::SocketAddress CallerAddress;
      Poco::Net::StreamSocket Socket =
          ListenSocket.acceptConnection(CallerAddress);
      Socket.setBlocking(false);
      Socket.setNoDelay(true);
      auto Connection = std::make_shared<CallerConnection>(
          Loop, *this, CallerAddress.host().toString());
      Connections.emplace(Connection.get(), Connection);
      Connection->start(Socket);
    }
  } catch (const Poco::Exception &) {
    // Either no connection is pending or none can be accepted now. The next
    // incoming connection raises another event.
  }
}

void CallerListener::removeConnection(CallerConnection &Connection) {
  const auto Found = Connections.find(&Connection);
  if (Found == Connections.end())
    return;
  // The stream refers to the connection until all bytes are sent, so the
  // connection stays in the map until its stream is closed.
  Loop.deferRelease(Found->second);
  if (Connection.Transport->closed()) {
    Connections.erase(Found);
    return;
  }
}

void CallerListener::sweep() {
  Loop.callAt(Loop.now() + SweepInterval, [this] { sweep(); });
  std::vector<std::shared_ptr<CallerConnection>> All;
  All.reserve(Connections.size());
  for (const auto &[Raw, Connection] : Connections)
    All.push_back(Connection);
  for (const std::shared_ptr<CallerConnection> &Connection : All) {
    if (Connection->Transport->closed())
      Connections.erase(Connection.get());
    else
      Connection->enforceTimeouts(Loop.now(), Limits);
  }
}

void CallerListener::drain() {
  Draining = true;
  std::vector<std::shared_ptr<CallerConnection>> All;
  for (const auto &[Raw, Connection] : Connections)
    if (!Connection->busy() && !Connection->Parser)
      All.push_back(Connection);
  for (const std::shared_ptr<CallerConnection> &Connection : All)
    Connection->closeAfterResponse();
}

void CallerListener::stopListening() {
  if (!Listening)
    return;
  Listening = false;
  Loop.unwatch(ListenSocket.impl()->sockfd());
  ListenSocket.close();
}

std::size_t CallerListener::busyConnectionCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Connections, [](const auto &Entry) {
        return Entry.second->busy() ||
               Entry.second->Transport->unsentBytes() > 0;
      }));
}

} // namespace pollenwick::agent
