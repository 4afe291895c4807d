#ifndef POLLENWICK_CORE_FAIRNESS_FAIRRATES_H
#define POLLENWICK_CORE_FAIRNESS_FAIRRATES_H

#include <vector>

namespace pollenwick {

/// Requests per second that one customer offers, and its claim to capacity.
struct CustomerClaim {
  double OfferedPerSecond = 0;
  /// Relative claim; zero, negative or not finite: the mean of the others.
  double Weight = 0;
  /// Requests per second that the customer's quota allows; zero: no limit.
  double LimitPerSecond = 0;
};

/// Divides `CapacityPerSecond` among customers by weighted max-min fairness and
/// returns the requests per second to admit for each of them. A customer that
/// offers less than its weighted share gets all of it, and the others divide
/// the remainder. Requests beyond a customer's limit are considered only after
/// all requests within limits are satisfied.
std::vector<double> fairRates(const std::vector<CustomerClaim> &Claims,
                              double CapacityPerSecond);

} // namespace pollenwick

#endif
