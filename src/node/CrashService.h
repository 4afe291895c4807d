#ifndef POLLENWICK_NODE_CRASHSERVICE_H
#define POLLENWICK_NODE_CRASHSERVICE_H

#include <condition_variable>
#include <mutex>
#include <set>
#include <vector>

#include <Poco/JSON/Object.h>

#include "core/quarantine/Quarantine.h"
#include "core/quarantine/SuspicionBroadcast.h"
#include "node/ActiveBundle.h"
#include "node/BackendClient.h"
#include "node/Counters.h"
#include "node/ServiceRegistry.h"
#include "peer/PeerTransport.h"

namespace pollenwick {

/// Detects crashes of the local backend server and keeps requests that cause
/// them from running again. Thread-safe.
class CrashService {
public:
  CrashService(const IncarnationId &Self, const ServiceRegistry &Registry);

  StartDecision tryStart(const Fingerprint &Subject);
  void finish(const Fingerprint &Subject, bool Completed);
  bool isRequestQuarantined(const Fingerprint &Subject) const;
  bool isRequestSuspect(const Fingerprint &Subject) const;

  /// A connection to the local server was lost during a call that is still
  /// counted as in flight. Returns true when the server has crashed; the calls
  /// in flight are then suspects, known to all servers of the service or to
  /// those that answered within a short time. Blocks until then.
  bool onConnectionLost(BackendClient &Backend, Instant CallStarted);

  void onBundle(const Policy &Rules);
  void mergeGossip(const std::vector<Suspicion> &Suspicions);
  /// Answers the report of another server of the service.
  void onSuspectReport(capnp::List<wire::Suspicion>::Reader In,
                       wire::Peer::SuspectResults::Builder Out);
  std::vector<Suspicion> suspicionsToGossip(std::size_t Limit) const;
  /// Sends crash reports that are due and releases answers; call it often.
  void advanceReports();
  void expireEntries();
  void dump(Poco::JSON::Object &Out) const;

private:
  std::vector<HostId> otherServers() const;
  void send(const PeerAddress &To, const BroadcastMessage &Message);

  const IncarnationId Self;
  Counters &NodeCounters;
  BundleStore &Bundles;
  PeerTransport &Peers;
  mutable std::mutex Mutex;
  Quarantine State;
  SuspicionBroadcasts ReportRounds;
  std::set<CrashId>
      CrashesWithHeldAnswers; ///< Crashes whose answers are held back.
  std::condition_variable AnswersReleased;
  std::mutex DetectMutex; ///< One crash is handled by one thread.
  Instant LastCrashAt{};  ///< When the last crash was found.
};

} // namespace pollenwick

#endif
