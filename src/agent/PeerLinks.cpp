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

PeerLink::PeerLink(EventLoop &TheLoop, PeerLinks &TheLinks, std::string TheIp)
    : Loop(TheLoop), Links(TheLinks), Ip(std::move(TheIp)),
      Heard(TheLoop.now()), Began(TheLoop.now()) {}

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
  Heard = Loop.now();
  Links.Events.onPeerConnected(*this);
}

void PeerLink::send(const PeerFrame &Frame) {
  std::string Bytes;
  encodeFrame(Frame, Loop.now(), Bytes);
  Connection->send(std::move(Bytes));
}

std::uint64_t PeerLink::call(CallRequest &&Request, AnswerHandler Done) {
  const std::uint64_t Id = ++LastId;
  Sent.emplace(Id, SentCall{std::move(Done), Request.Repeatable});
  send(CallFrame{Id, std::move(Request)});
  return Id;
}

void PeerLink::cancel(std::uint64_t Id) {
  if (Sent.erase(Id) > 0 && !Closed)
    send(CancelFrame{Id});
}

void PeerLink::onData(std::string_view Bytes) {
  Heard = Loop.now();
  const std::shared_ptr<PeerLink> Self = shared_from_this();
  const absl::Status Result =
      Reader.feed(Bytes, Loop.now(), [this](PeerFrame &&Frame) {
        if (Closed)
          return;
        if (auto *Call = std::get_if<CallFrame>(&Frame)) {
          const std::uint64_t Id = Call->Id;
          const std::uint64_t Number = Links.Events.onPeerCall(
              std::move(Call->Request),
              [Weak = weak_from_this(), Id](CallAnswer &&Answer) {
                const auto Link = Weak.lock();
                if (!Link || Link->Closed)
                  return;
                Link->Received.erase(Id);
                Link->send(AnswerFrame{Id, std::move(Answer)});
              });
          Received.emplace(Id, Number);
        } else if (auto *Answer = std::get_if<AnswerFrame>(&Frame)) {
          const auto Found = Sent.find(Answer->Id);
          if (Found == Sent.end())
            return;
          const AnswerHandler Done = std::move(Found->second.Done);
          Sent.erase(Found);
          Done(std::move(Answer->Answer));
        } else if (auto *Cancel = std::get_if<CancelFrame>(&Frame)) {
          const auto Found = Received.find(Cancel->Id);
          if (Found == Received.end())
            return;
          const std::uint64_t Number = Found->second;
          Received.erase(Found);
          Links.Events.onPeerCancel(Number);
        } else if (auto *Status = std::get_if<StatusFrame>(&Frame)) {
          Links.Events.onPeerStatus(Ip, std::move(*Status));
        } else if (auto *Pull = std::get_if<PullFrame>(&Frame)) {
          Links.Events.onPeerPull(*this, *Pull);
        } else if (auto *Records = std::get_if<RecordsFrame>(&Frame)) {
          Links.Events.onPeerRecords(std::move(*Records));
        }
      });
  if (Result.ok())
    return;
  Links.Log.state(
      std::move(LogLine("peer-frame-unreadable", Loop.now())
                    .field("peer", Ip)
                    .field("error", standardView(Result.message()))));
  close();
  Links.drop(*this);
}

void PeerLink::failAll(const std::string &Cause) {
  // Whatever was written to the connection may have arrived and run.
  std::vector<AnswerHandler> Handlers;
  for (auto &[Id, Call] : Sent)
    Handlers.push_back(std::move(Call.Done));
  Sent.clear();
  for (const AnswerHandler &Done : Handlers) {
    CallAnswer Answer;
    Answer.Cause = Cause;
    Answer.Arrived = true;
    Done(std::move(Answer));
  }
  std::vector<std::uint64_t> Numbers;
  for (const auto &[Id, Number] : Received)
    Numbers.push_back(Number);
  Received.clear();
  for (const std::uint64_t Number : Numbers)
    Links.Events.onPeerCancel(Number);
}

void PeerLink::releaseRepeatable() {
  std::vector<std::pair<std::uint64_t, AnswerHandler>> Released;
  for (auto &[Id, Call] : Sent)
    if (Call.Repeatable)
      Released.emplace_back(Id, std::move(Call.Done));
  for (auto &[Id, Done] : Released) {
    cancel(Id);
    CallAnswer Answer;
    Answer.Cause = "peer-silent";
    Answer.Arrived = true;
    Done(std::move(Answer));
  }
}

void PeerLink::close() {
  if (Closed)
    return;
  Closed = true;
  Connected = false;
  if (Connection)
    Connection->close();
  failAll("peer-connection-lost");
}

void PeerLink::onEnd(StreamEnd /*End*/) {
  close();
  Links.drop(*this);
}

PeerLinks::PeerLinks(EventLoop &TheLoop, LogWriter &TheLog,
                     PeerEvents &TheEvents, const std::string &ListenAddress)
    : Loop(TheLoop), Log(TheLog), Events(TheEvents) {
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
      auto Link =
          std::make_shared<PeerLink>(Loop, *this, From.host().toString());
      ByIp[Link->ip()].push_back(Link);
      Link->accept(Socket);
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

void PeerLinks::dial(const std::string &Ip) {
  auto Link = std::make_shared<PeerLink>(Loop, *this, Ip);
  if (!Link->dial(Ip + ":" + std::to_string(Port)))
    return;
  ByIp[Ip].push_back(std::move(Link));
}

PeerLink *PeerLinks::find(const std::string &Ip) {
  const auto Found = ByIp.find(Ip);
  if (Found == ByIp.end())
    return nullptr;
  for (const std::shared_ptr<PeerLink> &Link : Found->second)
    if (Link->connected() && Loop.now() - Link->lastHeard() < SilentAfter)
      return Link.get();
  return nullptr;
}

void PeerLinks::broadcast(const PeerFrame &Frame) {
  std::string Bytes;
  encodeFrame(Frame, Loop.now(), Bytes);
  for (const auto &[Ip, Links] : ByIp)
    for (const std::shared_ptr<PeerLink> &Link : Links)
      if (Link->connected())
        Link->Connection->send(std::string_view(Bytes));
}

void PeerLinks::tick() {
  std::vector<std::shared_ptr<PeerLink>> Dead;
  for (const auto &[Ip, Links] : ByIp)
    for (const std::shared_ptr<PeerLink> &Link : Links) {
      const Duration Silent = Loop.now() - Link->lastHeard();
      if (Link->connected() ? Silent > DeadAfter : Silent > DialTimeout)
        Dead.push_back(Link);
      else if (Link->connected() && Silent > ReleaseAfter)
        Link->releaseRepeatable();
    }
  for (const std::shared_ptr<PeerLink> &Link : Dead) {
    Link->close();
    drop(*Link);
  }
  for (const std::string &Ip : Wanted) {
    const bool Dialing = ByIp.contains(Ip) &&
                         std::ranges::any_of(ByIp[Ip], [](const auto &Link) {
                           return !Link->connected();
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
