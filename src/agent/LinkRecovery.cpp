#include "agent/LinkRecovery.h"

#include <algorithm>

namespace pollenwick::agent {
namespace {

/// A peer that lives is connected again within milliseconds of a reset.
constexpr Duration OrphanLife = std::chrono::milliseconds(600);
/// Calls of a peer that does not come back run on for so long.
constexpr Duration RunningLife = std::chrono::milliseconds(700);
/// A sender asks within its own `OrphanLife`, plus the time of a slow start.
constexpr Duration LedgerLife = std::chrono::seconds(5);
/// Bounds the memory; only connections that were not accepted yet matter.
constexpr std::size_t LargestFenced = 1024;

void moveRunning(CallLedger &Ledger, std::vector<std::uint64_t> &Numbers) {
  for (const auto &[Id, Call] : Ledger.RunningCalls)
    Numbers.push_back(Call.LocalNumber);
  Ledger.RunningCalls.clear();
}

} // namespace

void LinkRecovery::addOrphans(const std::string &Ip, Orphans &&Lost) {
  if (!Lost.Calls.empty())
    Sent[Ip].push_back(std::move(Lost));
}

std::vector<LinkRecovery::Orphans>
LinkRecovery::takeOrphans(const std::string &Ip) {
  const auto Found = Sent.find(Ip);
  if (Found == Sent.end())
    return {};
  std::vector<Orphans> Taken = std::move(Found->second);
  Sent.erase(Found);
  return Taken;
}

bool LinkRecovery::cancelOrphan(const std::string &Ip, std::uint64_t Id) {
  const auto Found = Sent.find(Ip);
  return Found != Sent.end() &&
         std::ranges::any_of(Found->second, [Id](Orphans &Group) {
           return Group.Calls.erase(Id) > 0;
         });
}

std::vector<SentCall> LinkRecovery::takeExpired(Instant Now) {
  std::vector<SentCall> Expired;
  for (auto &[Ip, Groups] : Sent)
    std::erase_if(Groups, [&](Orphans &Group) {
      if (Now - Group.LostAt < OrphanLife)
        return false;
      for (auto &[Id, Call] : Group.Calls)
        Expired.push_back(std::move(Call));
      return true;
    });
  std::erase_if(Sent, [](const auto &Entry) { return Entry.second.empty(); });
  return Expired;
}

void LinkRecovery::keepLedger(const LinkName &Link, CallLedger &&Ledger,
                              Instant Now) {
  Received.insert_or_assign(Link, Kept{std::move(Ledger), Now});
}

std::optional<CallLedger> LinkRecovery::takeLedger(const LinkName &Link) {
  if (Fenced.size() >= LargestFenced)
    Fenced.erase(Fenced.begin());
  Fenced.insert(Link);
  const auto Found = Received.find(Link);
  if (Found == Received.end())
    return std::nullopt;
  std::optional<CallLedger> Ledger = std::move(Found->second.Ledger);
  Received.erase(Found);
  return Ledger;
}

CallLedger *LinkRecovery::findRunning(const std::string &Ip,
                                      std::uint64_t Start, std::uint64_t Id) {
  const auto Found = std::ranges::find_if(Received, [&](const auto &Entry) {
    return Entry.first.Ip == Ip && Entry.first.Start == Start &&
           Entry.second.Ledger.Running.contains(Id);
  });
  return Found == Received.end() ? nullptr : &Found->second.Ledger;
}

std::vector<std::uint64_t> LinkRecovery::takeRunning(const std::string &Ip) {
  std::vector<std::uint64_t> Numbers;
  for (auto &[Link, Entry] : Received)
    if (Link.Ip == Ip)
      moveRunning(Entry.Ledger, Numbers);
  return Numbers;
}

std::vector<std::uint64_t> LinkRecovery::expireLedgers(Instant Now) {
  std::vector<std::uint64_t> Abandoned;
  for (auto &[Link, Entry] : Received) {
    if (Now - Entry.LostAt < RunningLife)
      continue;
    moveRunning(Entry.Ledger, Abandoned);
    expireAnswers(Entry.Ledger, Now);
  }
  std::erase_if(Received, [Now](const auto &Entry) {
    return Now - Entry.second.LostAt > LedgerLife;
  });
  return Abandoned;
}

} // namespace pollenwick::agent
