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

/// A call that waits for its answer from a peer.
struct OutstandingCall {
  CallResultHandler OnAnswer;
  bool Repeatable = false;
  std::uint64_t SentOnLink = 0; ///< Our number of the connection.
};
using OutstandingCalls = absl::flat_hash_map<std::uint64_t, OutstandingCall>;

/// One connection as the peer that made its calls names it.
struct LinkId {
  std::string PeerIp;
  std::uint64_t Incarnation = 0; ///< Of the peer's process.
  std::uint64_t LinkNumber = 0;  ///< Unique within that process.
  friend bool operator==(const LinkId &, const LinkId &) = default;
  friend bool operator<(const LinkId &A, const LinkId &B) {
    return std::tie(A.PeerIp, A.Incarnation, A.LinkNumber) <
           std::tie(B.PeerIp, B.Incarnation, B.LinkNumber);
  }
};

/// What lost connections leave behind at both ends, until it is taken up on a
/// new connection or too old.
class LinkRecovery {
public:
  /// Calls that were sent to a peer and not answered.
  struct Orphans {
    /// Our numbers of the lost connections on which the calls were sent, or on
    /// which the peer was asked about them. The newest last.
    std::vector<std::uint64_t> LinkNumbers;
    Instant LostAt;
    OutstandingCalls Calls;
  };

  void addOrphans(const std::string &PeerIp, Orphans &&Lost);
  std::vector<Orphans> takeOrphans(const std::string &PeerIp);
  /// Returns whether the call was among the orphans.
  bool cancelOrphan(const std::string &PeerIp, std::uint64_t Id);
  /// Calls for which no new connection came in time.
  std::vector<OutstandingCall> takeExpiredOrphans(Instant Now);

  void keepLedger(const LinkId &Link, CallLedger &&Ledger, Instant Now);
  /// Empty when the connection is not known here (any more). From now on
  /// nothing is accepted on it.
  std::optional<CallLedger> fenceAndTakeLedger(const LinkId &Link);
  /// The connection was given up by its peer; what it carries must not run.
  bool isFenced(const LinkId &Link) const { return FencedLinks.contains(Link); }
  /// The ledger of a lost connection on which the call runs; null if none.
  CallLedger *findLedgerOfRunningCall(const std::string &PeerIp,
                                      std::uint64_t Incarnation,
                                      std::uint64_t Id);
  /// Numbers of the calls that a peer which has ended left running.
  std::vector<std::uint64_t> takeRunningCalls(const std::string &PeerIp);
  /// Forgets old ledgers. Returns the numbers of calls that nobody took up.
  std::vector<std::uint64_t> expireLedgers(Instant Now);

private:
  struct LostLinkLedger {
    CallLedger Ledger;
    Instant LostAt;
  };
  std::map<std::string, std::vector<Orphans>>
      OrphansByPeer; ///< By the peer's address.
  std::map<LinkId, LostLinkLedger> LedgersByLink;
  std::set<LinkId> FencedLinks;
};

} // namespace pollenwick::agent

#endif
