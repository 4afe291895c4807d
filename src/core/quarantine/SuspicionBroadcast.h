#ifndef POLLENWICK_CORE_QUARANTINE_SUSPICIONBROADCAST_H
#define POLLENWICK_CORE_QUARANTINE_SUSPICIONBROADCAST_H

#include <cstddef>
#include <vector>

#include "core/quarantine/Quarantine.h"

namespace pollenwick {

/// Time and memory limits of suspicion broadcasts.
struct BroadcastLimits {
  /// Longest time for which the answers of the crashed calls are held back.
  Duration MaxAnswerHold = std::chrono::milliseconds(300);
  /// Time between two messages to a node that has not acknowledged.
  Duration ResendInterval = std::chrono::milliseconds(50);
  std::size_t MaxBroadcasts = 64; ///< Beyond it, the oldest are abandoned.
};

/// Broadcast of the suspicions of one crash to all servers of the service.
struct SuspicionBroadcast {
  CrashId Crash;
  std::vector<Suspicion> Suspicions;
  std::vector<HostId> Unacknowledged; ///< Hosts still to acknowledge.
  Instant StartedAt;
  Instant NextSendAt;
  bool AnswersReleased = false; ///< Answers are not held back any more.
};

/// Broadcasts in progress of the node whose local server crashed. Used together
/// with the `Quarantine` of the node.
struct SuspicionBroadcasts {
  BroadcastLimits Limits;
  std::vector<SuspicionBroadcast> Broadcasts; ///< Oldest first.
};

/// Message of a broadcast to one host.
struct BroadcastMessage {
  HostId To;
  CrashId Crash;
  std::vector<Suspicion> Suspicions;
};

/// Starts a broadcast of the suspicions that `onServerCrash` returned.
/// `Servers` are the other hosts of the service. Does nothing without
/// suspicions.
void startBroadcast(SuspicionBroadcasts &State,
                    const std::vector<Suspicion> &Suspicions,
                    const std::vector<HostId> &Servers, Instant Now);

/// Returns the messages that are due, with the ages of suspicions as of `Now`.
std::vector<BroadcastMessage> dueBroadcasts(SuspicionBroadcasts &State,
                                            Instant Now);

/// Merges the suspicions of an acknowledgement. The host counts as acknowledged
/// unless a subject is in flight there; in that case it is asked again.
void onAcknowledged(SuspicionBroadcasts &State, Quarantine &Known,
                    const CrashId &Crash, const HostId &From,
                    const Acknowledgement &Answer, Instant Now);

/// Stops waiting for hosts that are not in `Servers`, the hosts that the bundle
/// lists.
void onServersChanged(SuspicionBroadcasts &State,
                      const std::vector<HostId> &Servers);

/// Ends the broadcasts that are complete, which permits trials, and those that
/// are too old for a trial or exceed `MaxBroadcasts`. Returns the crashes whose
/// answers are to be released, each crash once.
std::vector<CrashId> finishBroadcasts(SuspicionBroadcasts &State,
                                      Quarantine &Known, Instant Now);

} // namespace pollenwick

#endif
