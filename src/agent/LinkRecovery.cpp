#include "agent/LinkRecovery.h"

#include <algorithm>

namespace pollenwick::agent {
namespace {

/// Time for which the sender keeps unanswered calls of a lost connection. A
/// running peer reconnects within milliseconds of a reset.
constexpr Duration OrphanLifetime = std::chrono::milliseconds(600);
/// Time for which calls of a lost connection keep running if the peer does not
/// resume them.
constexpr Duration RunningCallLifetime = std::chrono::milliseconds(700);
/// Time for which the ledger of a lost connection is kept. The sender resumes
/// its calls within its `OrphanLifetime` plus the delay of a slow start.
constexpr Duration LedgerLifetime = std::chrono::seconds(5);
/// Bounds the memory. A fence matters only for a connection that this node has
/// not accepted yet.
constexpr std::size_t MaxFencedLinks = 1024;

void moveRunningCallNumbers(CallLedger &Ledger,
                            std::vector<std::uint64_t> &CallNumbers) {
  for (const auto &[Id, Call] : Ledger.RunningCalls)
    CallNumbers.push_back(Call.LocalNumber);
  Ledger.RunningCalls.clear();
}

} // namespace

void LinkRecovery::addOrphans(const std::string &PeerIp, Orphans &&Lost) {
  if (!Lost.Calls.empty())
    OrphansByPeer[PeerIp].push_back(std::move(Lost));
}

std::vector<LinkRecovery::Orphans>
LinkRecovery::takeOrphans(const std::string &PeerIp) {
  const auto Found = OrphansByPeer.find(PeerIp);
  if (Found == OrphansByPeer.end())
    return {};
  std::vector<Orphans> Taken = std::move(Found->second);
  OrphansByPeer.erase(Found);
  return Taken;
}

bool LinkRecovery::cancelOrphan(const std::string &PeerIp, std::uint64_t Id) {
  const auto Found = OrphansByPeer.find(PeerIp);
  return Found != OrphansByPeer.end() &&
         std::ranges::any_of(Found->second, [Id](Orphans &Group) {
           return Group.Calls.erase(Id) > 0;
         });
}

std::vector<OutstandingCall> LinkRecovery::takeExpiredOrphans(Instant Now) {
  std::vector<OutstandingCall> Expired;
  for (auto &[PeerIp, Groups] : OrphansByPeer)
    std::erase_if(Groups, [&](Orphans &Group) {
      if (Now - Group.LostAt < OrphanLifetime)
        return false;
      for (auto &[Id, Call] : Group.Calls)
        Expired.push_back(std::move(Call));
      return true;
    });
  std::erase_if(OrphansByPeer,
                [](const auto &Entry) { return Entry.second.empty(); });
  return Expired;
}

void LinkRecovery::keepLedger(const LinkId &Link, CallLedger &&Ledger,
                              Instant Now) {
  LedgersByLink.insert_or_assign(Link, LostLinkLedger{std::move(Ledger), Now});
}

std::optional<CallLedger> LinkRecovery::fenceAndTakeLedger(const LinkId &Link) {
  if (FencedLinks.size() >= MaxFencedLinks)
    FencedLinks.erase(FencedLinks.begin());
  FencedLinks.insert(Link);
  const auto Found = LedgersByLink.find(Link);
  if (Found == LedgersByLink.end())
    return std::nullopt;
  std::optional<CallLedger> Ledger = std::move(Found->second.Ledger);
  LedgersByLink.erase(Found);
  return Ledger;
}

CallLedger *LinkRecovery::findLedgerOfRunningCall(const std::string &PeerIp,
                                                  std::uint64_t Incarnation,
                                                  std::uint64_t Id) {
  const auto Found =
      std::ranges::find_if(LedgersByLink, [&](const auto &Entry) {
        return Entry.first.PeerIp == PeerIp &&
               Entry.first.Incarnation == Incarnation &&
               Entry.second.Ledger.RunningCalls.contains(Id);
      });
  return Found == LedgersByLink.end() ? nullptr : &Found->second.Ledger;
}

std::vector<std::uint64_t>
LinkRecovery::takeRunningCalls(const std::string &PeerIp) {
  std::vector<std::uint64_t> CallNumbers;
  for (auto &[Link, Entry] : LedgersByLink)
    if (Link.PeerIp == PeerIp)
      moveRunningCallNumbers(Entry.Ledger, CallNumbers);
  return CallNumbers;
}

std::vector<std::uint64_t> LinkRecovery::expireLedgers(Instant Now) {
  std::vector<std::uint64_t> Abandoned;
  for (auto &[Link, Entry] : LedgersByLink) {
    if (Now - Entry.LostAt < RunningCallLifetime)
      continue;
    moveRunningCallNumbers(Entry.Ledger, Abandoned);
    expireAnswers(Entry.Ledger, Now);
  }
  std::erase_if(LedgersByLink, [Now](const auto &Entry) {
    return Now - Entry.second.LostAt > LedgerLifetime;
  });
  return Abandoned;
}

} // namespace pollenwick::agent
