#include <catch2/catch.hpp>

#include "agent/CustomerShareReport.h"

using namespace pollenwick;
using namespace pollenwick::agent;

TEST_CASE("Gauges show the share of each limited customer", "[agent]") {
  CustomerShares Shares;
  for (int I = 0; I < 20; ++I)
    updateCustomerShares(
        Shares, {{"a@0", "hot", {100, 0, 0}}, {"a@0", "other", {10, 0, 0}}},
        {{"a@0", 0.5}}, std::chrono::milliseconds(250));
  Metrics Counters;
  Counters.setGauge("peers_connected", 3);
  CustomerShareReport::fillMetrics(Counters, Shares);
  const std::string Limited = Counters.render();
  CHECK(Limited.find("customer_share_pct{key=\"a@0\",customer=\"hot\"} 45") !=
        std::string::npos);
  CHECK(Limited.find("customer=\"other\"} 100") != std::string::npos);

  // Guards against values that stay after the overload, and against the removal
  // of other gauges with them.
  CustomerShareReport::fillMetrics(Counters, CustomerShares{});
  const std::string After = Counters.render();
  CHECK(After.find("customer_share_pct") == std::string::npos);
  CHECK(After.find("peers_connected") != std::string::npos);
}
