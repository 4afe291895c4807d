#include "agent/CallerConnection.h"

#include <algorithm>
#include <utility>

#include "agent/Call.h"
#include "agent/CallerListener.h"
#include "agent/Framing.h"

namespace pollenwick::agent {
namespace {

/// A connection is closed when its caller has not read the whole answer within
/// this time.
constexpr Duration ResponseReadTimeout = std::chrono::seconds(20);
/// Bytes that are received within this time share one entry in `ReceiptTimes`,
/// which bounds the number of entries.
constexpr Duration ReceiptTimeResolution = std::chrono::milliseconds(10);
/// A caller that never reads all responses must not make the list grow.
constexpr std::size_t MaxRespondedIds = 64;
/// Limit on an incomplete line beyond the limit on the header. The parser has
/// none for the line of a chunk size.
constexpr std::size_t MaxLineExcessBytes = 1024;
/// Capacity that an input buffer keeps.
constexpr std::size_t KeptInputBytes = std::size_t{8} * 1024;
/// The header is held as text and as fields, which have pointers of their own.
constexpr std::size_t MemoryPerHeaderByte = 3;

} // namespace

CallerConnection::CallerConnection(EventLoop &TheLoop, CallerListener &ThePort,
                                   std::string TheCallerIp)
    : Loop(TheLoop), Port(ThePort), CallerIp(std::move(TheCallerIp)),
      InputCharge(TheLoop.memory(), MemoryKind::Incoming),
      LastActivity(TheLoop.now()) {}

void CallerConnection::start(const Poco::Net::StreamSocket &Socket) {
  Transport = std::make_shared<Stream>(Loop, Socket, *this, false);
  Transport->start();
}

void CallerConnection::onData(std::string_view Bytes) {
  if (Closing)
    return;
  recordReceipt(Bytes.size());
  if (Parser)
    Progress.Bytes += Bytes.size();
  UnparsedBytes.append(Bytes);
  parse();
}

void CallerConnection::recordReceipt(std::size_t Bytes) {
  const std::uint64_t End = ParsedOffset + UnparsedBytes.size() + Bytes;
  if (!ReceiptTimes.empty() &&
      Loop.now() - ReceiptTimes.back().At < ReceiptTimeResolution)
    ReceiptTimes.back().EndOffset = End;
  else
    ReceiptTimes.push_back({End, Loop.now()});
}

bool CallerConnection::acceptsRequest() const {
  if (Closing || HeldRequest)
    return false;
  if (Outstanding.empty())
    return true;
  // After a request with `Connection: close` the caller can expect no further
  // response.
  return Outstanding.back().KeepAlive &&
         Outstanding.size() < Port.pipelineLimits().MaxRequests;
}

void CallerConnection::beginRequest() {
  while (!ReceiptTimes.empty() &&
         ReceiptTimes.front().EndOffset <= ParsedOffset)
    ReceiptTimes.pop_front();
  RequestFirstByteAt =
      ReceiptTimes.empty() ? Loop.now() : ReceiptTimes.front().At;
  LastActivity = Loop.now();
  RequestOffset = ParsedOffset;
  Progress = {Loop.now(), 0};
  ContinueSent = false;
  FramingChecked = false;
  Parser.emplace();
  Parser->header_limit(
      static_cast<std::uint32_t>(Port.limits().MaxHeaderBytes));
  Parser->body_limit(Port.limits().MaxBodyBytes);
}

void CallerConnection::parse() {
  // A request that is answered at once ends in `sendReadyResponses`, which must
  // not parse the next one on top of this call.
  if (Parsing)
    return;
  Parsing = true;
  parseRequests();
  Parsing = false;
  // An idle connection must not keep the room of its last request.
  if (UnparsedBytes.capacity() > KeptInputBytes &&
      UnparsedBytes.size() < UnparsedBytes.capacity() / 2)
    UnparsedBytes.shrink_to_fit();
  reserveMemory();
  updateReading();
  if (acceptsRequest() &&
      UnparsedBytes.size() > Port.limits().MaxHeaderBytes + MaxLineExcessBytes)
    reject(400, "unreadable-request");
}

void CallerConnection::parseRequests() {
  while (acceptsRequest() && !UnparsedBytes.empty()) {
    if (!Parser)
      beginRequest();
    boost::system::error_code Error;
    const std::size_t BytesParsed = Parser->parse(UnparsedBytes, Error);
    if (Error) {
      if (Error == http::error::header_limit)
        reject(431, "header-too-large");
      else if (Error == http::error::body_limit)
        reject(413, "body-too-large");
      else
        reject(400, "unreadable-request");
      return;
    }
    UnparsedBytes.erase(0, BytesParsed);
    ParsedOffset += BytesParsed;
    if (!acceptsFraming())
      return;
    if (Parser->is_done()) {
      finishRequest();
      continue;
    }
    sendContinueIfDue();
    if (BytesParsed == 0)
      return;
  }
}

bool CallerConnection::acceptsFraming() {
  if (FramingChecked || !Parser->is_header_done())
    return true;
  FramingChecked = true;
  switch (checkFraming(Parser->get(), Parser->get().version())) {
  case Framing::Valid:
    return true;
  case Framing::Malformed:
    reject(400, "unreadable-request");
    return false;
  case Framing::UnknownCoding:
    reject(501, "unknown-transfer-coding");
    return false;
  }
  return false;
}

void CallerConnection::sendContinueIfDue() {
  if (ContinueSent || !Parser || !Parser->is_header_done() || busy() ||
      Parser->get()[http::field::expect] != "100-continue")
    return;
  ContinueSent = true;
  Transport->send(std::string_view("HTTP/1.1 100 Continue\r\n\r\n"));
}

void CallerConnection::finishRequest() {
  const bool KeepAlive = Parser->keep_alive() &&
                         !isListedInConnectionHeader(Parser->get(), "close");
  auto Message = Parser->release();
  Parser.reset();
  const std::size_t BodyBytes = Message.body().size();
  const std::uint64_t HeaderBytes =
      ParsedOffset - RequestOffset -
      std::min<std::uint64_t>(ParsedOffset - RequestOffset, BodyBytes);
  CallerRequest Request;
  Request.Number = Port.newRequestNumber();
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  Request.HttpVersion = Message.version();
  // What was reserved for the body becomes its own charge.
  InputCharge.resize(0);
  Request.Body =
      SharedBytes(std::move(Message.body()),
                  MemoryCharge(Loop.memory(), MemoryKind::Requests, BodyBytes));
  // The framing of chunks is not held.
  Request.HeaderCharge = MemoryCharge(
      Loop.memory(), MemoryKind::Requests,
      MemoryPerHeaderByte * static_cast<std::size_t>(std::min<std::uint64_t>(
                                HeaderBytes, Port.limits().MaxHeaderBytes)));
  Request.Headers = std::move(Message.base());
  Request.CallerIp = CallerIp;
  Request.FirstByteAt = RequestFirstByteAt;
  if (!Loop.memory().hasRoom(MemoryUse::Small, 0)) {
    rejectForMemory(503, "memory-short");
    return;
  }
  if (busy() && !Port.Handler.mayOverlap(Request)) {
    HeldRequest = std::move(Request);
    HeldRequestKeepsAlive = KeepAlive;
    return;
  }
  startRequest(std::move(Request), KeepAlive);
}

void CallerConnection::startRequest(CallerRequest &&Request, bool KeepAlive) {
  Outstanding.push_back({Request.Number, KeepAlive, Request.Method == "HEAD",
                         Request.HttpVersion < Http11,
                         Port.Handler.requestId(Request.Headers),
                         std::nullopt});
  Port.Handler.onRequest(shared_from_this(), std::move(Request));
}

void CallerConnection::startHeldRequest() {
  if (!HeldRequest || busy() || Closing)
    return;
  CallerRequest Request = std::move(*HeldRequest);
  HeldRequest.reset();
  startRequest(std::move(Request), HeldRequestKeepsAlive);
}

bool CallerConnection::closesAfterFirst() const {
  if (!Outstanding.front().KeepAlive)
    return true;
  // During a drain the last response closes the connection. A request that was
  // received behind it gets a response of its own.
  return Port.draining() && Outstanding.size() == 1 && !hasUnfinishedInput();
}

void CallerConnection::respond(CallerRequestNumber Number,
                               CallerResponse &&Response) {
  if (Transport->closed())
    return;
  const auto Found =
      std::ranges::find(Outstanding, Number, &OutstandingRequest::Number);
  if (Found == Outstanding.end())
    return;
  Found->Response = std::move(Response);
  sendReadyResponses();
}

void CallerConnection::send(const OutstandingRequest &Request,
                            bool CloseAfterwards) {
  const CallerResponse &Response = *Request.Response;
  const ResponseFraming Framing{Request.ToHead, CloseAfterwards,
                                Request.ToHttp10};
  std::string Message = responseHead(Response, Framing);
  const bool SendBody = sendsBody(Response, Framing);
  if (SendBody && !Response.Body.isLarge())
    Message.append(Response.Body.view());
  Transport->send(std::move(Message));
  if (SendBody && Response.Body.isLarge())
    Transport->send(SharedBytes(Response.Body));
}

void CallerConnection::sendReadyResponses() {
  while (!Outstanding.empty() && Outstanding.front().Response) {
    // What a response says of its connection must hold, so this is asked only
    // now, when the order of the responses is known, and acted on at once.
    const bool Close = closesAfterFirst();
    // A caller that asked for the close sends nothing more.
    const CloseMode Mode =
        Outstanding.front().KeepAlive || !UnparsedBytes.empty()
            ? CloseMode::Linger
            : CloseMode::Immediate;
    send(Outstanding.front(), Close);
    if (!Parser)
      Progress = {Loop.now(), Transport->unsentBytes()};
    RespondedIds.push_back(std::move(Outstanding.front().RequestId));
    if (RespondedIds.size() > MaxRespondedIds)
      RespondedIds.erase(RespondedIds.begin());
    Outstanding.pop_front();
    LastActivity = Loop.now();
    if (Close) {
      closeAfterResponse(Mode);
      return;
    }
  }
  startHeldRequest();
  sendContinueIfDue();
  parse();
}

void CallerConnection::reject(int Status, std::string_view Cause,
                              std::string_view ExtraHeaders) {
  // The rest of the request may still arrive, so the close must not reset the
  // connection: `sendReadyResponses` lingers while bytes are left.
  const bool ToHead = Parser && Parser->get().method() == http::verb::head;
  Parser.reset();
  RoomAwaitedSince.reset();
  InputCharge.resize(UnparsedBytes.size());
  Outstanding.push_back({Port.newRequestNumber(), false, ToHead, false, "",
                         makeLocalReply(Status, Cause, ExtraHeaders)});
  sendReadyResponses();
}

void CallerConnection::closeAfterResponse(CloseMode Mode) {
  Closing = true;
  Outstanding.clear();
  HeldRequest.reset();
  releaseInput();
  Transport->closeWhenFlushed(Mode);
  Port.removeConnection(*this);
}

void CallerConnection::close() {
  releaseInput();
  Transport->close();
  Port.removeConnection(*this);
}

void CallerConnection::onClosed(const StreamEnd & /*End*/) {
  const std::shared_ptr<CallerConnection> Self = shared_from_this();
  const std::deque<OutstandingRequest> Abandoned =
      std::exchange(Outstanding, {});
  HeldRequest.reset();
  close();
  for (const OutstandingRequest &Request : Abandoned)
    if (!Request.Response)
      Port.Handler.onCallerDisconnected(Request.Number);
}

void CallerConnection::drain() {
  if (idle())
    // A request may have arrived in this turn of the loop.
    Transport->readAvailable();
  if (idle() && !Transport->closed())
    closeAfterResponse(CloseMode::Linger);
}

void CallerConnection::onFlushed() {
  LastActivity = Loop.now();
  RespondedIds.clear();
}

std::vector<std::string> CallerConnection::unsentResponses() const {
  if (!hasUnsentBytes())
    return {};
  return RespondedIds;
}

void CallerConnection::refuseUnfinishedInput() {
  if (!Parser || Closing || Transport->closed())
    return;
  Port.Handler.onUnfinishedRequest(Parser->get().base());
  reject(503, NodeStoppingCause, retryAfterHeader(RetryAfterStop));
}

void CallerConnection::enforceTimeouts(Instant Now,
                                       const CallerLimits &Limits) {
  if (abandonStalled(Now, Limits) || busy())
    return;
  const Duration SinceActivity = Now - LastActivity;
  if (hasUnsentBytes()) {
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

} // namespace pollenwick::agent
