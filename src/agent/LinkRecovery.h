#ifndef POLLENWICK_AGENT_LINKRECOVERY_H
#define POLLENWICK_AGENT_LINKRECOVERY_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "agent/Call.h"
#include "core/resume/CallLedger.h"

namespace pollenwick::agent {

/// A call that was sent to a peer and is not answered yet.
struct OutstandingCall {
  CallResultHandler OnAnswer;
  SilenceHandler OnSilence; ///< Empty after it was called.
  bool Repeatable = false;
  std::uint64_t SentOnLink = 0; ///< Number of the connection in this process.
};
/// Outstanding calls, keyed by call id.
using OutstandingCalls = absl::flat_hash_map<std::uint64_t, OutstandingCall>;

/// Identifies a connection by the address of the peer that sent calls on it and
/// by the numbers that this peer assigned.
struct LinkId {
  std::string PeerIp;
  std::uint64_t Incarnation = 0; ///< Incarnation of the peer's process.
  std::uint64_t LinkNumber = 0;  ///< Unique within the peer's process.
  friend bool operator==(const LinkId &, const LinkId &) = default;
  friend bool operator<(const LinkId &A, const LinkId &B) {
    return std::tie(A.PeerIp, A.Incarnation, A.LinkNumber) <
           std::tie(B.PeerIp, B.Incarnation, B.LinkNumber);
  }
};

/// Holds the unfinished calls of lost connections, both sent and received, and
/// the answers kept for them, until they are resumed on a new connection or
/// expire.
class LinkRecovery {
public:
  /// Unanswered calls that this node sent on a connection that is now lost.
  struct Orphans {
    /// Lost connections on which the calls were sent or on which a Resume frame
    /// named them, by this process's numbers, the newest last.
    std::vector<std::uint64_t> LinkNumbers;
    Instant LostAt;
    OutstandingCalls Calls;
  };

  /// Keeps the orphans of a lost connection; does nothing if there are none.
  void addOrphans(const std::string &PeerIp, Orphans &&Lost);
  /// Removes and returns all orphans of calls to the peer.
  std::vector<Orphans> takeOrphans(const std::string &PeerIp);
  /// Removes a call from the orphans. Returns whether it was among them.
  bool cancelOrphan(const std::string &PeerIp, std::uint64_t Id);
  /// Removes and returns the calls for which no new connection was established
  /// within the lifetime of orphans.
  std::vector<OutstandingCall> takeExpiredOrphans(Instant Now);

  /// Keeps the ledger of calls that were received on a lost connection.
  void keepLedger(const LinkId &Link, CallLedger &&Ledger, Instant Now);
  /// Fences a connection, so that no call is accepted on it any more, and
  /// removes and returns its ledger; nullopt if none is held.
  std::optional<CallLedger> fenceAndTakeLedger(const LinkId &Link);
  /// Returns whether the peer has given up the connection; calls that still
  /// arrive on it must not run.
  bool isFenced(const LinkId &Link) const { return FencedLinks.contains(Link); }
  /// Returns the ledger of the lost connection whose call `Id` is still
  /// running; null if there is none.
  CallLedger *findLedgerOfRunningCall(const std::string &PeerIp,
                                      std::uint64_t Incarnation,
                                      std::uint64_t Id);
  /// Removes and returns the local numbers of the running calls of a peer whose
  /// process has ended.
  std::vector<std::uint64_t> takeRunningCalls(const std::string &PeerIp);
  /// Removes expired ledgers. Returns the local numbers of running calls that
  /// the peer did not resume in time.
  std::vector<std::uint64_t> expireLedgers(Instant Now);

private:
  struct LostLinkLedger {
    CallLedger Ledger;
    Instant LostAt;
  };
  std::map<std::string, std::vector<Orphans>>
      OrphansByPeer; ///< Keyed by the peer's address.
  std::map<LinkId, LostLinkLedger> LedgersByLink;
  std::set<LinkId> FencedLinks;
};

} // namespace pollenwick::agent

#endif
