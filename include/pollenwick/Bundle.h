#ifndef POLLENWICK_BUNDLE_H
#define POLLENWICK_BUNDLE_H

#include <cstdint>
#include <string>
#include <vector>

#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"
#include "pollenwick/Tokens.h"

namespace pollenwick {

struct ServiceSpec {
  ServiceId Id;
  std::uint32_t Slots = 1;       ///< Concurrent calls per backend server.
  std::uint32_t Connections = 1; ///< Open connections per backend server.
};

/// One backend server host and the node beside it.
struct HostSpec {
  HostId Id;
  ServiceId Service;
  ZoneId Zone;
  std::string Address; ///< IP number.
  std::uint16_t CallerPort = 0;
  std::uint16_t PeerPort = 0;
  std::uint16_t MembershipPort = 0;
};

struct CustomerSpec {
  CustomerId Id;
  MicroTokens RatePerSecond; ///< Over the whole fleet.
  MicroTokens Burst;         ///< Over the whole fleet.
  std::uint32_t Weight = 1;  ///< Share under overload, 1 to 1000.
};

struct KeySpec {
  KeyDigest Key;
  CustomerId Customer;
};

struct ClassSpec {
  ClassId Id;
  std::uint32_t Rank = 0; ///< 0 is shed last.
};

/// Declares that a call of a route makes sub-calls to another route.
struct EdgeSpec {
  RouteId Route;
  std::uint32_t Count = 1; ///< Sub-calls per call; more of them are retries.
};

struct RouteSpec {
  RouteId Id;
  ServiceId Service;
  ClassId Class;
  bool Idempotent = true;
  bool Open = false;                 ///< Served without a key.
  bool Internal = false;             ///< Only reachable as a sub-call.
  std::vector<CustomerId> Customers; ///< Empty: all customers.
  std::vector<EdgeSpec> Calls;
  Duration Deadline = std::chrono::seconds(2);
};

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

/// The rules of a deployment. A value: never changed after it was accepted.
struct Bundle {
  Revision Number;
  Digest
      Parent{}; ///< Root digest of the revision it follows; zero for the first.
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
