#include "agent/BackendConnection.h"

#include <algorithm>

#include "agent/Backend.h"
#include "agent/StringUtil.h"
#include "agent/TcpKeepAlive.h"

namespace pollenwick::agent {
namespace {

constexpr int TcpUserTimeoutMs = 5000;
/// Time before the server's idle timeout from which a connection is not reused,
/// because the server might close it while a call is being sent.
constexpr Duration IdleTimeoutMargin = std::chrono::milliseconds(1500);
constexpr std::uint64_t MaxResponseBodyBytes = std::uint64_t{64} * 1024 * 1024;
constexpr std::uint32_t MaxResponseHeaderBytes = 64 * 1024;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

} // namespace

BackendConnection::BackendConnection(EventLoop &TheLoop,
                                     const PlatformAdapter &TheProtocol,
                                     Backend &TheOwner)
    : Loop(TheLoop), Protocol(TheProtocol), Owner(TheOwner),
      IdleDeadline(Instant::max()) {}

bool BackendConnection::open(const std::string &Address) {
  Transport = connectStream(Loop, Address, *this, TcpUserTimeoutMs);
  if (!Transport)
    return false;
  enableTcpKeepAlive(Transport->socket());
  return true;
}

void BackendConnection::close() {
  if (Transport)
    Transport->close();
}

bool BackendConnection::usable(Instant Now) const {
  return !NotReusable && !Transport->closed() && ActiveCall == 0 &&
         Now < IdleDeadline;
}

void BackendConnection::startCall(std::uint64_t CallNumber,
                                  const CallRequest &Request, Instant Now) {
  ActiveCall = CallNumber;
  RequestId = Request.RequestId;
  Method = Request.Method;
  const auto TimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      Request.Deadline - Now);
  std::string Message =
      concat(Request.Method, " ", Request.Target, " HTTP/1.1\r\n",
             Request.Headers, Protocol.DeadlineHeader, ": ",
             std::max<std::int64_t>(1, TimeLeft.count()), "\r\n",
             Protocol.ExpectedServerHeader, ": ", Request.ServerId, "\r\n");
  if (!Request.Body.empty() || Request.Method == "POST" ||
      Request.Method == "PUT")
    appendAll(Message, "Content-Length: ", Request.Body.size(), "\r\n");
  appendAll(Message, "\r\n", Request.Body);
  Transport->send(std::move(Message));
}

void BackendConnection::onData(std::string_view Bytes) {
  if (ActiveCall == 0) {
    // These bytes belong to no call, so later bytes on this connection could
    // not be assigned to a call either.
    NotReusable = true;
    close();
    Owner.onConnectionClosed(*this, Connected);
    return;
  }
  parse(Bytes);
}

void BackendConnection::parse(std::string_view Bytes) {
  while (!Bytes.empty() && ActiveCall != 0) {
    if (!Parser) {
      Parser.emplace();
      Parser->eager(true);
      Parser->body_limit(MaxResponseBodyBytes);
      Parser->header_limit(MaxResponseHeaderBytes);
      if (Method == "HEAD")
        Parser->skip(true);
    }
    boost::system::error_code Error;
    const std::size_t BytesParsed = Parser->put(
        boost::asio::const_buffer(Bytes.data(), Bytes.size()), Error);
    if (Error && Error != http::error::need_more) {
      abortConnection("unreadable-answer");
      return;
    }
    Bytes.remove_prefix(BytesParsed);
    if (Parser->is_done()) {
      finishResponse();
      continue;
    }
    if (BytesParsed == 0)
      break;
  }
  if (!Bytes.empty() && ActiveCall == 0) {
    NotReusable = true;
    close();
    Owner.onConnectionClosed(*this, Connected);
  }
}

CallResult
BackendConnection::toCallResult(const ResponseMessage &Response) const {
  CallResult Result;
  Result.ReachedServer = true;
  Result.Status = static_cast<int>(Response.result_int());
  const bool NotRun = !headerValue(Response, Protocol.NotRunHeader).empty() ||
                      Result.Status == 421;
  if (NotRun) {
    Result.Outcome = CallOutcome::NotRun;
    Result.Cause = concat("server-refused-", Result.Status);
    return Result;
  }
  const bool Stamped =
      !headerValue(Response, Protocol.ServerStampHeader).empty();
  const bool Encoded = !Response[http::field::content_encoding].empty();
  if (isSuccess(Result.Status) && (!Stamped || Encoded)) {
    Result.Cause = "answer-without-stamp";
    return Result;
  }
  Result.Outcome = CallOutcome::Complete;
  Result.Headers = forwardedHeaders(Response, {Protocol.ServerLoadHeader});
  Result.Body = Response.body();
  return Result;
}

void BackendConnection::finishResponse() {
  const bool Persistent = Parser->keep_alive();
  const ResponseMessage Response = Parser->release();
  Parser.reset();
  if (Response.result_int() < 200)
    return;
  const std::string_view EchoedId =
      headerValue(Response, Protocol.RequestIdHeader);
  const bool NotRun = !headerValue(Response, Protocol.NotRunHeader).empty() ||
                      Response.result_int() == 421;
  if (EchoedId != RequestId && !(EchoedId.empty() && NotRun)) {
    // This is an extra answer to an earlier call. The answer to the current
    // call is still to come.
    NotReusable = true;
    return;
  }
  if (const auto Seconds = keepAliveTimeoutSeconds(Response))
    IdleTimeout = std::max(Duration{},
                           std::chrono::seconds(*Seconds) - IdleTimeoutMargin);
  const bool Reuse = Persistent && !NotReusable &&
                     Transport->unsentBytes() == 0 && IdleTimeout.count() > 0;
  CallResult Result = toCallResult(Response);
  const std::uint64_t FinishedCall = ActiveCall;
  ActiveCall = 0;
  IdleDeadline = Loop.now() + IdleTimeout;
  if (!Reuse) {
    NotReusable = true;
    close();
  }
  Owner.completeCall(FinishedCall, std::move(Result));
  if (!Reuse)
    Owner.onConnectionClosed(*this, true);
}

void BackendConnection::abortConnection(std::string Cause) {
  close();
  NotReusable = true;
  const std::uint64_t FinishedCall = ActiveCall;
  ActiveCall = 0;
  if (FinishedCall != 0) {
    CallResult Result;
    Result.ReachedServer = true;
    Result.Cause = std::move(Cause);
    Owner.completeCall(FinishedCall, std::move(Result));
  }
  Owner.onConnectionClosed(*this, Connected);
}

void BackendConnection::onClosed(StreamCloseReason Reason) {
  if (ActiveCall != 0 && Parser && Reason == StreamCloseReason::Closed) {
    // The end of the connection marks the end of an answer without a length.
    boost::system::error_code Error;
    Parser->put_eof(Error);
    if (!Error && Parser->is_done()) {
      NotReusable = true;
      finishResponse();
      if (ActiveCall == 0)
        return;
    }
  }
  abortConnection(Connected ? "server-connection-lost" : "server-unreachable");
}

} // namespace pollenwick::agent
