#include "agent/CustomerShareReport.h"

#include <algorithm>
#include <cmath>

#include "agent/StringUtil.h"

namespace pollenwick::agent {
namespace {

/// Smallest change of a share (0 to 1) that is logged, and smallest distance
/// from the common share.
constexpr double MinLoggedDifference = 0.1;
/// Shortest time between two lines about one plan key. It bounds the volume
/// while the most limited customer alternates.
constexpr Duration MinLogInterval = std::chrono::seconds(5);

constexpr std::string_view ShareGauge = "customer_share_pct";

std::int64_t toPercent(double Share) {
  return static_cast<std::int64_t>(100 * Share);
}

} // namespace

CustomerShareReport::CustomerShareReport(LogWriter &TheLog) : Log(TheLog) {}

void CustomerShareReport::logChanges(const CustomerShares &Shares,
                                     const AdmissionPlan &Plan, Instant Now) {
  std::erase_if(LoggedByPlanKey, [&](const auto &Item) {
    return !Shares.Keys.contains(Item.first);
  });
  for (const auto &[PlanKey, Key] : Shares.Keys) {
    const auto Lowest = std::ranges::min_element(
        Key.ByCustomer, {}, [](const auto &Item) { return Item.second.Share; });
    const double CommonShare = admittedShare(Plan, PlanKey);
    if (Lowest == Key.ByCustomer.end() ||
        Lowest->second.Share > CommonShare - MinLoggedDifference)
      continue;
    const auto [Found, New] = LoggedByPlanKey.try_emplace(PlanKey);
    LoggedShare &Logged = Found->second;
    const bool Changed =
        Logged.Customer != Lowest->first ||
        std::abs(Logged.Share - Lowest->second.Share) >= MinLoggedDifference;
    if (!New && (!Changed || Now - Logged.LoggedAt < MinLogInterval))
      continue;
    Logged = {Lowest->first, Lowest->second.Share, Now};
    Log.logStateChange(std::move(
        LogLine("customer-limited", Now)
            .field("key", PlanKey)
            .field("customer", Logged.Customer)
            .field("customer_share_pct", toPercent(Logged.Share))
            .field("admitted_share_pct", toPercent(CommonShare))
            .field("offered_per_s",
                   std::lround(Lowest->second.SmoothedClaim.OfferedPerSecond))
            .field("customers",
                   static_cast<std::int64_t>(Key.ByCustomer.size()))));
  }
}

void CustomerShareReport::fillMetrics(Metrics &Counters,
                                      const CustomerShares &Shares) {
  Counters.removeGauges(ShareGauge);
  for (const auto &[PlanKey, Key] : Shares.Keys)
    for (const auto &[Customer, Item] : Key.ByCustomer)
      Counters.setGauge(concat(ShareGauge, "{key=\"", PlanKey, "\",customer=\"",
                               Customer, "\"}"),
                        toPercent(Item.Share));
}

} // namespace pollenwick::agent
