#include "agent/BackendConnection.h"

#include <algorithm>

#include "agent/Backend.h"
#include "agent/Framing.h"
#include "agent/StringUtil.h"
#include "agent/TcpKeepAlive.h"

namespace pollenwick::agent {
namespace {

constexpr int TcpUserTimeoutMs = 5000;
/// Time before the server's idle timeout from which a connection is not reused,
/// because the server might close it while a call is being sent.
constexpr Duration IdleTimeoutMargin = std::chrono::milliseconds(1500);
constexpr std::uint32_t MaxResponseHeaderBytes = 64 * 1024;
/// Limit on an incomplete line. A chunk size line has no limit in the parser.
constexpr std::size_t MaxUnparsedBytes = MaxResponseHeaderBytes;
/// Interim responses and answers to earlier calls that are skipped during one
/// call. Beyond it the connection is closed, because a faulty server may send
/// them without end.
constexpr int MaxSkippedResponses = 8;

/// An answer without a length reserves this much at a time.
constexpr std::size_t ReservedPieceBytes = std::size_t{256} * 1024;

/// Refused requests whose ids a connection keeps. A connection with more is
/// closed.
constexpr std::size_t MaxRefusedIds = 64;

/// The request met another server than the one that is named in it.
constexpr int MisdirectedStatus = 421;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/// Returns what marks the end of the answer whose head was parsed.
std::string_view framingName(const ResponseParser &Parser) {
  if (Parser.chunked())
    return "chunks";
  return Parser.content_length() ? "length" : "close";
}

} // namespace

BackendConnection::BackendConnection(EventLoop &TheLoop,
                                     const PlatformAdapter &TheProtocol,
                                     Backend &TheOwner)
    : Loop(TheLoop), Protocol(TheProtocol), Owner(TheOwner),
      AnswerCharge(TheLoop.memory(), MemoryKind::Answers),
      IdleDeadline(Instant::max()) {}

bool BackendConnection::open(const std::string &Address) {
  Transport = connectStream(Loop, Address, *this, TcpUserTimeoutMs);
  if (!Transport)
    return false;
  enableTcpKeepAlive(Transport->socket());
  return true;
}

void BackendConnection::onConnected() {
  Connected = true;
  if (ActiveCall != 0)
    return;
  IdleDeadline = Loop.now() + IdleTimeout;
  Owner.onProbeConnected(*this);
}

void BackendConnection::close() {
  AnswerCharge.resize(0);
  if (Transport)
    Transport->close();
  Owner.updateBufferedBytes(BufferedBytes, 0);
  BufferedBytes = 0;
}

bool BackendConnection::usable(Instant Now) const {
  return !NotReusable && !Transport->closed() && ActiveCall == 0 &&
         Now < IdleDeadline;
}

bool BackendConnection::hasRefused(const std::string &Id) const {
  return std::ranges::find(RefusedIds, Id) != RefusedIds.end();
}

void BackendConnection::startCall(std::uint64_t CallNumber,
                                  const CallRequest &Request, Instant Now) {
  ActiveCall = CallNumber;
  SkippedResponses = 0;
  ++CallsStarted;
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
  appendAll(Message, "\r\n");
  if (!Request.Body.isLarge())
    appendAll(Message, Request.Body.view());
  Transport->send(std::move(Message));
  if (Request.Body.isLarge())
    Transport->send(SharedBytes(Request.Body));
}

void BackendConnection::onData(std::string_view Bytes) {
  if (ActiveCall == 0) {
    // These bytes belong to no call, so later bytes on this connection could
    // not be assigned to a call either.
    closeUnusable();
    return;
  }
  const bool HasUnparsed = !UnparsedBytes.empty();
  if (HasUnparsed)
    UnparsedBytes.append(Bytes);
  const std::size_t BytesParsed = parse(HasUnparsed ? UnparsedBytes : Bytes);
  if (ActiveCall == 0 || Transport->closed()) {
    UnparsedBytes.clear();
    return;
  }
  if (HasUnparsed)
    UnparsedBytes.erase(0, BytesParsed);
  else
    UnparsedBytes.assign(Bytes.substr(BytesParsed));
  if (UnparsedBytes.size() > MaxUnparsedBytes)
    abortConnection("unreadable-answer");
  else if (!updateBufferedBytes() || !reserveMemory())
    abortConnection("answer-too-large");
}

bool BackendConnection::reserveMemory() {
  MemoryAccount &Memory = Loop.memory();
  const std::size_t Received = BufferedBytes;
  std::size_t Needed =
      Received < LargeBytes / 2 ? Received : Received + ReservedPieceBytes;
  if (Parser && Parser->is_header_done() && Parser->content_length())
    Needed = std::max<std::size_t>(Received, *Parser->content_length());
  const std::size_t Reserved = AnswerCharge.bytes();
  if (Needed <= Reserved)
    return true;
  // A small answer is read in any case: its call has a slot, and reading it is
  // what frees memory.
  if (Needed < LargeBytes ||
      Memory.hasRoom(MemoryUse::Begun, Needed - Reserved)) {
    AnswerCharge.resize(Needed);
    return true;
  }
  if (!Memory.canEverHold(MemoryUse::Begun, Needed))
    return false;
  AnswerCharge.resize(Received);
  Transport->holdReading(true);
  Owner.WaitingForRoom.add(weak_from_this(), [this, Call = ActiveCall, Needed] {
    return resumeWithRoom(Call, Needed);
  });
  return true;
}

bool BackendConnection::resumeWithRoom(std::uint64_t Call, std::size_t Needed) {
  if (ActiveCall != Call || Transport->closed())
    return true;
  if (!Loop.memory().hasRoom(MemoryUse::Begun, Needed - AnswerCharge.bytes()))
    return false;
  AnswerCharge.resize(Needed);
  Transport->holdReading(false);
  return true;
}

void BackendConnection::closeUnusable() {
  NotReusable = true;
  close();
  Owner.onConnectionClosed(*this, Connected);
}

bool BackendConnection::updateBufferedBytes() {
  const std::size_t Size =
      (Parser ? Parser->get().body().size() : 0) + UnparsedBytes.size();
  const bool Fits = Owner.updateBufferedBytes(BufferedBytes, Size);
  BufferedBytes = Size;
  return Fits;
}

std::size_t BackendConnection::parse(std::string_view Bytes) {
  const std::size_t Size = Bytes.size();
  const std::uint64_t Call = ActiveCall;
  while (!Bytes.empty() && ActiveCall == Call) {
    if (!Parser) {
      Parser.emplace();
      HeadChecked = false;
      Parser->body_limit(Owner.responseLimits().MaxBodyBytes);
      Parser->header_limit(MaxResponseHeaderBytes);
      if (Method == "HEAD")
        Parser->skip(true);
    }
    boost::system::error_code Error;
    const std::size_t BytesParsed = Parser->parse(Bytes, Error);
    if (Error) {
      abortConnection(Error == http::error::body_limit ? "answer-too-large"
                                                       : "unreadable-answer");
      break;
    }
    Bytes.remove_prefix(BytesParsed);
    if (!hasValidHead()) {
      abortConnection("unreadable-answer");
      break;
    }
    if (Parser->is_done())
      finishResponse(!Bytes.empty());
    else if (BytesParsed == 0)
      break;
  }
  return Size - Bytes.size();
}

bool BackendConnection::hasValidHead() {
  if (HeadChecked || !Parser->is_header_done())
    return true;
  HeadChecked = true;
  const ResponseMessage &Head = Parser->get();
  if (!isInterimStatus(Head.result_int()) && !isFinalStatus(Head.result_int()))
    return false;
  return isBodiless(Head.result_int()) || Method == "HEAD" ||
         checkFraming(Head, Head.version()) == Framing::Valid;
}

ServerNotice
BackendConnection::noticeOf(const ResponseMessage &Response) const {
  return parseServerNotice(
      firstHeaderValue(Response, Protocol.RequestLimitHeaders),
      firstHeaderValue(Response, Protocol.ServerLeavingHeaders));
}

CallResult BackendConnection::toCallResult(ResponseMessage &&Response) const {
  CallResult Result;
  Result.ReachedServer = true;
  Result.Status = static_cast<int>(Response.result_int());
  Result.Report =
      parseServerReport(headerValue(Response, Protocol.ServerLoadHeader));
  const bool NotRun = !headerValue(Response, Protocol.NotRunHeader).empty() ||
                      Result.Status == MisdirectedStatus;
  if (NotRun) {
    Result.Outcome = CallOutcome::NotRun;
    Result.Cause = concat("server-refused-", Result.Status);
    if (Result.Status != MisdirectedStatus)
      Result.Notice = noticeOf(Response);
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
  Result.Notice = noticeOf(Response);
  Result.Headers = forwardedHeaders(Response, {Protocol.ServerLoadHeader});
  if (Method == "HEAD" || isBodiless(Response.result_int()))
    Result.UnsentLength = contentLength(Response);
  const std::size_t Size = Response.body().size();
  Result.Body =
      SharedBytes(std::move(Response.body()),
                  MemoryCharge(Loop.memory(), MemoryKind::Answers, Size));
  return Result;
}

void BackendConnection::skipResponse() {
  if (++SkippedResponses > MaxSkippedResponses)
    abortConnection("unreadable-answer");
}

void BackendConnection::finishResponse(bool MoreReceived) {
  const bool Persistent = Parser->keep_alive() &&
                          !isListedInConnectionHeader(Parser->get(), "close");
  ResponseMessage Response = Parser->release();
  Parser.reset();
  if (isInterimStatus(Response.result_int())) {
    skipResponse();
    return;
  }
  const std::string_view EchoedId =
      headerValue(Response, Protocol.RequestIdHeader);
  const bool NotRun = !headerValue(Response, Protocol.NotRunHeader).empty() ||
                      Response.result_int() == MisdirectedStatus;
  const bool Anonymous = EchoedId.empty() && NotRun;
  if (EchoedId != RequestId && !Anonymous) {
    // This is an extra answer to an earlier call. The answer to the current
    // call is still to come.
    NotReusable = true;
    skipResponse();
    return;
  }
  if (Anonymous && CallsStarted > 1) {
    // It may be a second copy of the answer to an earlier call, so the current
    // call may run.
    abortConnection("answer-without-id");
    return;
  }
  if (const auto Seconds = keepAliveTimeoutSeconds(Response))
    IdleTimeout = std::max(Duration{},
                           std::chrono::seconds(*Seconds) - IdleTimeoutMargin);
  if (NotRun)
    RefusedIds.push_back(RequestId);
  // Bytes after the answer belong to no call. On a connection that is used
  // again they would be taken for the answer to the next call.
  const bool Reuse = Persistent && !NotReusable && !MoreReceived &&
                     Transport->unsentBytes() == 0 && IdleTimeout.count() > 0 &&
                     RefusedIds.size() < MaxRefusedIds;
  AnswerCharge.resize(0);
  CallResult Result = toCallResult(std::move(Response));
  const std::uint64_t FinishedCall = ActiveCall;
  ActiveCall = 0;
  UnparsedBytes.clear();
  updateBufferedBytes();
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
  Parser.reset();
  UnparsedBytes.clear();
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

void BackendConnection::logEnd(const StreamEnd &End) const {
  const bool HeadReceived = Parser && Parser->is_header_done();
  LogLine Line("server-connection-ended", Loop.now());
  Line.field("request", RequestId)
      .field("server", Owner.serverId())
      .field("end",
             End.Reason == StreamCloseReason::Closed ? "closed" : "reset")
      .field("receive_errno", End.ReceiveError)
      .field("send_errno", End.SendError)
      .field("unsent_bytes", static_cast<std::int64_t>(End.UnsentBytes))
      .field("status", HeadReceived ? static_cast<std::int64_t>(
                                          Parser->get().result_int())
                                    : 0)
      .field("answer_bytes", static_cast<std::int64_t>(BufferedBytes))
      .field("framing", HeadReceived ? framingName(*Parser) : "none");
  Owner.Log.logRequest("server-connection-ended", std::move(Line), Loop.now());
}

void BackendConnection::onClosed(const StreamEnd &End) {
  if (ActiveCall != 0)
    logEnd(End);
  if (ActiveCall != 0 && Parser && End.Reason == StreamCloseReason::Closed) {
    // The end of the connection marks the end of an answer without a length.
    boost::system::error_code Error;
    Parser->put_eof(Error);
    if (!Error && Parser->is_done()) {
      NotReusable = true;
      finishResponse(false);
      if (ActiveCall == 0)
        return;
    }
  }
  abortConnection(Connected ? "server-connection-lost" : "server-unreachable");
}

} // namespace pollenwick::agent
