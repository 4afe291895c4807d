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
#include "node/ComponentRegistry.h"
#include "node/Counters.h"
#include "peer/PeerTransport.h"

namespace pollenwick {

/// Detects crashes of the local backend server and quarantines the requests
/// that may have caused them. Thread-safe.
class CrashService {
public:
  CrashService(const IncarnationId &Self, const ComponentRegistry &Registry);

  /// Decides whether a call may be sent to the local server, and counts it as
  /// in flight if so.
  StartDecision tryStart(const Fingerprint &Subject);
  /// Ends a call that `tryStart` let start. A completed call clears its
  /// suspicion.
  void finish(const Fingerprint &Subject, bool Completed);
  /// Returns whether the request is refused, because it was in flight at two or
  /// more crashes within the quarantine time.
  bool isRequestQuarantined(const Fingerprint &Subject) const;
  /// Returns whether the request is suspected of a crash. Suspects are not
  /// retried.
  bool isRequestSuspect(const Fingerprint &Subject) const;

  /// Handles the loss of the connection to the local server during a call that
  /// is still counted as in flight. Returns whether the server has crashed. If
  /// so, all calls in flight become suspects, and this blocks until all servers
  /// of the service know them, or a short time limit has passed.
  bool onConnectionLost(BackendClient &Backend, Instant CallStarted);

  /// Applies the quarantine time of the policy and stops waiting for servers
  /// that the bundle in force does not list.
  void onBundle(const Policy &Rules);
  /// Merges suspicions received with heartbeats.
  void mergeGossip(const std::vector<Suspicion> &Suspicions);
  /// Merges the crash report of another server of the service and acknowledges
  /// it.
  void onSuspectReport(capnp::List<wire::Suspicion>::Reader In,
                       wire::Peer::SuspectResults::Builder Out);
  /// Returns at most `Limit` suspicions to send with a heartbeat.
  std::vector<Suspicion> suspicionsToGossip(std::size_t Limit) const;
  /// Sends crash reports that are due and releases the answers of crashes whose
  /// reports are acknowledged or timed out. Must be called more often than an
  /// unacknowledged report is repeated.
  void advanceReports();
  /// Forgets suspicions that have expired.
  void expireEntries();
  void dump(Poco::JSON::Object &Out) const;

private:
  /// Returns the other hosts of this host's service; empty without a bundle.
  std::vector<HostId> otherServers() const;
  /// Sends a crash report to one server. Its acknowledgement is merged when it
  /// arrives.
  void send(const PeerAddress &To, const BroadcastMessage &Message);

  const IncarnationId Self;
  Counters &NodeCounters;
  BundleStore &Bundles;
  PeerTransport &Peers;
  mutable std::mutex Mutex;
  Quarantine State;
  SuspicionBroadcasts ReportRounds;
  std::set<CrashId>
      CrashesWithHeldAnswers; ///< Crashes whose callers are not answered yet.
  std::condition_variable AnswersReleased;
  std::mutex DetectMutex; ///< Lets only one thread handle a crash.
  Instant LastCrashAt{};  ///< Time at which the last crash was detected.
};

} // namespace pollenwick

#endif
