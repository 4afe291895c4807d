#ifndef POLLENWICK_CORE_QUARANTINE_SUSPICIONBROADCAST_H
#define POLLENWICK_CORE_QUARANTINE_SUSPICIONBROADCAST_H

#include <cstddef>
#include <vector>

#include "core/quarantine/Quarantine.h"

namespace pollenwick {

struct BroadcastLimits {
  /// Longest time for which the answers of the crashed calls are held back.
  Duration MaxAnswerHold = std::chrono::milliseconds(300);
  /// Time between two messages to a node that has not acknowledged.
  Duration ResendInterval = std::chrono::milliseconds(50);
  std::size_t MaxBroadcasts = 64; ///< The oldest is given up at the limit.
};

/// Suspicions of one crash on their way to all servers of the service.
struct SuspicionBroadcast {
  CrashId Crash;
  std::vector<Suspicion> Suspicions;
  std::vector<HostId> Unacknowledged; ///< Have not acknowledged.
  Instant StartedAt;
  Instant NextSendAt;
  bool AnswersReleased = false; ///< The answers are no longer held back.
};

/// Owned by the node beside the crashed server, with its `Quarantine`.
struct SuspicionBroadcasts {
  BroadcastLimits Limits;
  std::vector<SuspicionBroadcast> Broadcasts; ///< Oldest first.
};

struct BroadcastMessage {
  HostId To;
  CrashId Crash;
  std::vector<Suspicion> Suspicions;
};

/// Starts a round with the result of `onServerCrash`. `Servers`: the other
/// hosts of the service.
void startBroadcast(SuspicionBroadcasts &State,
                    const std::vector<Suspicion> &Suspicions,
                    const std::vector<HostId> &Servers, Instant Now);

/// Messages to send now; ages are brought up to date.
std::vector<BroadcastMessage> dueBroadcasts(SuspicionBroadcasts &State,
                                            Instant Now);

/// Takes an acknowledgement. An answer with a subject in flight is merged and
/// asked for again.
void onAcknowledged(SuspicionBroadcasts &State, Quarantine &Known,
                    const CrashId &Crash, const HostId &From,
                    const Acknowledgement &Answer, Instant Now);

/// No longer waits for hosts that the bundle does not list.
void onServersChanged(SuspicionBroadcasts &State,
                      const std::vector<HostId> &Servers);

/// Ends rounds that are complete, which permits trials, or too old for one.
/// Returns the crashes whose answers are to be released, each once.
std::vector<CrashId> finishBroadcasts(SuspicionBroadcasts &State,
                                      Quarantine &Known, Instant Now);

} // namespace pollenwick

#endif
