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
struct SentCall {
  CallResultHandler Done;
  bool Repeatable = false;
  std::uint64_t SentOn = 0; ///< Our number of the connection.
};
using SentCalls = absl::flat_hash_map<std::uint64_t, SentCall>;

/// One connection as the peer that made its calls names it.
struct LinkName {
  std::string Ip;
  std::uint64_t Start = 0;  ///< Of the peer's process.
  std::uint64_t Number = 0; ///< Unique within that process.
  friend bool operator==(const LinkName &, const LinkName &) = default;
  friend bool operator<(const LinkName &A, const LinkName &B) {
    return std::tie(A.Ip, A.Start, A.Number) <
           std::tie(B.Ip, B.Start, B.Number);
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
    std::vector<std::uint64_t> Links;
    Instant LostAt;
    SentCalls Calls;
  };

  void addOrphans(const std::string &Ip, Orphans &&Lost);
  std::vector<Orphans> takeOrphans(const std::string &Ip);
  /// Returns whether the call was among the orphans.
  bool cancelOrphan(const std::string &Ip, std::uint64_t Id);
  /// Calls for which no new connection came in time.
  std::vector<SentCall> takeExpired(Instant Now);

  void keepLedger(const LinkName &Link, CallLedger &&Ledger, Instant Now);
  /// Empty when the connection is not known here (any more). From now on
  /// nothing is accepted on it.
  std::optional<CallLedger> takeLedger(const LinkName &Link);
  /// The connection was given up by its peer; what it carries must not run.
  bool isFenced(const LinkName &Link) const { return Fenced.contains(Link); }
  /// The ledger of a lost connection on which the call runs; null if none.
  CallLedger *findRunning(const std::string &Ip, std::uint64_t Start,
                          std::uint64_t Id);
  /// Numbers of the calls that a peer which has ended left running.
  std::vector<std::uint64_t> takeRunning(const std::string &Ip);
  /// Forgets old ledgers. Returns the numbers of calls that nobody took up.
  std::vector<std::uint64_t> expireLedgers(Instant Now);

private:
  struct Kept {
    CallLedger Ledger;
    Instant LostAt;
  };
  std::map<std::string, std::vector<Orphans>> Sent; ///< By the peer's address.
  std::map<LinkName, Kept> Received;
  std::set<LinkName> Fenced;
};

} // namespace pollenwick::agent

#endif
