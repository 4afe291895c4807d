#include "agent/PeerLinks.h"
#include "agent/StringUtil.h"

#include <algorithm>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace pollenwick::agent {
namespace {

/// A link on which nothing arrived for this time gets no new calls. A healthy
/// peer sends a status every 250 ms.
constexpr Duration SilenceTimeout = std::chrono::milliseconds(800);
/// Senders of calls on a link are told of this silence, so that they can also
/// send the calls elsewhere.
constexpr Duration ReportSilenceAfter = std::chrono::milliseconds(1100);
/// A link is closed after this silence, because no call lasts longer.
constexpr Duration DeadLinkTimeout = std::chrono::seconds(8);
constexpr Duration DialTimeout = std::chrono::milliseconds(1000);
/// Delay before the node with the higher address dials. The node with the lower
/// address dials at once.
constexpr Duration HigherIpDialDelay = std::chrono::milliseconds(500);
constexpr int ListenBacklog = 256;
/// Most lost connections that `PeerLink::ResumedLinks` holds. If more are lost
/// in a row before their calls end, calls resumed on older ones count as
/// unknown.
constexpr std::size_t MaxResumedLinks = 16;

void addResumedLinks(std::vector<std::uint64_t> &Known,
                     const std::vector<std::uint64_t> &Links) {
  std::ranges::copy(Links, std::back_inserter(Known));
  if (Known.size() > MaxResumedLinks)
    Known.erase(Known.begin(), Known.end() - MaxResumedLinks);
}

} // namespace

PeerLinks::PeerLinks(EventLoop &TheLoop, LogWriter &TheLog,
                     PeerEventHandler &TheHandler,
                     const std::string &ListenAddress,
                     std::uint64_t TheIncarnation)
    : Loop(TheLoop), Log(TheLog), Handler(TheHandler),
      Incarnation(TheIncarnation), WaitingForRoom(TheLoop) {
  const Poco::Net::SocketAddress Address(ListenAddress);
  OwnIp = Address.host().toString();
  Port = Address.port();
  Listener.bind(Address, true);
  Listener.listen(ListenBacklog);
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
    // No further connection is pending.
  }
}

void PeerLinks::setPeers(const std::set<std::string> &Ips) {
  PeerIps = Ips;
  PeerIps.erase(OwnIp);
  std::erase_if(AvailabilityByPeer, [this](const auto &Entry) {
    return !PeerIps.contains(Entry.first);
  });
  tick();
}

std::shared_ptr<PeerLink> PeerLinks::addLink(const std::string &Ip) {
  auto Link = std::make_shared<PeerLink>(Loop, *this, Ip, ++LastLinkNumber);
  LinksByIp[Ip].push_back(Link);
  return Link;
}

void PeerLinks::dial(const std::string &Ip) {
  const std::shared_ptr<PeerLink> Link = addLink(Ip);
  // A peer knows this node by the address from which it connects, which on a
  // host with several addresses need not be the one that the system chooses.
  if (!Link->dial(Ip + ":" + std::to_string(Port), OwnIp))
    Link->close();
}

bool PeerLinks::isSilent(const PeerLink &Link) const {
  return Link.isConnected() &&
         Loop.now() - Link.lastReceivedAt() >= SilenceTimeout;
}

bool PeerLinks::isLive(const PeerLink &Link) const {
  // The kernel accepts connections even for a frozen process, so only a Hello
  // frame shows that the peer is running.
  return Link.isConnected() && Link.PeerLinkId.Incarnation != 0 &&
         !isSilent(Link);
}

PeerLink *PeerLinks::findLiveLink(const std::string &Ip) {
  const auto Found = LinksByIp.find(Ip);
  if (Found == LinksByIp.end())
    return nullptr;
  const auto Live = std::ranges::find_if(
      Found->second, [this](const auto &Link) { return isLive(*Link); });
  return Live == Found->second.end() ? nullptr : Live->get();
}

