#ifndef POLLENWICK_RULES_H
#define POLLENWICK_RULES_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Whether a call may be repeated when its first attempt may have run.
enum class RetrySafety : std::uint8_t {
  Safe,   ///< May run more than once.
  Unsafe, ///< Runs at most once.
};

/// A service and its share of the requests of a route.
struct WeightedService {
  ServiceId Service;
  std::uint32_t Weight = 1;
};

/// A route: the requests it matches, the services that receive them, and the
/// limits that apply.
struct RouteRule {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Begins and ends with a slash.
  RetrySafety Safety = RetrySafety::Unsafe;
  Duration Timeout{};       ///< Zero: only the caller's deadline applies.
  Duration LatencyTarget{}; ///< Zero: no target.
  int Priority = 0;         ///< 0 is the most important.
  std::uint32_t MaxAttempts = 1;
  bool Public = false; ///< Callers need no key.
  std::vector<WeightedService> Services;
};

/// Keys, priority and rate limit of a customer.
struct CustomerRule {
  CustomerId Customer;
  std::vector<std::string> Keys;
  int Priority = -1;         ///< 0 is the most important; negative: unset.
  std::int64_t RatePerS = 0; ///< Requests per second; zero: no limit.
  std::int64_t Burst = 0;
};

/// What the servers of a service tolerate after a start.
struct ColdStartRule {
  Duration ColdTime{};   ///< Time for which a server is cold after a start.
  double StartsPerS = 0; ///< Calls per second while it is cold; zero: no limit.
};

/// Limits of a service and the path of its health checks.
struct ServiceRule {
  ServiceId Service;
  std::uint32_t MaxConnections = 0; ///< Per backend server; zero: no limit.
  ColdStartRule ColdStart = {};
  std::string HealthPath = {}; ///< Empty: the servers have none.
};

/// Limits on the requests and connections of a caller.
struct CallerLimits {
  std::size_t MaxHeaderBytes = std::size_t{16} * 1024;
  std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// The newest accepted configuration, in the form used to process requests.
struct Rules {
  std::uint64_t Version = 0;
  std::vector<RouteRule> Routes;
  std::vector<CustomerRule> Customers;
  std::vector<ServiceRule> Services;
  CallerLimits Limits;
};

enum class ServerState : std::uint8_t { Ready, Draining };

/// A backend server as it registered itself.
struct ServerEntry {
  HostId Id;
  ServiceId Service;
  std::string Address; ///< IP:PORT
  ZoneId Zone;
  std::uint32_t Slots = 1;
  ServerState State = ServerState::Ready;
  /// How much longer the server stays cold, zero if it is warm; unset if it did
  /// not report it.
  std::optional<Duration> ColdRemaining;
  std::int64_t StartedAtUnixMs = 0; ///< Start of this run, Unix milliseconds.
  std::uint64_t Revision = 0;       ///< Of the record that holds the entry.
};

} // namespace pollenwick

#endif
