#ifndef POLLENWICK_CORE_QUARANTINE_QUARANTINE_H
#define POLLENWICK_CORE_QUARANTINE_QUARANTINE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "pollenwick/Ids.h"
#include "pollenwick/Outcome.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Identifies equal requests: the first 16 bytes of the SHA-256 of route,
/// customer and body digest.
struct Fingerprint {
  std::array<std::uint8_t, 16> Bytes{};
  friend bool operator==(const Fingerprint &, const Fingerprint &) = default;
  friend bool operator<(const Fingerprint &A, const Fingerprint &B) {
    return A.Bytes < B.Bytes;
  }
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by Abseil.
  template <typename H> friend H AbslHashValue(H State, const Fingerprint &F) {
    return H::combine(std::move(State), F.Bytes);
  }
};

/// Computes the fingerprint of a request.
Fingerprint fingerprintOf(const RouteId &Route, const CustomerId &Customer,
                          const Digest &Body);

/// Identifies one crash of a backend server.
struct CrashId {
  HostId Host;              ///< Host of the crashed server and its node.
  StartId Start;            ///< Incarnation of the node that saw the crash.
  std::uint32_t Number = 0; ///< Unique within that incarnation, from 1.
  friend bool operator==(const CrashId &, const CrashId &) = default;
  friend bool operator<(const CrashId &A, const CrashId &B) {
    return std::tie(A.Host.Text, A.Start.Value, A.Number) <
           std::tie(B.Host.Text, B.Start.Value, B.Number);
  }
};

/// Message between nodes: a request with this fingerprint was in flight at a
/// crash.
struct Suspicion {
  Fingerprint Subject;
  CrashId Crash;
  bool Cleared = false; ///< The subject has completed normally since.
  /// Time since the crash. A duration, because clocks of nodes differ.
  Duration Age{};
};

/// Time and memory limits of a quarantine.
struct QuarantineLimits {
  /// Time after a crash during which a suspect may run only as a trial, which
  /// means alone on the server.
  Duration SuspectTime = std::chrono::seconds(60);
  /// Time before the end of `SuspectTime` in which no trial starts, so that a
  /// trial ends before other nodes run the subject again. Must be at least the
  /// longest call deadline.
  Duration TrialMargin = std::chrono::seconds(10);
  /// Time for which a crash counts against a subject. A subject with two
  /// counting crashes is refused.
  Duration QuarantineTime = std::chrono::minutes(10);
  /// A request that completed on the local server within this time before a
  /// crash does not become a suspect.
  Duration RecentCompletionTime = std::chrono::seconds(10);
  /// Longest time for which new calls are held back so that the server becomes
  /// idle for a trial.
  Duration MaxReserveTime = std::chrono::milliseconds(200);
  std::size_t MaxSubjects = 2'048;        ///< Fingerprints under suspicion.
  std::size_t MaxCompletionSlots = 2'048; ///< Slots for recent completions.
};

/// A crash at which a fingerprint was in flight.
struct CrashInvolvement {
  CrashId Crash;
  Instant CrashedAt;
  bool Cleared = false;
  /// The nodes of all servers of the service know of the involvement.
  bool BroadcastComplete = false;
};

/// Suspicions of one node about requests that may crash backend servers, and
/// the calls in flight at its local server. A request that was in flight at two
/// crashes is refused. Guarded by one mutex.
struct Quarantine {
  IncarnationId Self;
  QuarantineLimits Limits;
  std::uint32_t LastCrashNumber = 0;
  /// Number of calls in flight at the local server, by fingerprint.
  absl::flat_hash_map<Fingerprint, std::uint32_t> InFlight;
  /// Suspect that runs as a trial now; unset if none.
  std::optional<Fingerprint> TrialSubject;
  /// Suspect for which the server is reserved until it is idle; unset if none.
  std::optional<Fingerprint> WaitingSubject;
  Instant ReservedUntil; ///< End of the reservation for `WaitingSubject`.
  absl::flat_hash_map<Fingerprint, std::vector<CrashInvolvement>>
      CrashesBySubject;
  /// Normal completion of a call at the local server.
  struct Completion {
    Fingerprint Subject;
    Instant CompletedAt;
  };
  std::vector<Completion> RecentCompletions; ///< Direct-mapped by fingerprint.
};

/// The call may be sent to the local server. `AsTrial` is set if the call is a
/// suspect and runs as a trial.
struct StartCall {
  bool AsTrial = false;
};
/// The local server runs a trial or must become idle for one. The caller tries
/// a suspect again at this node later and routes any other call elsewhere.
struct ServerReserved {
  bool ForSuspect = false;
};
/// The call is a suspect that only the host that saw the crash may run, as a
/// trial.
struct TryAtHost {
  HostId Host;
};
using StartDecision =
    std::variant<StartCall, ServerReserved, TryAtHost, Refusal>;

/// Decides whether a call may start at the local server, and counts it as in
/// flight if so. Must be called immediately before the call is sent. All
/// refusals have the outcome "not run".
StartDecision tryStartCall(Quarantine &State, const Fingerprint &Subject,
                           Instant Now);

/// Records that a call left the local server. `Completed` is set if it ended
/// with a complete answer, which clears its suspicions. Returns the suspicions
/// to gossip.
std::vector<Suspicion> onCallFinished(Quarantine &State,
                                      const Fingerprint &Subject,
                                      bool Completed, Instant Now);

/// Records a crash of the local server. Every call in flight becomes a suspect
/// unless an equal one completed recently. Returns the suspicions to send to
/// all servers of the service. The caller holds back the answers of the calls
/// until `onBroadcastComplete` or until `BroadcastLimits::MaxAnswerHold` has
/// passed.
std::vector<Suspicion> onServerCrash(Quarantine &State, Instant Now);

/// Answer to suspicions that another server's node sent.
struct Acknowledgement {
  /// All suspicions of this node about the same subjects.
  std::vector<Suspicion> KnownSuspicions;
  /// A call of one of the subjects still runs here; the sender must ask again.
  bool InFlight = false;
};

/// Merges received suspicions and returns the answer to their sender. They
/// apply to every call that starts here afterwards.
Acknowledgement acknowledgeSuspicions(Quarantine &State,
                                      const std::vector<Suspicion> &Received,
                                      Instant Now);

/// Permits trials of the suspects of a crash. Must be called only after all
/// servers of the service have acknowledged the suspicions with no call of a
/// subject in flight, and their answers have been merged.
void onBroadcastComplete(Quarantine &State, const CrashId &Crash);

/// Returns whether two crashes count against the fingerprint, so that it is
/// refused.
bool isQuarantined(const Quarantine &State, const Fingerprint &Subject,
                   Instant Now);
/// Returns whether the fingerprint is quarantined or may run only as a trial.
/// The caller must not retry such a call.
bool isSuspect(const Quarantine &State, const Fingerprint &Subject,
               Instant Now);

/// Merges suspicions of another node. The merge is commutative and idempotent,
/// and it never extends the lifetime of a known suspicion.
void mergeSuspicions(Quarantine &State, const std::vector<Suspicion> &Received,
                     Instant Now);

/// Returns the suspicions of this node, newest first, at most `Limit`.
std::vector<Suspicion> knownSuspicions(const Quarantine &State,
                                       std::size_t Limit, Instant Now);

/// Removes the crashes that are older than `QuarantineTime`.
void expireSuspicions(Quarantine &State, Instant Now);

/// Returns an upper estimate of the heap memory in bytes.
std::size_t memoryOf(const Quarantine &State);

} // namespace pollenwick

#endif