void PeerLinks::cancel(const std::string &Ip, std::uint64_t Id) {
  if (Recovery.cancelOrphan(Ip, Id))
    return;
  const auto Found = LinksByIp.find(Ip);
  if (Found == LinksByIp.end())
    return;
  for (const std::shared_ptr<PeerLink> &Link : Found->second)
    if (Link->cancel(Id))
      return;
}

void PeerLinks::recall(const std::string &Ip, std::uint64_t Id) {
  const auto Found = LinksByIp.find(Ip);
  if (Found == LinksByIp.end())
    return;
  std::ranges::any_of(Found->second,
                      [Id](const auto &Link) { return Link->recall(Id); });
}

bool PeerLinks::hasLiveLink(const std::string &Ip) const {
  const auto Found = LinksByIp.find(Ip);
  return Found != LinksByIp.end() &&
         std::ranges::any_of(
             Found->second, [this](const auto &Link) { return isLive(*Link); });
}

void PeerLinks::broadcast(const PeerFrame &Frame) {
  broadcast(
      [&Frame](const std::string &) -> const PeerFrame & { return Frame; });
}

void PeerLinks::broadcast(
    const std::function<const PeerFrame &(const std::string &Ip)> &FrameFor) {
  std::map<const PeerFrame *, std::string> Encoded;
  for (const auto &[Ip, Links] : LinksByIp) {
    const PeerFrame &Frame = FrameFor(Ip);
    std::string &Bytes = Encoded[&Frame];
    if (Bytes.empty())
      encodeFrame(Frame, Loop.now(), Bytes);
    for (const std::shared_ptr<PeerLink> &Link : Links)
      if (Link->isConnected()) {
        SentBytes[Frame.index()] += Bytes.size();
        Link->Connection->send(std::string_view(Bytes));
      }
  }
}

void PeerLinks::sendTo(const std::vector<std::string> &Ips,
                       const PeerFrame &Frame) {
  std::string Bytes;
  encodeFrame(Frame, Loop.now(), Bytes);
  for (const std::string &Ip : Ips)
    if (PeerLink *Link = findLiveLink(Ip)) {
      SentBytes[Frame.index()] += Bytes.size();
      Link->Connection->send(std::string_view(Bytes));
    }
}

void PeerLinks::onLinkLost(PeerLink &Link) {
  const std::string Ip = Link.Ip;
  const bool HasUnfinishedCalls =
      !Link.Outstanding.empty() || !Link.Ledger.RunningCalls.empty();
  Link.ResumedLinks.push_back(Link.LinkNumber);
  Recovery.addOrphans(Ip, {std::move(Link.ResumedLinks), Loop.now(),
                           std::exchange(Link.Outstanding, {})});
  if (Link.PeerLinkId.Incarnation != 0)
    Recovery.keepLedger(Link.PeerLinkId, std::move(Link.Ledger), Loop.now());
  removeLink(Link);
  if (PeerLink *Other = findLiveLink(Ip)) {
    resumeCallsOn(*Other);
  } else if (!Link.WasConnected) {
    // The peer accepts no connection, so its process and its calls have ended.
    failOrphans(Ip);
    cancelRunningCalls(Recovery.takeRunningCalls(Ip));
  } else if (HasUnfinishedCalls) {
    dial(Ip);
  }
}

void PeerLinks::resumeCallsOn(PeerLink &Link) {
  std::vector<std::shared_ptr<PeerLink>> Silent;
  std::ranges::copy_if(LinksByIp[Link.Ip], std::back_inserter(Silent),
                       [this](const auto &Other) { return isSilent(*Other); });
  for (const std::shared_ptr<PeerLink> &Other : Silent)
    Other->close();
  ResumeFrame Frame;
  for (LinkRecovery::Orphans &Group : Recovery.takeOrphans(Link.Ip)) {
    std::ranges::copy(Group.LinkNumbers,
                      std::back_inserter(Frame.LostLinkNumbers));
    for (auto &[Id, Call] : Group.Calls) {
      Frame.Calls.push_back({Id, Call.SentOnLink});
      Link.Outstanding.emplace(Id, std::move(Call));
    }
  }
  if (Frame.LostLinkNumbers.empty())
    return;
  addResumedLinks(Link.ResumedLinks, Frame.LostLinkNumbers);
  Link.send(Frame);
}

