#include "agent/CallerListener.h"

#include <algorithm>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace pollenwick::agent {
namespace {

constexpr int Backlog = 1024;
/// Bytes that a caller may send ahead of the answer to its running request.
constexpr std::size_t LargestUnread = std::size_t{256} * 1024;
constexpr Duration SweepEvery = std::chrono::milliseconds(500);
/// An answer that the caller does not read for so long is given up.
constexpr Duration UnreadLimit = std::chrono::seconds(20);

} // namespace

CallerConnection::CallerConnection(EventLoop &TheLoop, CallerListener &ThePort,
                                   std::string TheIp)
    : Loop(TheLoop), Port(ThePort), CallerIp(std::move(TheIp)),
      LastActivity(TheLoop.now()) {}

void CallerConnection::start(const Poco::Net::StreamSocket &Socket) {
  Transport = std::make_shared<Stream>(Loop, Socket, *this, false);
  Transport->start();
}

void CallerConnection::onData(std::string_view Bytes) {
  if (Closing)
    return;
  Unread.append(Bytes);
  if (Busy) {
    if (Unread.size() > LargestUnread)
      onClosed(StreamCloseReason::Reset);
    return;
  }
  parse();
}

void CallerConnection::parse() {
  while (!Busy && !Closing && !Unread.empty()) {
    if (!Parser) {
      Parser.emplace();
      Parser->eager(true);
      Parser->header_limit(
          static_cast<std::uint32_t>(Port.limits().HeaderBytes));
      Parser->body_limit(Port.limits().BodyBytes);
      LastActivity = Loop.now();
      RequestBegan = Loop.now();
      ContinueSent = false;
    }
    boost::system::error_code Error;
    const std::size_t Used = Parser->put(
        boost::asio::const_buffer(Unread.data(), Unread.size()), Error);
    if (Error && Error != http::error::need_more) {
      if (Error == http::error::header_limit)
        reject(431, "header-too-large");
      else if (Error == http::error::body_limit)
        reject(413, "body-too-large");
      else
        reject(400, "unreadable-request");
      return;
    }
    Unread.erase(0, Used);
    if (Parser->is_done()) {
      finishRequest();
      continue;
    }
    if (!ContinueSent && Parser->is_header_done() &&
        Parser->get()[http::field::expect] == "100-continue") {
      ContinueSent = true;
      Transport->send(std::string_view("HTTP/1.1 100 Continue\r\n\r\n"));
    }
    if (Used == 0)
      return;
  }
}

void CallerConnection::reject(int Status, std::string_view Cause) {
  Transport->send(makeLocalReply(Status, Cause, "", false));
  closeAfterAnswer();
}

void CallerConnection::closeAfterAnswer() {
  Closing = true;
  Busy = false;
  Unread.clear();
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
  Result.FirstByteAt = RequestBegan;
  Port.Events.onRequest(shared_from_this(), std::move(Result));
}

void CallerConnection::respond(std::string &&Message, bool Keep) {
  if (!Busy || Transport->closed())
    return;
  Busy = false;
  LastActivity = Loop.now();
  Transport->send(std::move(Message));
  if (!Keep || !KeepAlive || Port.draining()) {
    closeAfterAnswer();
    return;
  }
  if (!Unread.empty())
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
    Port.Events.onCallerDisconnected(*this);
}

void CallerConnection::checkAge(Instant Now, const CallerLimits &Limits) {
  if (Busy)
    return;
  const Duration Age = Now - LastActivity;
  if (Transport->unsentBytes() > 0) {
    if (Age > UnreadLimit)
      close();
    return;
  }
  if (Parser && !Parser->is_header_done() && Age > Limits.HeaderTimeout) {
    reject(408, "header-timeout");
    return;
  }
  if (Age > Limits.IdleTimeout)
    close();
}

CallerListener::CallerListener(EventLoop &TheLoop,
                               CallerEventHandler &TheEvents,
                               const std::string &ListenAddress)
    : Loop(TheLoop), Events(TheEvents) {
  ListenSocket.bind(Poco::Net::SocketAddress(ListenAddress), true);
  ListenSocket.listen(Backlog);
  ListenSocket.setBlocking(false);
  Loop.watch(ListenSocket.impl()->sockfd(), *this);
  Loop.callAt(Loop.now() + SweepEvery, [this] { sweep(); });
}

void CallerListener::onReady(const Readiness & /*State*/) {
  if (!Listening)
    return;
  try {
    while (true) {
      Poco::Net::SocketAddress From;
      Poco::Net::StreamSocket Socket = ListenSocket.acceptConnection(From);
      Socket.setBlocking(false);
      Socket.setNoDelay(true);
      auto Connection = std::make_shared<CallerConnection>(
          Loop, *this, From.host().toString());
      Connections.emplace(Connection.get(), Connection);
      Connection->start(Socket);
    }
  } catch (const Poco::Exception &) {
    // No further connection waits, or none can be taken now; the next arrival
    // raises another event.
  }
}

void CallerListener::removeConnection(CallerConnection &Connection) {
  const auto Found = Connections.find(&Connection);
  if (Found == Connections.end())
    return;
  // The stream refers to its owner until the last byte has left.
  Loop.deferRelease(Found->second);
  if (Connection.Transport->closed()) {
    Connections.erase(Found);
    return;
  }
}

void CallerListener::sweep() {
  Loop.callAt(Loop.now() + SweepEvery, [this] { sweep(); });
  std::vector<std::shared_ptr<CallerConnection>> All;
  All.reserve(Connections.size());
  for (const auto &[Raw, Connection] : Connections)
    All.push_back(Connection);
  for (const std::shared_ptr<CallerConnection> &Connection : All) {
    if (Connection->Transport->closed())
      Connections.erase(Connection.get());
    else
      Connection->checkAge(Loop.now(), Limits);
  }
}

void CallerListener::drain() {
  Draining = true;
  std::vector<std::shared_ptr<CallerConnection>> All;
  for (const auto &[Raw, Connection] : Connections)
    if (!Connection->busy() && !Connection->Parser)
      All.push_back(Connection);
  for (const std::shared_ptr<CallerConnection> &Connection : All)
    Connection->closeAfterAnswer();
}

void CallerListener::stopListening() {
  if (!Listening)
    return;
  Listening = false;
  Loop.unwatch(ListenSocket.impl()->sockfd());
  ListenSocket.close();
}

std::size_t CallerListener::busyCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Connections, [](const auto &Entry) {
        return Entry.second->busy() ||
               Entry.second->Transport->unsentBytes() > 0;
      }));
}

} // namespace pollenwick::agent
