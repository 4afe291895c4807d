#include "agent/PeerLinks.h"
#include "agent/Text.h"

#include <algorithm>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace pollenwick::agent {
namespace {

/// Sent bytes may stay unacknowledged for so long; a frozen peer answers when
/// it wakes up.
constexpr int UnansweredMs = 8000;
/// A link without a frame for so long gets no new calls: a status is due every
/// 250 ms.
constexpr Duration SilentAfter = std::chrono::milliseconds(800);
/// Calls that may be repeated are taken back from a link after this silence.
constexpr Duration ReleaseAfter = std::chrono::milliseconds(1100);
/// A link is given up after this silence: no call lives longer.
constexpr Duration DeadAfter = std::chrono::seconds(8);
constexpr Duration DialTimeout = std::chrono::milliseconds(1000);
/// The node with the higher address waits so long before it dials too.
constexpr Duration SecondDial = std::chrono::milliseconds(500);
constexpr int Backlog = 256;

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
  Sent.emplace(Id, SentCall{std::move(Done), Request.Repeatable});
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
  if (Links.Recovery.isFenced(PeerName))
    close();
  else
    Links.resumeOn(*this);
}

void PeerLink::take(CallFrame &&Frame) {
  const bool Repeatable = Frame.Request.Repeatable;
  const std::uint64_t CallNumber = Links.Events.onPeerCall(
      std::move(Frame.Request),
      [&Owner = Links, From = PeerName, Id = Frame.Id](CallAnswer &&Answer) {
        Owner.answerCall(From, Id, std::move(Answer));
      });
  receiveCall(Ledger, Frame.Id, {CallNumber, Repeatable});
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
  const auto Found = Ledger.Running.find(Frame.Id);
  if (Found == Ledger.Running.end())
    return;
  const std::uint64_t CallNumber = Found->second.Number;
  Ledger.Running.erase(Found);
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
  const bool Keep = keepsAnswer(Ledger, Id);
  endCall(Ledger, Id);
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

PeerLinks::PeerLinks(EventLoop &TheLoop, LogWriter &TheLog,
                     PeerEvents &TheEvents, const std::string &ListenAddress,
                     std::uint64_t TheStart)
    : Loop(TheLoop), Log(TheLog), Events(TheEvents), Start(TheStart) {
  const Poco::Net::SocketAddress Address(ListenAddress);
  OwnIp = Address.host().toString();
  Port = Address.port();
  Listener.bind(Address, true);
  Listener.listen(Backlog);
  Listener.setBlocking(false);
  Loop.watch(Listener.impl()->sockfd(), *this);
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::onReady(const Readiness & /*State*/) {
  try {
    while (true) {
      Poco::Net::SocketAddress From;
      Poco::Net::StreamSocket Socket = Listener.acceptConnection(From);
      Socket.setBlocking(false);
      Socket.setNoDelay(true);
      addLink(From.host().toString())->accept(Socket);
    }
  } catch (const Poco::Exception &) {
    // No further connection waits.
  }
}

void PeerLinks::setPeers(const std::set<std::string> &Ips) {
  Wanted = Ips;
  Wanted.erase(OwnIp);
  tick();
}

std::shared_ptr<PeerLink> PeerLinks::addLink(const std::string &Ip) {
  auto Link = std::make_shared<PeerLink>(Loop, *this, Ip, ++LastLink);
  ByIp[Ip].push_back(Link);
  return Link;
}

void PeerLinks::dial(const std::string &Ip) {
  const std::shared_ptr<PeerLink> Link = addLink(Ip);
  if (!Link->dial(Ip + ":" + std::to_string(Port)))
    Link->close();
}

bool PeerLinks::isSilent(const PeerLink &Link) const {
  return Link.connected() && Loop.now() - Link.lastHeard() >= SilentAfter;
}

bool PeerLinks::isLive(const PeerLink &Link) const {
  // The system accepts connections for a process that is frozen: only its
  // greeting shows that the peer is there.
  return Link.connected() && Link.PeerName.Start != 0 && !isSilent(Link);
}

PeerLink *PeerLinks::find(const std::string &Ip) {
  const auto Found = ByIp.find(Ip);
  if (Found == ByIp.end())
    return nullptr;
  const auto Live = std::ranges::find_if(
      Found->second, [this](const auto &Link) { return isLive(*Link); });
  return Live == Found->second.end() ? nullptr : Live->get();
}

void PeerLinks::cancel(const std::string &Ip, std::uint64_t Id) {
  if (Recovery.cancelOrphan(Ip, Id))
    return;
  const auto Found = ByIp.find(Ip);
  if (Found == ByIp.end())
    return;
  for (const std::shared_ptr<PeerLink> &Link : Found->second)
    if (Link->cancel(Id))
      return;
}

void PeerLinks::broadcast(const PeerFrame &Frame) {
  std::string Bytes;
  encodeFrame(Frame, Loop.now(), Bytes);
  for (const auto &[Ip, Links] : ByIp)
    for (const std::shared_ptr<PeerLink> &Link : Links)
      if (Link->connected())
        Link->Connection->send(std::string_view(Bytes));
}

void PeerLinks::onLinkLost(PeerLink &Link) {
  const std::string Ip = Link.Ip;
  const bool Unfinished = !Link.Sent.empty() || !Link.Ledger.Running.empty();
  Recovery.addOrphans(Ip, {Link.Number, Loop.now(), std::move(Link.Sent)});
  Link.Sent.clear();
  if (Link.PeerName.Start != 0)
    Recovery.keepLedger(Link.PeerName, std::move(Link.Ledger), Loop.now());
  drop(Link);
  if (PeerLink *Other = find(Ip)) {
    resumeOn(*Other);
  } else if (!Link.WasConnected) {
    // A peer that takes no connection has ended, and its calls with it.
    failOrphans(Ip);
    cancelRunning(Recovery.takeRunning(Ip));
  } else if (Unfinished) {
    dial(Ip);
  }
}

void PeerLinks::resumeOn(PeerLink &Link) {
  std::vector<std::shared_ptr<PeerLink>> Silent;
  std::ranges::copy_if(ByIp[Link.Ip], std::back_inserter(Silent),
                       [this](const auto &Other) { return isSilent(*Other); });
  for (const std::shared_ptr<PeerLink> &Other : Silent)
    Other->close();
  for (LinkRecovery::Orphans &Group : Recovery.takeOrphans(Link.Ip)) {
    ResumeFrame Frame{Group.LinkNumber, {}};
    for (auto &[Id, Call] : Group.Calls) {
      Frame.Calls.push_back(Id);
      Link.Sent.emplace(Id, std::move(Call));
    }
    Link.send(Frame);
  }
}

void PeerLinks::takeUp(PeerLink &Link, const ResumeFrame &Frame) {
  LinkName Lost = Link.PeerName;
  Lost.Number = Frame.Link;
  // The peer has given the connection up, although it may still be open here.
  const std::vector<std::shared_ptr<PeerLink>> All = ByIp[Link.Ip];
  for (const std::shared_ptr<PeerLink> &Other : All)
    if (Other.get() != &Link && Other->PeerName == Lost)
      Other->close();
  std::optional<CallLedger> Ledger = Recovery.takeLedger(Lost);
  const std::vector<CallFate> Fates = resumeCalls(
      Ledger ? &*Ledger : nullptr, Link.Ledger, Frame.Calls, Loop.now());
  for (std::size_t I = 0; I < Fates.size(); ++I)
    tellFate(Link, Frame.Calls[I], Fates[I]);
  // The sender no longer waits for the others.
  if (Ledger)
    for (const auto &[Id, Call] : Ledger->Running)
      Events.onPeerCancel(Call.Number);
}

void PeerLinks::tellFate(PeerLink &Link, std::uint64_t Id, CallFate Fate) {
  if (Fate == CallFate::Running)
    return;
  if (Fate == CallFate::Answered) {
    Link.Connection->send(std::string_view(*heldAnswer(Link.Ledger, Id)));
    return;
  }
  CallAnswer Answer;
  Answer.Cause = "peer-connection-lost";
  Answer.Arrived = Fate != CallFate::NeverReceived;
  if (Fate == CallFate::NeverReceived)
    Answer.Outcome = CallOutcome::NotRun;
  Link.answer(Id, std::move(Answer));
}

void PeerLinks::answerCall(const LinkName &From, std::uint64_t Id,
                           CallAnswer &&Answer) {
  const auto Found = ByIp.find(From.Ip);
  if (Found != ByIp.end())
    for (const std::shared_ptr<PeerLink> &Link : Found->second)
      if (Link->PeerName.Start == From.Start &&
          Link->Ledger.Running.contains(Id)) {
        Link->answer(Id, std::move(Answer));
        return;
      }
  if (CallLedger *Ledger = Recovery.findRunning(From.Ip, From.Start, Id)) {
    std::string Bytes;
    encodeFrame(AnswerFrame{Id, std::move(Answer)}, Loop.now(), Bytes);
    endCall(*Ledger, Id);
    keepAnswer(*Ledger, Id, std::move(Bytes), Loop.now());
  }
}

void PeerLinks::fail(std::vector<SentCall> &&Calls) {
  // Whatever was written to a connection may have arrived and run.
  for (const SentCall &Call : Calls) {
    CallAnswer Answer;
    Answer.Cause = "peer-connection-lost";
    Answer.Arrived = true;
    Call.Done(std::move(Answer));
  }
}

void PeerLinks::failOrphans(const std::string &Ip) {
  std::vector<SentCall> Calls;
  for (LinkRecovery::Orphans &Group : Recovery.takeOrphans(Ip))
    for (auto &[Id, Call] : Group.Calls)
      Calls.push_back(std::move(Call));
  fail(std::move(Calls));
}

void PeerLinks::cancelRunning(const std::vector<std::uint64_t> &Numbers) {
  for (const std::uint64_t Number : Numbers)
    Events.onPeerCancel(Number);
}

void PeerLinks::tick() {
  giveUpDead();
  fail(Recovery.takeExpired(Loop.now()));
  cancelRunning(Recovery.expireLedgers(Loop.now()));
  dialMissing();
}

void PeerLinks::giveUpDead() {
  std::vector<std::shared_ptr<PeerLink>> Dead;
  std::vector<std::shared_ptr<PeerLink>> Silent;
  for (const auto &[Ip, Links] : ByIp)
    for (const std::shared_ptr<PeerLink> &Link : Links) {
      const Duration Quiet = Loop.now() - Link->lastHeard();
      forgetAnswers(Link->Ledger, Loop.now());
      if (Quiet > (Link->connected() ? DeadAfter : DialTimeout))
        Dead.push_back(Link);
      else if (Link->connected() && Quiet > ReleaseAfter)
        Silent.push_back(Link);
    }
  for (const std::shared_ptr<PeerLink> &Link : Silent)
    Link->releaseRepeatable();
  for (const std::shared_ptr<PeerLink> &Link : Dead)
    Link->close();
}

void PeerLinks::dialMissing() {
  for (const std::string &Ip : Wanted) {
    const bool Dialing =
        ByIp.contains(Ip) &&
        std::ranges::any_of(ByIp[Ip], [this](const auto &Link) {
          return Link->PeerName.Start == 0 &&
                 Loop.now() - Link->lastHeard() < DialTimeout;
        });
    if (find(Ip) || Dialing) {
      MissingSince.erase(Ip);
      continue;
    }
    const Instant Since =
        MissingSince.try_emplace(Ip, Loop.now()).first->second;
    if (OwnIp < Ip || Loop.now() - Since >= SecondDial)
      dial(Ip);
  }
}

void PeerLinks::drop(PeerLink &Link) {
  const auto Found = ByIp.find(Link.ip());
  if (Found == ByIp.end())
    return;
  const auto It = std::ranges::find_if(
      Found->second, [&](const auto &Item) { return Item.get() == &Link; });
  if (It == Found->second.end())
    return;
  Loop.retire(*It);
  Found->second.erase(It);
  if (Found->second.empty())
    ByIp.erase(Found);
}

void PeerLinks::shutDown() {
  Loop.unwatch(Listener.impl()->sockfd());
  Listener.close();
}

std::size_t PeerLinks::connectedCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(ByIp, [](const auto &Entry) {
        return std::ranges::any_of(
            Entry.second, [](const auto &Link) { return Link->connected(); });
      }));
}

} // namespace pollenwick::agent
