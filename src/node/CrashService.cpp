#include "node/CrashService.h"

#include <algorithm>

#include "peer/Clock.h"
#include "peer/QuotaWire.h"

namespace pollenwick {
namespace {

constexpr Duration SpreadTimeout = std::chrono::milliseconds(300);
/// Connections lost within this time of a detected crash belong to it.
constexpr Duration SameCrash = std::chrono::milliseconds(200);

} // namespace

CrashService::CrashService(const IncarnationId &S, const Kernel &Registry)
    : Self(S), Count(Registry.find<Counters>("counters")),
      Bundles(Registry.find<BundleStore>("bundles")),
      Peers(Registry.find<PeerDuty>("peers")) {
  State.Self = S;
}

StartVerdict CrashService::start(const Fingerprint &Subject) {
  std::scoped_lock Lock(Mutex);
  return onCallStarted(State, Subject, now());
}

void CrashService::finish(const Fingerprint &Subject, bool Completed) {
  std::scoped_lock Lock(Mutex);
  // What it returns is gossiped with the heartbeats.
  onCallFinished(State, Subject, Completed, now());
}

bool CrashService::quarantined(const Fingerprint &Subject) const {
  std::scoped_lock Lock(Mutex);
  return isQuarantined(State, Subject, now());
}

bool CrashService::suspect(const Fingerprint &Subject) const {
  std::scoped_lock Lock(Mutex);
  return isSuspect(State, Subject, now());
}

bool CrashService::onConnectionLost(BackendClient &Backend) {
  std::scoped_lock Detect(DetectMutex);
  if (now() - LastCrash < SameCrash)
    return true;
  if (Backend.isReachable())
    return false; // Only this connection ended.
  std::vector<Suspicion> News;
  {
    std::scoped_lock Lock(Mutex);
    News = onServerCrash(State, now());
  }
  Count.add(Counter::BackendCrashes);
  if (!News.empty()) {
    const auto Sent = makeReport(std::move(News));
    sendReport(Sent);
    std::unique_lock Lock(Mutex);
    if (Sent->Missing.empty())
      onSpread(State, Sent->News.front().Crash);
    else
      Reports.push_back(Sent);
    Sent->Changed.wait_for(Lock, SpreadTimeout,
                           [&] { return Sent->Missing.empty(); });
  }
  LastCrash = now();
  return true;
}

std::shared_ptr<CrashService::Report>
CrashService::makeReport(std::vector<Suspicion> News) const {
  auto Out = std::make_shared<Report>();
  Out->News = std::move(News);
  Out->Since = now();
  const BundlePtr Bundle = Bundles.current();
  const HostSpec *Here = Bundle ? findHost(*Bundle, Self.Host) : nullptr;
  if (!Here)
    return Out;
  for (const HostSpec &Host : Bundle->Rules->Hosts)
    if (Host.Service == Here->Service && Host.Id != Self.Host)
      Out->Missing.insert(Host.Id);
  return Out;
}

void CrashService::sendReport(const std::shared_ptr<Report> &Sent) {
  const BundlePtr Bundle = Bundles.current();
  std::set<HostId> Missing;
  {
    std::scoped_lock Lock(Mutex);
    Missing = Sent->Missing;
  }
  for (const HostId &Host : Missing) {
    const HostSpec *Spec = findHost(*Bundle, Host);
    if (!Spec) { // Left the configuration.
      onAcknowledged(*Sent, Host, {});
      continue;
    }
    Peers.post(
        peerAddress(*Spec), SpreadTimeout,
        [this, Sent, Host](wire::Peer::Client &Peer) {
          auto Request = Peer.suspectRequest();
          writeMessages(
              Request.initSuspicions(static_cast<unsigned>(Sent->News.size())),
              Sent->News);
          return Request.send().then([this, Sent, Host](auto &&Reply) {
            if (!Reply.getInFlight())
              onAcknowledged(*Sent, Host, readMessages(Reply.getKnown()));
          });
        });
  }
}

void CrashService::onAcknowledged(Report &Sent, const HostId &From,
                                  const std::vector<Suspicion> &Known) {
  std::scoped_lock Lock(Mutex);
  merge(State, Known, now());
  Sent.Missing.erase(From);
  if (!Sent.Missing.empty())
    return;
  onSpread(State, Sent.News.front().Crash);
  Sent.Changed.notify_all();
}

void CrashService::onSuspect(capnp::List<wire::Suspicion>::Reader In,
                             wire::Peer::SuspectResults::Builder Out) {
  std::scoped_lock Lock(Mutex);
  const Acknowledgement Answer = acknowledge(State, readMessages(In), now());
  Out.setInFlight(Answer.InFlight);
  writeMessages(Out.initKnown(static_cast<unsigned>(Answer.Known.size())),
                Answer.Known);
}

void CrashService::hear(const std::vector<Suspicion> &Heard) {
  std::scoped_lock Lock(Mutex);
  merge(State, Heard, now());
}

std::vector<Suspicion> CrashService::gossip(std::size_t Limit) const {
  std::scoped_lock Lock(Mutex);
  return known(State, Limit, now());
}

void CrashService::tick() {
  std::vector<std::shared_ptr<Report>> Repeat;
  {
    std::scoped_lock Lock(Mutex);
    expire(State, now());
    std::erase_if(Reports, [&](const auto &Sent) {
      return Sent->Missing.empty() ||
             now() - Sent->Since > State.Limits.SuspectTime;
    });
    Repeat = Reports;
  }
  std::ranges::for_each(Repeat, [this](const auto &Sent) { sendReport(Sent); });
}

void CrashService::dump(Poco::JSON::Object &Out) const {
  std::scoped_lock Lock(Mutex);
  Out.set("subjects", State.Subjects.size());
  Out.set("in_flight", State.InFlight.size());
  Out.set("crashes_seen_here", State.LastCrash);
  Out.set("reports_unacknowledged", Reports.size());
}

} // namespace pollenwick
