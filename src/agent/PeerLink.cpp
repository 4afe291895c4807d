#include "agent/PeerLink.h"

#include <utility>

#include "agent/PeerLinks.h"
#include "agent/StringUtil.h"

namespace pollenwick::agent {
namespace {

/// Time in ms after which a connection with unacknowledged sent bytes is
/// closed. It is long because a frozen peer answers once it resumes.
constexpr int UnacknowledgedTimeoutMs = 8000;

} // namespace

PeerLink::PeerLink(EventLoop &TheLoop, PeerLinks &TheLinks, std::string TheIp,
                   std::uint64_t TheLinkNumber)
    : Loop(TheLoop), Links(TheLinks), Ip(std::move(TheIp)),
      LinkNumber(TheLinkNumber), PeerLinkId{Ip, 0, 0},
      Reader(&TheLoop.memory()), LastReceivedAt(TheLoop.now()) {}

bool PeerLink::dial(const std::string &Address, const std::string &LocalIp) {
  Connection =
      connectStream(Loop, Address, *this, UnacknowledgedTimeoutMs, LocalIp);
  return Connection != nullptr;
}

void PeerLink::accept(const Poco::Net::StreamSocket &Socket) {
  Connection = std::make_shared<Stream>(Loop, Socket, *this, false);
  Connection->start();
  onConnected();
}

void PeerLink::onConnected() {
  Connected = true;
  WasConnected = true;
  LastReceivedAt = Loop.now();
  send(HelloFrame{Links.Incarnation, LinkNumber});
  Links.Handler.onPeerConnected(*this);
}

void PeerLink::send(const PeerFrame &Frame) {
  EncodedFrame Encoded = encodeFrame(Frame, Loop.now());
  Links.SentBytes[Frame.index()] += Encoded.size();
  Connection->send(std::move(Encoded.Begin));
  Connection->send(std::move(Encoded.Body));
  Connection->send(std::string_view(Encoded.End));
}

std::uint64_t PeerLink::call(CallRequest &&Request, CallResultHandler Done,
                             SilenceHandler OnSilence) {
  const std::uint64_t Id = ++Links.LastCallId;
  Outstanding.emplace(Id, OutstandingCall{std::move(Done), std::move(OnSilence),
                                          Request.Retryable, LinkNumber});
  send(CallFrame{Id, std::move(Request)});
  return Id;
}

bool PeerLink::cancel(std::uint64_t Id) {
  if (Outstanding.erase(Id) == 0)
    return false;
  if (!Closed)
    send(CancelFrame{Id});
  return true;
}

bool PeerLink::recall(std::uint64_t Id) {
  if (!Outstanding.contains(Id))
    return false;
  if (!Closed)
    send(RecallFrame{Id});
  return true;
}

void PeerLink::onData(std::string_view Bytes) {
  LastReceivedAt = Loop.now();
  const std::shared_ptr<PeerLink> Self = shared_from_this();
  const absl::Status Result =
      Reader.feed(Bytes, Loop.now(), [this](PeerFrame &&Frame) {
        if (!Closed)
          std::visit(
              [this](auto &&TypedFrame) {
                handle(std::forward<decltype(TypedFrame)>(TypedFrame));
              },
              std::move(Frame));
      });
  if (Result.ok()) {
    if (!Closed && !Reader.reserve())
      waitForRoom();
    return;
  }
  Links.Log.logStateChange(
      std::move(LogLine("peer-frame-unreadable", Loop.now())
                    .field("peer", Ip)
                    .field("error", toStdStringView(Result.message()))));
  close();
}

void PeerLink::waitForRoom() {
  Connection->pauseReading(true);
  Links.WaitingForRoom.add(weak_from_this(), [this] {
    if (Closed)
      return true;
    if (!Reader.reserve())
      return false;
    Connection->pauseReading(false);
    return true;
  });
}

void PeerLink::handle(HelloFrame &&Frame) {
  PeerLinkId.Incarnation = Frame.Incarnation;
  PeerLinkId.LinkNumber = Frame.LinkNumber;
  if (Links.Recovery.isFenced(PeerLinkId)) {
    close();
    return;
  }
  Links.resumeCallsOn(*this);
  Links.updateAvailability(Ip);
}

void PeerLink::handle(CallFrame &&Frame) {
  const bool Repeatable = Frame.Request.Retryable;
  const std::uint64_t CallNumber = Links.Handler.onPeerCall(
      std::move(Frame.Request),
      [&Owner = Links, From = PeerLinkId, Id = Frame.Id](CallResult &&Answer) {
        Owner.answerCall(From, Id, std::move(Answer));
      });
  recordCall(Ledger, Frame.Id, {CallNumber, Repeatable});
}

void PeerLink::handle(AnswerFrame &&Frame) {
  const auto Found = Outstanding.find(Frame.Id);
  if (Found == Outstanding.end())
    return;
  const CallResultHandler Done = std::move(Found->second.OnAnswer);
  Outstanding.erase(Found);
  Done(std::move(Frame.Answer));
}

void PeerLink::handle(CancelFrame &&Frame) {
  const auto Found = Ledger.RunningCalls.find(Frame.Id);
  if (Found == Ledger.RunningCalls.end())
    return;
  const std::uint64_t CallNumber = Found->second.LocalNumber;
  Ledger.RunningCalls.erase(Found);
  Links.Handler.onPeerCancel(CallNumber);
}

void PeerLink::handle(RecallFrame &&Frame) {
  const auto Found = Ledger.RunningCalls.find(Frame.Id);
  if (Found != Ledger.RunningCalls.end())
    Links.Handler.onPeerRecall(Found->second.LocalNumber);
}

void PeerLink::handle(StatusFrame &&Frame) {
  Links.Handler.onPeerStatus(Ip, std::move(Frame));
}

void PeerLink::handle(PullFrame &&Frame) {
  Links.Handler.onPeerPull(*this, Frame);
}

void PeerLink::handle(RecordsFrame &&Frame) {
  Links.Handler.onPeerRecords(Ip, std::move(Frame));
}

void PeerLink::handle(RelayedStatusFrame &&Frame) {
  absl::StatusOr<StatusFrame> Status = unpackStatus(Frame.Packed);
  if (!Status.ok()) {
    Links.Log.logStateChange(std::move(
        LogLine("peer-frame-unreadable", Loop.now())
            .field("peer", Ip)
            .field("error", toStdStringView(Status.status().message()))));
    close();
    return;
  }
  if (Frame.Origin.empty())
    Links.Handler.onStatusToRelay(Ip, Frame);
  Links.Handler.onPeerStatus(Frame.Origin.empty() ? Ip : Frame.Origin,
                             std::move(*Status));
}

void PeerLink::handle(ResumeFrame &&Frame) { Links.handleResume(*this, Frame); }

void PeerLink::sendAnswer(std::uint64_t Id, CallResult &&Answer) {
  // A kept answer is a second copy. Without it, the outcome of the call is
  // unknown if the connection is lost with the answer.
  const bool MustKeep = shouldKeepAnswer(Ledger, Id) &&
                        Answer.Body.size() < MaxKeptAnswerBytes &&
                        !(Answer.Body.isLarge() && Loop.memory().isShort());
  removeCall(Ledger, Id);
  const PeerFrame Frame = AnswerFrame{Id, std::move(Answer)};
  if (!MustKeep) {
    send(Frame);
    return;
  }
  std::string Bytes;
  encodeFrame(Frame, Loop.now(), Bytes);
  Links.SentBytes[Frame.index()] += Bytes.size();
  Connection->send(std::string_view(Bytes));
  keepAnswer(Ledger, Id, std::move(Bytes), Loop.now());
}

void PeerLink::reportSilence() {
  std::vector<SilenceHandler> Handlers;
  for (auto &[Id, Call] : Outstanding)
    if (Call.OnSilence)
      Handlers.push_back(std::exchange(Call.OnSilence, {}));
  for (const SilenceHandler &OnSilence : Handlers)
    OnSilence();
}

void PeerLink::close() {
  if (Closed)
    return;
  const std::shared_ptr<PeerLink> Self = shared_from_this();
  Closed = true;
  Connected = false;
  if (Connection)
    Connection->close();
  Links.onLinkLost(*this);
}

void PeerLink::onClosed(const StreamEnd & /*End*/) { close(); }

} // namespace pollenwick::agent
