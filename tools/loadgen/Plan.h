#ifndef POLLENWICK_TOOLS_PLAN_H
#define POLLENWICK_TOOLS_PLAN_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenwick::tools {

struct RequestSpec {
  std::string Route;
  std::string Class;
  double Weight = 1;
  std::size_t BodyBytes = 0;
  std::size_t ReplyBytes = 256;
  std::string BodyText; ///< Put at the start of the body.
  bool NonIdempotent = false;
  int DeadlineMs = 0; ///< 0: none is sent.
};

struct CustomerLoad {
  std::string Customer;
  std::string Key;
  double Rate = 0;       ///< Requests per second.
  double LimitRate = 0;  ///< The customer's rate; 0: refusals are not rated.
  double LimitBurst = 0; ///< The customer's burst.
  int Retries = 0;
  std::chrono::microseconds RetryDelay{0};
  std::vector<RequestSpec> Mix;
};

struct Phase {
  std::string Name;
  std::chrono::microseconds Length{0};
  std::vector<CustomerLoad> Customers;
};

using Plan = std::vector<Phase>;

/// Throws Poco::Exception with a message that names the missing member.
Plan readPlan(const std::string &Path);

} // namespace pollenwick::tools

#endif
