#include "agent/PeerLink.h"

#include <utility>

#include "agent/PeerLinks.h"
#include "agent/Text.h"

namespace pollenwick::agent {
namespace {

/// Sent bytes may stay unacknowledged for so long; a frozen peer answers when
/// it wakes up.
constexpr int UnansweredMs = 8000;

} // namespace

PeerLink::PeerLink(EventLoop &TheLoop, PeerLinks &TheLinks, std::string TheIp,
                   std::uint64_t TheNumber)
    : Loop(TheLoop), Links(TheLinks), Ip(std::move(TheIp)),
      Number(TheNumber), PeerName{Ip, 0, 0}, Heard(TheLoop.now()) {}

bool PeerLink::dial(const std::string &Address) {
  Connection = connectStream(Loop, Address, *this, UnansweredMs);
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
  Heard = Loop.now();
  send(HelloFrame{Links.Start, Number});
  Links.Events.onPeerConnected(*this);
}

void PeerLink::send(const PeerFrame &Frame) {
  std::string Bytes;
  encodeFrame(Frame, Loop.now(), Bytes);
  Connection->send(std::move(Bytes));
}

std::uint64_t PeerLink::call(CallRequest &&Request, AnswerHandler Done) {
  const std::uint64_t Id = ++Links.LastCall;
  Sent.emplace(Id, SentCall{std::move(Done), Request.Repeatable, Number});
  send(CallFrame{Id, std::move(Request)});
  return Id;
}

bool PeerLink::cancel(std::uint64_t Id) {
  if (Sent.erase(Id) == 0)
    return false;
  if (!Closed)
    send(CancelFrame{Id});
  return true;
}

void PeerLink::onData(std::string_view Bytes) {
  Heard = Loop.now();
  const std::shared_ptr<PeerLink> Self = shared_from_this();
  const absl::Status Result =
      Reader.feed(Bytes, Loop.now(), [this](PeerFrame &&Frame) {
        if (!Closed)
          std::visit(
              [this](auto &&Kind) { take(std::forward<decltype(Kind)>(Kind)); },
              std::move(Frame));
      });
  if (Result.ok())
    return;
  Links.Log.state(
      std::move(LogLine("peer-frame-unreadable", Loop.now())
                    .field("peer", Ip)
                    .field("error", standardView(Result.message()))));
  close();
}

void PeerLink::take(HelloFrame &&Frame) {
  PeerName.Start = Frame.Start;
  PeerName.Number = Frame.Link;
  if (Links.Recovery.isFenced(PeerName)) {
    close();
    return;
  }
  Links.resumeOn(*this);
  Links.notePresence(Ip);
}

void PeerLink::take(CallFrame &&Frame) {
  const bool Repeatable = Frame.Request.Repeatable;
  const std::uint64_t CallNumber = Links.Events.onPeerCall(
      std::move(Frame.Request),
      [&Owner = Links, From = PeerName, Id = Frame.Id](CallAnswer &&Answer) {
        Owner.answerCall(From, Id, std::move(Answer));
      });
  recordCall(Ledger, Frame.Id, {CallNumber, Repeatable});
}

void PeerLink::take(AnswerFrame &&Frame) {
  const auto Found = Sent.find(Frame.Id);
  if (Found == Sent.end())
    return;
  const AnswerHandler Done = std::move(Found->second.Done);
  Sent.erase(Found);
  Done(std::move(Frame.Answer));
}

void PeerLink::take(CancelFrame &&Frame) {
  const auto Found = Ledger.RunningCalls.find(Frame.Id);
  if (Found == Ledger.RunningCalls.end())
    return;
  const std::uint64_t CallNumber = Found->second.LocalNumber;
  Ledger.RunningCalls.erase(Found);
  Links.Events.onPeerCancel(CallNumber);
}

void PeerLink::take(StatusFrame &&Frame) {
  Links.Events.onPeerStatus(Ip, std::move(Frame));
}

void PeerLink::take(PullFrame &&Frame) {
  Links.Events.onPeerPull(*this, Frame);
}

void PeerLink::take(RecordsFrame &&Frame) {
  Links.Events.onPeerRecords(std::move(Frame));
}

void PeerLink::take(ResumeFrame &&Frame) { Links.takeUp(*this, Frame); }

void PeerLink::answer(std::uint64_t Id, CallAnswer &&Answer) {
  const bool Keep = shouldKeepAnswer(Ledger, Id);
  removeCall(Ledger, Id);
  std::string Bytes;
  encodeFrame(AnswerFrame{Id, std::move(Answer)}, Loop.now(), Bytes);
  if (!Keep) {
    Connection->send(std::move(Bytes));
    return;
  }
  Connection->send(std::string_view(Bytes));
  keepAnswer(Ledger, Id, std::move(Bytes), Loop.now());
}

void PeerLink::releaseRepeatable() {
  std::vector<SentCall> Released;
  std::vector<std::uint64_t> Ids;
  for (auto &[Id, Call] : Sent)
    if (Call.Repeatable) {
      Ids.push_back(Id);
      Released.push_back(std::move(Call));
    }
  for (const std::uint64_t Id : Ids)
    cancel(Id);
  for (const SentCall &Call : Released) {
    CallAnswer Answer;
    Answer.Cause = "peer-silent";
    Answer.Arrived = true;
    Call.Done(std::move(Answer));
  }
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

void PeerLink::onEnd(StreamEnd /*End*/) { close(); }

} // namespace pollenwick::agent
