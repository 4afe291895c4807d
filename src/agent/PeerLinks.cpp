#include "agent/PeerLinks.h"
#include "agent/Text.h"

#include <algorithm>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace pollenwick::agent {
namespace {

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
/// Connections that are lost one after the other before their calls end. What
/// was asked on older ones counts as unknown.
constexpr std::size_t LargestResumedFrom = 16;

void noteResumed(std::vector<std::uint64_t> &Known,
                 const std::vector<std::uint64_t> &Links) {
  std::ranges::copy(Links, std::back_inserter(Known));
  if (Known.size() > LargestResumedFrom)
    Known.erase(Known.begin(), Known.end() - LargestResumedFrom);
}

} // namespace

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
  std::erase_if(Present, [this](const auto &Entry) {
    return !Wanted.contains(Entry.first);
  });
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
  const bool Unfinished =
      !Link.Sent.empty() || !Link.Ledger.RunningCalls.empty();
  Link.ResumedFrom.push_back(Link.Number);
  Recovery.addOrphans(Ip, {std::move(Link.ResumedFrom), Loop.now(),
                           std::exchange(Link.Sent, {})});
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
  ResumeFrame Frame;
  for (LinkRecovery::Orphans &Group : Recovery.takeOrphans(Link.Ip)) {
    std::ranges::copy(Group.Links, std::back_inserter(Frame.Links));
    for (auto &[Id, Call] : Group.Calls) {
      Frame.Calls.push_back({Id, Call.SentOn});
      Link.Sent.emplace(Id, std::move(Call));
    }
  }
  if (Frame.Links.empty())
    return;
  noteResumed(Link.ResumedFrom, Frame.Links);
  Link.send(Frame);
}

void PeerLinks::takeUp(PeerLink &Link, const ResumeFrame &Frame) {
  LostLedgers Lost;
  for (const std::uint64_t Number : Frame.Links)
    if (std::optional<CallLedger> Ledger = closeLost(Link, Number))
      Lost.emplace(Number, std::move(*Ledger));
  const std::vector<CallStatus> Fates =
      resumeCalls(Lost, Link.Ledger, Frame.Calls, Loop.now());
  ResumedCalls Resumed{Link.Ip, {}};
  for (std::size_t I = 0; I < Fates.size(); ++I) {
    tellFate(Link, Frame.Calls[I].Id, Fates[I]);
    ++Resumed.Told[Fates[I]];
  }
  Events.onCallsResumed(Resumed);
  // The sender no longer waits for the others.
  for (const auto &[Number, Ledger] : Lost)
    for (const auto &[Id, Call] : Ledger.RunningCalls)
      Events.onPeerCancel(Call.LocalNumber);
}

std::optional<CallLedger> PeerLinks::closeLost(const PeerLink &Next,
                                               std::uint64_t Number) {
  LinkName Lost = Next.PeerName;
  Lost.Number = Number;
  // The peer has given the connection up, although it may still be open here.
  const std::vector<std::shared_ptr<PeerLink>> All = ByIp[Next.Ip];
  for (const std::shared_ptr<PeerLink> &Other : All)
    if (Other.get() != &Next && Other->PeerName == Lost)
      Other->close();
  return Recovery.takeLedger(Lost);
}

void PeerLinks::tellFate(PeerLink &Link, std::uint64_t Id, CallStatus Fate) {
  if (Fate == CallStatus::Running)
    return;
  if (Fate == CallStatus::Answered) {
    Link.Connection->send(std::string_view(*findAnswer(Link.Ledger, Id)));
    return;
  }
  CallAnswer Answer;
  Answer.Cause = "peer-connection-lost";
  Answer.Arrived = Fate != CallStatus::NeverReceived;
  if (Fate == CallStatus::NeverReceived)
    Answer.Outcome = CallOutcome::NotRun;
  Link.answer(Id, std::move(Answer));
}

void PeerLinks::answerCall(const LinkName &From, std::uint64_t Id,
                           CallAnswer &&Answer) {
  const auto Found = ByIp.find(From.Ip);
  if (Found != ByIp.end())
    for (const std::shared_ptr<PeerLink> &Link : Found->second)
      if (Link->PeerName.Start == From.Start &&
          Link->Ledger.RunningCalls.contains(Id)) {
        Link->answer(Id, std::move(Answer));
        return;
      }
  if (CallLedger *Ledger = Recovery.findRunning(From.Ip, From.Start, Id)) {
    std::string Bytes;
    encodeFrame(AnswerFrame{Id, std::move(Answer)}, Loop.now(), Bytes);
    removeCall(*Ledger, Id);
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
  for (const std::string &Ip : Wanted)
    notePresence(Ip);
}

void PeerLinks::notePresence(const std::string &Ip) {
  if (!Wanted.contains(Ip))
    return;
  const bool Usable = find(Ip) != nullptr;
  const auto Known = Present.find(Ip);
  if (Known == Present.end()) {
    if (Usable)
      Present.emplace(Ip, Presence{true, Loop.now()});
    return;
  }
  if (Known->second.Usable == Usable)
    return;
  Events.onPeerPresence({Ip, Usable, Loop.now() - Known->second.Since});
  Known->second = {Usable, Loop.now()};
}

void PeerLinks::giveUpDead() {
  std::vector<std::shared_ptr<PeerLink>> Dead;
  std::vector<std::shared_ptr<PeerLink>> Silent;
  for (const auto &[Ip, Links] : ByIp)
    for (const std::shared_ptr<PeerLink> &Link : Links) {
      const Duration Quiet = Loop.now() - Link->lastHeard();
      expireAnswers(Link->Ledger, Loop.now());
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
