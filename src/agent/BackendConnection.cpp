#include "agent/BackendConnection.h"

#include <algorithm>

#include "agent/Backend.h"
#include "agent/StringUtil.h"
#include "agent/TcpKeepAlive.h"

namespace pollenwick::agent {
namespace {

constexpr int TcpUserTimeoutMs = 5000;
/// The server may close an idle connection while a call is on its way; the
/// connection is not used so close to that time.
constexpr Duration IdleMargin = std::chrono::milliseconds(1500);
constexpr std::uint64_t LargestAnswer = std::uint64_t{64} * 1024 * 1024;
constexpr std::uint32_t LargestHead = 64 * 1024;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

} // namespace

BackendConnection::BackendConnection(EventLoop &TheLoop,
                                     const Dialect &TheWords, Backend &TheOwner)
    : Loop(TheLoop), Words(TheWords), Owner(TheOwner),
      IdleUntil(Instant::max()) {}

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
  return !Spoiled && !Transport->closed() && ActiveCall == 0 && Now < IdleUntil;
}

void BackendConnection::startCall(std::uint64_t TheNumber,
                                  const CallRequest &Request, Instant Now) {
  ActiveCall = TheNumber;
  RequestId = Request.RequestId;
  Method = Request.Method;
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Request.Deadline - Now);
  std::string Text = concat(
      Request.Method, " ", Request.Target, " HTTP/1.1\r\n", Request.Headers,
      Words.Deadline, ": ", std::max<std::int64_t>(1, Left.count()), "\r\n",
      Words.ExpectedServer, ": ", Request.ServerId, "\r\n");
  if (!Request.Body.empty() || Request.Method == "POST" ||
      Request.Method == "PUT")
    appendAll(Text, "Content-Length: ", Request.Body.size(), "\r\n");
  appendAll(Text, "\r\n", Request.Body);
  Transport->send(std::move(Text));
}

void BackendConnection::onData(std::string_view Bytes) {
  if (ActiveCall == 0) {
    // Bytes that belong to no call. Whatever follows cannot be told apart.
    Spoiled = true;
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
      Parser->body_limit(LargestAnswer);
      Parser->header_limit(LargestHead);
      if (Method == "HEAD")
        Parser->skip(true);
    }
    boost::system::error_code Error;
    const std::size_t Used = Parser->put(
        boost::asio::const_buffer(Bytes.data(), Bytes.size()), Error);
    if (Error && Error != http::error::need_more) {
      breakOff("unreadable-answer");
      return;
    }
    Bytes.remove_prefix(Used);
    if (Parser->is_done()) {
      finishResponse();
      continue;
    }
    if (Used == 0)
      break;
  }
  if (!Bytes.empty() && ActiveCall == 0) {
    Spoiled = true;
    close();
    Owner.onConnectionClosed(*this, Connected);
  }
}

CallResult
BackendConnection::toCallResult(const ResponseMessage &Response) const {
  CallResult Result;
  Result.ReachedServer = true;
  Result.Status = static_cast<int>(Response.result_int());
  const bool NotRun =
      !headerValue(Response, Words.NotRun).empty() || Result.Status == 421;
  if (NotRun) {
    Result.Outcome = CallOutcome::NotRun;
    Result.Cause = concat("server-refused-", Result.Status);
    return Result;
  }
  const bool Stamped = !headerValue(Response, Words.ServerStamp).empty();
  const bool Encoded = !Response[http::field::content_encoding].empty();
  if (isSuccess(Result.Status) && (!Stamped || Encoded)) {
    Result.Cause = "answer-without-stamp";
    return Result;
  }
  Result.Outcome = CallOutcome::Complete;
  Result.Headers = forwardedHeaders(Response, {Words.ServerLoad});
  Result.Body = Response.body();
  return Result;
}

void BackendConnection::finishResponse() {
  const bool Persistent = Parser->keep_alive();
  const ResponseMessage Response = Parser->release();
  Parser.reset();
  if (Response.result_int() < 200)
    return;
  const std::string_view Echo = headerValue(Response, Words.RequestId);
  const bool NotRun = !headerValue(Response, Words.NotRun).empty() ||
                      Response.result_int() == 421;
  if (Echo != RequestId && !(Echo.empty() && NotRun)) {
    // An extra answer to an earlier call; ours is still to come.
    Spoiled = true;
    return;
  }
  if (const auto Seconds = keepAliveTimeoutSeconds(Response))
    IdleLimit =
        std::max(Duration{}, std::chrono::seconds(*Seconds) - IdleMargin);
  const bool Keep = Persistent && !Spoiled && Transport->unsentBytes() == 0 &&
                    IdleLimit.count() > 0;
  CallResult Result = toCallResult(Response);
  const std::uint64_t Done = ActiveCall;
  ActiveCall = 0;
  IdleUntil = Loop.now() + IdleLimit;
  if (!Keep) {
    Spoiled = true;
    close();
  }
  Owner.completeCall(Done, std::move(Result));
  if (!Keep)
    Owner.onConnectionClosed(*this, true);
}

void BackendConnection::breakOff(std::string Cause) {
  close();
  Spoiled = true;
  const std::uint64_t Done = ActiveCall;
  ActiveCall = 0;
  if (Done != 0) {
    CallResult Result;
    Result.ReachedServer = true;
    Result.Cause = std::move(Cause);
    Owner.completeCall(Done, std::move(Result));
  }
  Owner.onConnectionClosed(*this, Connected);
}

void BackendConnection::onClosed(StreamCloseReason Reason) {
  if (ActiveCall != 0 && Parser && Reason == StreamCloseReason::Closed) {
    // An answer without a length ends with its connection.
    boost::system::error_code Error;
    Parser->put_eof(Error);
    if (!Error && Parser->is_done()) {
      Spoiled = true;
      finishResponse();
      if (ActiveCall == 0)
        return;
    }
  }
  breakOff(Connected ? "server-connection-lost" : "server-unreachable");
}

} // namespace pollenwick::agent
