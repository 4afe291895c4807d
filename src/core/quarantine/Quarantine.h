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

/// First 16 bytes of SHA-256 over route, customer and digest of the body.
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

Fingerprint fingerprintOf(const RouteId &Route, const CustomerId &Customer,
                          const Digest &Body);

/// One crash of a backend server.
struct CrashId {
  HostId Host;
  StartId Start;            ///< Incarnation of the node that saw the crash.
  std::uint32_t Number = 0; ///< Within that incarnation, from 1.
  friend bool operator==(const CrashId &, const CrashId &) = default;
  friend bool operator<(const CrashId &A, const CrashId &B) {
    return std::tie(A.Host.Text, A.Start.Value, A.Number) <
           std::tie(B.Host.Text, B.Start.Value, B.Number);
  }
};

/// Presence of a fingerprint at a crash, as nodes tell each other.
struct Suspicion {
  Fingerprint Subject;
  CrashId Crash;
  bool Cleared = false; ///< The subject has completed normally since.
  Duration Age{};       ///< Time since the crash; clocks are not comparable.
};

struct QuarantineLimits {
  /// How long a suspect runs only as a trial.
  Duration SuspectTime = std::chrono::seconds(60);
  /// No trial starts this close to the end of `SuspectTime`, so that it ends
  /// before other nodes run the subject again. At least the longest deadline.
  Duration TrialMargin = std::chrono::seconds(10);
  /// How long a crash counts, and how long two of them refuse the subject.
  Duration QuarantineTime = std::chrono::minutes(10);
  /// A call that completed here within this time before a crash is no suspect.
  Duration RecentCompletionTime = std::chrono::seconds(10);
  /// Longest time for which new calls wait for a trial to get an idle server.
  Duration MaxReserveTime = std::chrono::milliseconds(200);
  std::size_t MaxSubjects = 2'048;        ///< Fingerprints under suspicion.
  std::size_t MaxCompletionSlots = 2'048; ///< Slots for recent completions.
};

/// A crash at which a fingerprint was in flight.
struct CrashInvolvement {
  CrashId Crash;
  Instant CrashedAt;
  bool Cleared = false;
  bool BroadcastComplete = false; ///< All servers of the service know of it.
};

/// Owned by one node; guarded by one mutex.
struct Quarantine {
  IncarnationId Self;
  QuarantineLimits Limits;
  std::uint32_t LastCrashNumber = 0;
  absl::flat_hash_map<Fingerprint, std::uint32_t> InFlight; ///< Local server.
  std::optional<Fingerprint> TrialSubject; ///< Suspect that runs alone.
  std::optional<Fingerprint>
      WaitingSubject;    ///< Suspect that waits for idleness.
  Instant ReservedUntil; ///< Limit of the reservation.
  absl::flat_hash_map<Fingerprint, std::vector<CrashInvolvement>>
      CrashesBySubject;
  struct Completion {
    Fingerprint Subject;
    Instant CompletedAt;
  };
  std::vector<Completion> RecentCompletions; ///< Direct-mapped by fingerprint.
};

/// The call may be sent to the local server. `AsTrial`: as a trial.
struct StartCall {
  bool AsTrial = false;
};
/// The local server must become idle first, or runs a trial; try again here
/// (for a suspect) or route elsewhere (for any other call).
struct ServerReserved {
  bool ForSuspect = false;
};
/// Only the host that saw the crash may try the suspect.
struct TryAtHost {
  HostId Host;
};
using StartDecision =
    std::variant<StartCall, ServerReserved, TryAtHost, Refusal>;

/// Decides immediately before a call is sent to the local server and counts it
/// as in flight if it starts. All refusals are "not run".
StartDecision tryStartCall(Quarantine &State, const Fingerprint &Subject,
                           Instant Now);

/// A call left the local server. `Completed`: with a whole answer, which clears
/// its suspicion. Returns suspicions to gossip.
std::vector<Suspicion> onCallFinished(Quarantine &State,
                                      const Fingerprint &Subject,
                                      bool Completed, Instant Now);

/// The local server crashed: every call in flight becomes a suspect. Returns
/// the suspicions to send to all servers of the service. The answers of the
/// calls are held back until `onBroadcastComplete` or a short time limit.
std::vector<Suspicion> onServerCrash(Quarantine &State, Instant Now);

/// Answer to suspicions that another server's node sent.
struct Acknowledgement {
  std::vector<Suspicion>
      KnownSuspicions;   ///< All this node knows of the same subjects.
  bool InFlight = false; ///< One of them still runs here; ask again later.
};

/// Takes over suspicions and answers them. Calls of a subject that start here
/// afterwards know of the suspicion.
Acknowledgement acknowledgeSuspicions(Quarantine &State,
                                      const std::vector<Suspicion> &Received,
                                      Instant Now);

/// All servers of the service have acknowledged the suspicions of a crash with
/// none in flight, and their answers are merged. Until then no suspect of that
/// crash is tried.
void onBroadcastComplete(Quarantine &State, const CrashId &Crash);

/// Whether the fingerprint is refused everywhere.
bool isQuarantined(const Quarantine &State, const Fingerprint &Subject,
                   Instant Now);
/// Whether the fingerprint is under suspicion; a suspect is not retried.
bool isSuspect(const Quarantine &State, const Fingerprint &Subject,
               Instant Now);

/// Takes over what another node knows. Commutative and idempotent; a known
/// suspicion never lives longer through it.
void mergeSuspicions(Quarantine &State, const std::vector<Suspicion> &Received,
                     Instant Now);

/// What this node knows, newest first, at most `Limit` entries.
std::vector<Suspicion> knownSuspicions(const Quarantine &State,
                                       std::size_t Limit, Instant Now);

/// Forgets what has expired.
void expireSuspicions(Quarantine &State, Instant Now);

/// Upper estimate of the heap bytes held.
std::size_t memoryOf(const Quarantine &State);

} // namespace pollenwick

#endif
