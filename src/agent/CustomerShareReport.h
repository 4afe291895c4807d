#ifndef POLLENWICK_AGENT_CUSTOMERSHAREREPORT_H
#define POLLENWICK_AGENT_CUSTOMERSHAREREPORT_H

#include <map>
#include <string>

#include "agent/Log.h"
#include "agent/Metrics.h"
#include "core/fairness/CustomerShares.h"
#include "core/shedding/AdmissionPlan.h"

namespace pollenwick::agent {

/// Reports which customers the node limits, in the log and as gauges.
class CustomerShareReport {
public:
  explicit CustomerShareReport(LogWriter &Log);

  /// Logs each plan key in which a customer gets clearly less than the common
  /// share, with the customer that gets the least. A key is logged again when
  /// that customer changes or its share has moved, but not within 5 s.
  void logChanges(const CustomerShares &Shares, const AdmissionPlan &Plan,
                  Instant Now);
  /// Sets the share of each customer whose requests are counted, and removes
  /// the gauges of others.
  static void fillMetrics(Metrics &Counters, const CustomerShares &Shares);

private:
  struct LoggedShare {
    std::string Customer;
    double Share = 1;
    Instant LoggedAt;
  };

  LogWriter &Log;
  std::map<std::string, LoggedShare> LoggedByPlanKey;
};

} // namespace pollenwick::agent

#endif