void PeerLinks::handleResume(PeerLink &Link, const ResumeFrame &Frame) {
  LostLedgers Lost;
  for (const std::uint64_t Number : Frame.LostLinkNumbers)
    if (std::optional<CallLedger> Ledger = closeLostLink(Link, Number))
      Lost.emplace(Number, std::move(*Ledger));
  const std::vector<CallStatus> Statuses =
      resumeCalls(Lost, Link.Ledger, Frame.Calls, Loop.now());
  ResumedCallCounts Resumed{Link.Ip, {}};
  for (std::size_t I = 0; I < Statuses.size(); ++I) {
    sendCallStatus(Link, Frame.Calls[I].Id, Statuses[I]);
    ++Resumed.CountByStatus[Statuses[I]];
  }
  Handler.onCallsResumed(Resumed);
  // The sender no longer waits for calls that it did not name.
  for (const auto &[Number, Ledger] : Lost)
    for (const auto &[Id, Call] : Ledger.RunningCalls)
      Handler.onPeerCancel(Call.LocalNumber);
}

std::optional<CallLedger> PeerLinks::closeLostLink(const PeerLink &NewLink,
                                                   std::uint64_t Number) {
  LinkId Lost = NewLink.PeerLinkId;
  Lost.LinkNumber = Number;
  // The peer has given up the connection, but it may still be open here.
  const std::vector<std::shared_ptr<PeerLink>> All = LinksByIp[NewLink.Ip];
  for (const std::shared_ptr<PeerLink> &Other : All)
    if (Other.get() != &NewLink && Other->PeerLinkId == Lost)
      Other->close();
  return Recovery.fenceAndTakeLedger(Lost);
}

void PeerLinks::sendCallStatus(PeerLink &Link, std::uint64_t Id,
                               CallStatus ResumedStatus) {
  if (ResumedStatus == CallStatus::Running)
    return;
  if (ResumedStatus == CallStatus::Answered) {
    Link.Connection->send(std::string_view(*findAnswer(Link.Ledger, Id)));
    return;
  }
  CallResult Answer;
  Answer.Cause = "peer-connection-lost";
  Answer.ReachedServer = ResumedStatus != CallStatus::NeverReceived;
  if (ResumedStatus == CallStatus::NeverReceived)
    Answer.Outcome = CallOutcome::NotRun;
  Link.sendAnswer(Id, std::move(Answer));
}

void PeerLinks::answerCall(const LinkId &From, std::uint64_t Id,
                           CallResult &&Answer) {
  const auto Found = LinksByIp.find(From.PeerIp);
  if (Found != LinksByIp.end())
    for (const std::shared_ptr<PeerLink> &Link : Found->second)
      if (Link->PeerLinkId.Incarnation == From.Incarnation &&
          Link->Ledger.RunningCalls.contains(Id)) {
        Link->sendAnswer(Id, std::move(Answer));
        return;
      }
  if (CallLedger *Ledger =
          Recovery.findLedgerOfRunningCall(From.PeerIp, From.Incarnation, Id)) {
    std::string Bytes;
    encodeFrame(AnswerFrame{Id, std::move(Answer)}, Loop.now(), Bytes);
    removeCall(*Ledger, Id);
    keepAnswer(*Ledger, Id, std::move(Bytes), Loop.now());
  }
}

void PeerLinks::failCalls(std::vector<OutstandingCall> &&Calls) {
  // A call that was written to a connection may have arrived and run.
  for (const OutstandingCall &Call : Calls) {
    CallResult Answer;
    Answer.Cause = "peer-connection-lost";
    Answer.ReachedServer = true;
    Call.OnAnswer(std::move(Answer));
  }
}

