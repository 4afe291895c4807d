#include "node/CrashService.h"

#include <atomic>
#include <condition_variable>
#include <memory>

#include "peer/Clock.h"
#include "peer/QuotaWire.h"

namespace pollenwick {
namespace {

constexpr Duration SpreadTimeout = std::chrono::milliseconds(300);
/// Connections lost within this time of a detected crash belong to it.
constexpr Duration SameCrash = std::chrono::milliseconds(200);

/// Counts the acknowledgements of a crash report.
struct Acknowledgements {
  std::mutex Mutex;
  std::condition_variable Changed;
  std::size_t Missing = 0;
};

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
  if (!News.empty() && spread(News)) {
    std::scoped_lock Lock(Mutex);
    onSpread(State, News.front().Crash);
  }
  LastCrash = now();
  return true;
}

bool CrashService::spread(const std::vector<Suspicion> &News) {
  const BundlePtr Bundle = Bundles.current();
  const HostSpec *Here = Bundle ? findHost(*Bundle, Self.Host) : nullptr;
  if (!Here)
    return false;
  std::vector<PeerAddress> Others;
  for (const HostSpec &Host : Bundle->Rules->Hosts)
    if (Host.Service == Here->Service && Host.Id != Self.Host)
      Others.push_back(peerAddress(Host));
  auto Acks = std::make_shared<Acknowledgements>();
  Acks->Missing = Others.size();
  auto Shared = std::make_shared<const std::vector<Suspicion>>(News);
  for (const PeerAddress &To : Others)
    Peers.post(To, SpreadTimeout, [Acks, Shared](wire::Peer::Client &Peer) {
      auto Request = Peer.suspectRequest();
      writeMessages(
          Request.initSuspicions(static_cast<unsigned>(Shared->size())),
          *Shared);
      return Request.send().then([Acks](auto &&) {
        std::scoped_lock Lock(Acks->Mutex);
        --Acks->Missing;
        Acks->Changed.notify_all();
      });
    });
  std::unique_lock Lock(Acks->Mutex);
  return Acks->Changed.wait_for(Lock, SpreadTimeout,
                                [&] { return Acks->Missing == 0; });
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
  std::scoped_lock Lock(Mutex);
  expire(State, now());
}

void CrashService::dump(Poco::JSON::Object &Out) const {
  std::scoped_lock Lock(Mutex);
  Out.set("subjects", State.Subjects.size());
  Out.set("in_flight", State.InFlightTotal);
  Out.set("crashes_seen_here", State.LastCrash);
}

} // namespace pollenwick
