#ifndef POLLENWICK_BUNDLE_H
#define POLLENWICK_BUNDLE_H

#include <cstdint>
#include <string>
#include <vector>

#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"
#include "pollenwick/Tokens.h"

namespace pollenwick {

/// A service and the capacity of each of its backend servers.
struct ServiceSpec {
  ServiceId Id;
  std::uint32_t Slots = 1;       ///< Concurrent calls per backend server.
  std::uint32_t Connections = 1; ///< Open connections per backend server.
};

/// A host that runs one backend server and one node, with the node's ports.
struct HostSpec {
  HostId Id;
  ServiceId Service;
  ZoneId Zone;
  std::string Address; ///< IP address, without a port.
  std::uint16_t CallerPort = 0;
  std::uint16_t PeerPort = 0;
  std::uint16_t MembershipPort = 0;
};

/// A customer with its quota and its share under overload.
struct CustomerSpec {
  CustomerId Id;
  MicroTokens RatePerSecond; ///< Quota per second over the whole fleet.
  MicroTokens Burst;         ///< Largest burst over the whole fleet.
  std::uint32_t Weight = 1;  ///< Relative share under overload, 1 to 1000.
};

/// Assigns a caller's key to a customer.
struct KeySpec {
  KeyDigest Key;
  CustomerId Customer;
};

/// A priority class of routes.
struct ClassSpec {
  ClassId Id;
  std::uint32_t Rank = 0; ///< Shedding order; rank 0 is shed last.
};

/// Declares that a call of a route makes sub-calls to another route.
struct EdgeSpec {
  RouteId Route;
  std::uint32_t Count =
      1; ///< Sub-calls per call; further ones count as retries.
};

/// A route of a service: who may call it and which sub-calls it makes.
struct RouteSpec {
  RouteId Id;
  ServiceId Service;
  ClassId Class;
  bool Idempotent = true;
  bool Open = false;                 ///< Callers need no key.
  bool Internal = false;             ///< Reachable as a sub-call only.
  std::vector<CustomerId> Customers; ///< Allowed customers; empty: all.
  std::vector<EdgeSpec> Calls;
  Duration Deadline = std::chrono::seconds(2);
};

/// Fleet-wide limits, lease lengths and the set of witnesses.
struct Policy {
  std::uint32_t RetryAllowance = 3; ///< Retries per root request.
  std::uint32_t RetryRatioPermille =
      100; ///< Retries per 1000 calls, per service.
  Duration ViewLease = std::chrono::seconds(5);
  Duration QuotaLease = std::chrono::milliseconds(500);
  Duration TicketLifetime = std::chrono::seconds(60);
  Duration QuarantineTime = std::chrono::minutes(10);
  std::uint32_t MaxBodyBytes = 8U << 20;
  std::vector<HostId> Witnesses;
};

/// The complete rules of a deployment. Immutable once accepted.
struct Bundle {
  Revision Number;
  Digest
      Parent{}; ///< Root digest of the preceding revision; zero for the first.
  std::vector<ServiceSpec> Services;
  std::vector<HostSpec> Hosts;
  std::vector<CustomerSpec> Customers;
  std::vector<KeySpec> Keys;
  std::vector<ClassSpec> Classes;
  std::vector<RouteSpec> Routes;
  Policy Rules;
};

} // namespace pollenwick

#endif
