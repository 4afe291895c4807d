#include "node/CrashService.h"

#include <algorithm>

#include "peer/Clock.h"
#include "peer/QuotaWire.h"

namespace pollenwick {
namespace {

/// Time limit of one exchange that reports a crash.
constexpr Duration ReportTimeout = std::chrono::milliseconds(300);
/// Interval at which a waiting thread advances the reports. Must be shorter
/// than the interval at which an unacknowledged report is repeated (50 ms).
constexpr Duration AdvanceInterval = std::chrono::milliseconds(10);

} // namespace

CrashService::CrashService(const IncarnationId &S,
                           const ComponentRegistry &Registry)
    : Self(S), NodeCounters(Registry.find<Counters>("counters")),
      Bundles(Registry.find<BundleStore>("bundles")),
      Peers(Registry.find<PeerTransport>("peers")) {
  State.Self = S;
}

StartDecision CrashService::tryStart(const Fingerprint &Subject) {
  std::scoped_lock Lock(Mutex);
  return tryStartCall(State, Subject, now());
}

void CrashService::finish(const Fingerprint &Subject, bool Completed) {
  std::scoped_lock Lock(Mutex);
  // The returned suspicions are not used here: heartbeats gossip all known
  // suspicions, see `suspicionsToGossip`.
  onCallFinished(State, Subject, Completed, now());
}

bool CrashService::isRequestQuarantined(const Fingerprint &Subject) const {
  std::scoped_lock Lock(Mutex);
  return isQuarantined(State, Subject, now());
}

bool CrashService::isRequestSuspect(const Fingerprint &Subject) const {
  std::scoped_lock Lock(Mutex);
  return isSuspect(State, Subject, now());
}

bool CrashService::onConnectionLost(BackendClient &Backend,
                                    Instant CallStarted) {
  std::scoped_lock Detect(DetectMutex);
  // A call that started before the last crash was detected ran on the crashed
  // process. A later call ran on its successor, even if the server was
  // restarted immediately.
  if (CallStarted <= LastCrashAt)
    return true;
  if (!Backend.hasServerExited())
    return false; // The server runs; only this connection was closed.
  LastCrashAt = now();
  std::vector<Suspicion> News;
  {
    std::scoped_lock Lock(Mutex);
    News = onServerCrash(State, now());
  }
  NodeCounters.add(Counter::BackendCrashes);
  if (!News.empty()) {
    const CrashId Crash = News.front().Crash;
    {
      std::scoped_lock Lock(Mutex);
      startBroadcast(ReportRounds, News, otherServers(), now());
      CrashesWithHeldAnswers.insert(Crash);
    }
    // `finishBroadcasts` releases the answers once all servers of the service
    // know the suspicions, or after `MaxAnswerHold`.
    for (;;) {
      advanceReports();
      std::unique_lock Lock(Mutex);
      if (AnswersReleased.wait_for(Lock, AdvanceInterval, [&] {
            return !CrashesWithHeldAnswers.contains(Crash);
          }))
        break;
    }
  }
  return true;
}

std::vector<HostId> CrashService::otherServers() const {
  std::vector<HostId> Out;
  const BundlePtr Bundle = Bundles.current();
  const HostSpec *Here = Bundle ? findHost(*Bundle, Self.Host) : nullptr;
  if (!Here)
    return Out;
  for (const HostSpec &Host : Bundle->SourceBundle->Hosts)
    if (Host.Service == Here->Service && Host.Id != Self.Host)
      Out.push_back(Host.Id);
  return Out;
}

void CrashService::onBundle(const Policy &Rules) {
  const auto Servers = otherServers();
  std::scoped_lock Lock(Mutex);
  State.Limits.QuarantineTime = Rules.QuarantineTime;
  onServersChanged(ReportRounds, Servers);
}

void CrashService::advanceReports() {
  std::vector<BroadcastMessage> Due;
  {
    std::scoped_lock Lock(Mutex);
    if (ReportRounds.Broadcasts.empty())
      return;
    Due = dueBroadcasts(ReportRounds, now());
    for (const CrashId &Crash : finishBroadcasts(ReportRounds, State, now()))
      CrashesWithHeldAnswers.erase(Crash);
  }
  AnswersReleased.notify_all();
  const BundlePtr Bundle = Bundles.current();
  for (const BroadcastMessage &Message : Due)
    if (const HostSpec *To = findHost(*Bundle, Message.To))
      send(peerAddress(*To), Message);
}

void CrashService::send(const PeerAddress &To,
                        const BroadcastMessage &Message) {
  Peers.post(To, ReportTimeout, [this, Message](wire::Peer::Client &Peer) {
    auto Request = Peer.suspectRequest();
    writeMessages(Request.initSuspicions(
                      static_cast<unsigned>(Message.Suspicions.size())),
                  Message.Suspicions);
    return Request.send().then([this, Message](auto &&Reply) {
      const Acknowledgement Answer{readMessages(Reply.getKnown()),
                                   Reply.getInFlight()};
      std::scoped_lock Lock(Mutex);
      onAcknowledged(ReportRounds, State, Message.Crash, Message.To, Answer,
                     now());
      for (const CrashId &Crash : finishBroadcasts(ReportRounds, State, now()))
        CrashesWithHeldAnswers.erase(Crash);
      AnswersReleased.notify_all();
    });
  });
}

void CrashService::onSuspectReport(capnp::List<wire::Suspicion>::Reader In,
                                   wire::Peer::SuspectResults::Builder Out) {
  std::scoped_lock Lock(Mutex);
  const Acknowledgement Answer =
      acknowledgeSuspicions(State, readMessages(In), now());
  Out.setInFlight(Answer.InFlight);
  writeMessages(
      Out.initKnown(static_cast<unsigned>(Answer.KnownSuspicions.size())),
      Answer.KnownSuspicions);
}

void CrashService::mergeGossip(const std::vector<Suspicion> &Suspicions) {
  std::scoped_lock Lock(Mutex);
  mergeSuspicions(State, Suspicions, now());
}

std::vector<Suspicion>
CrashService::suspicionsToGossip(std::size_t Limit) const {
  std::scoped_lock Lock(Mutex);
  return knownSuspicions(State, Limit, now());
}

void CrashService::expireEntries() {
  std::scoped_lock Lock(Mutex);
  expireSuspicions(State, now());
}

void CrashService::dump(Poco::JSON::Object &Out) const {
  std::scoped_lock Lock(Mutex);
  Out.set("subjects", State.CrashesBySubject.size());
  Out.set("in_flight", State.InFlight.size());
  Out.set("crashes_seen_here", State.LastCrashNumber);
  Out.set("reports_unacknowledged", ReportRounds.Broadcasts.size());
}

} // namespace pollenwick