void PeerLinks::failOrphans(const std::string &Ip) {
  std::vector<OutstandingCall> Calls;
  for (LinkRecovery::Orphans &Group : Recovery.takeOrphans(Ip))
    for (auto &[Id, Call] : Group.Calls)
      Calls.push_back(std::move(Call));
  failCalls(std::move(Calls));
}

void PeerLinks::cancelRunningCalls(
    const std::vector<std::uint64_t> &CallNumbers) {
  for (const std::uint64_t Number : CallNumbers)
    Handler.onPeerCancel(Number);
}

void PeerLinks::tick() {
  closeDeadLinks();
  failCalls(Recovery.takeExpiredOrphans(Loop.now()));
  cancelRunningCalls(Recovery.expireLedgers(Loop.now()));
  dialMissingPeers();
  for (const std::string &Ip : PeerIps)
    updateAvailability(Ip);
}

void PeerLinks::updateAvailability(const std::string &Ip) {
  if (!PeerIps.contains(Ip))
    return;
  const bool Usable = findLiveLink(Ip) != nullptr;
  const auto Known = AvailabilityByPeer.find(Ip);
  if (Known == AvailabilityByPeer.end()) {
    if (Usable)
      AvailabilityByPeer.emplace(Ip, Availability{true, Loop.now()});
    return;
  }
  if (Known->second.Usable == Usable)
    return;
  Handler.onPeerAvailabilityChange(
      {Ip, Usable, Loop.now() - Known->second.Since});
  Known->second = {Usable, Loop.now()};
}

void PeerLinks::closeDeadLinks() {
  std::vector<std::shared_ptr<PeerLink>> Dead;
  std::vector<std::shared_ptr<PeerLink>> Silent;
  for (const auto &[Ip, Links] : LinksByIp)
    for (const std::shared_ptr<PeerLink> &Link : Links) {
      const Duration SilenceDuration = Loop.now() - Link->lastReceivedAt();
      expireAnswers(Link->Ledger, Loop.now());
      if (SilenceDuration >
          (Link->isConnected() ? DeadLinkTimeout : DialTimeout))
        Dead.push_back(Link);
      else if (Link->isConnected() && SilenceDuration > ReportSilenceAfter)
        Silent.push_back(Link);
    }
  for (const std::shared_ptr<PeerLink> &Link : Silent)
    Link->reportSilence();
  for (const std::shared_ptr<PeerLink> &Link : Dead)
    Link->close();
}

void PeerLinks::dialMissingPeers() {
  for (const std::string &Ip : PeerIps) {
    const bool Dialing =
        LinksByIp.contains(Ip) &&
        std::ranges::any_of(LinksByIp[Ip], [this](const auto &Link) {
          return Link->PeerLinkId.Incarnation == 0 &&
                 Loop.now() - Link->lastReceivedAt() < DialTimeout;
        });
    if (findLiveLink(Ip) || Dialing) {
      MissingSince.erase(Ip);
      continue;
    }
    const Instant Since =
        MissingSince.try_emplace(Ip, Loop.now()).first->second;
    if (OwnIp < Ip || Loop.now() - Since >= HigherIpDialDelay)
      dial(Ip);
  }
}

void PeerLinks::removeLink(PeerLink &Link) {
  const auto Found = LinksByIp.find(Link.ip());
  if (Found == LinksByIp.end())
    return;
  const auto It = std::ranges::find_if(
      Found->second, [&](const auto &Item) { return Item.get() == &Link; });
  if (It == Found->second.end())
    return;
  Loop.deferRelease(*It);
  Found->second.erase(It);
  if (Found->second.empty())
    LinksByIp.erase(Found);
}

void PeerLinks::shutDown() {
  Loop.unwatch(Listener.impl()->sockfd());
  Listener.close();
}

std::size_t PeerLinks::connectedPeerCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(LinksByIp, [](const auto &Entry) {
        return std::ranges::any_of(
            Entry.second, [](const auto &Link) { return Link->isConnected(); });
      }));
}

} // namespace pollenwick::agent
