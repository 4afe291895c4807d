#ifndef POLLENWICK_PEER_CALLS_H
#define POLLENWICK_PEER_CALLS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pollenwick/Ids.h"
#include "pollenwick/Outcome.h"
#include "pollenwick/Time.h"

namespace pollenwick {

struct HeaderField {
  std::string Name;
  std::string Value;
};

/// Admission level of one service, as it travels between nodes; indexes of
/// services differ between bundles, so it goes by name.
struct ServiceThreshold {
  ServiceId Service;
  std::uint32_t CustomerLevel = 0;
  std::uint32_t CommonLevel = 0;
  Duration Age{};
};

/// What a callee node tells about its load with each reply.
struct LoadReport {
  bool Known = false; ///< False: the reply was not made by a callee node.
  bool Draining = false;
  std::uint32_t InFlight = 0;
  Duration QueueDelay{};
  std::vector<ServiceThreshold> Thresholds;
};

/// A call between the node that decided to run it and its callee node.
struct CallRequest {
  IncarnationId Caller;
  CallId Id;
  RouteId Route;
  std::string Method;
  std::string PathAndQuery;
  CustomerId Customer; ///< Empty on open routes without a key.
  ClassId Class;
  RootId Root;
  std::uint64_t Hash = 0; ///< Same for all calls of one root request.
  Instant Deadline;
  Instant AdmittedAt; ///< When the root request was admitted at its ingress.
  std::uint32_t Allowance = 0;
  Digest BodyDigest{};
  KeyDigest Key;
  Revision DecisionRevision;
  bool HasKey = false;
  bool SubCall = false;
  std::vector<HeaderField> Headers;
  std::string Body;
};

struct CallReply {
  Outcome Result = Outcome::NotRun;
  RefusalReason Reason = RefusalReason::None;
  std::string Message;
  std::uint16_t Status = 0;
  std::vector<HeaderField> Headers;
  std::string Body;
  std::uint32_t UnusedAllowance = 0;
  Duration RetryAfter{};
  Duration BackendDuration{}; ///< Of the exchange with the backend server.
  bool Suspect = false;       ///< The backend server crashed during the call.
  /// When set, only this host may run the call for now.
  HostId RequiredHost;
  LoadReport Load;
};

/// Reply for a call that was refused, or whose fate is not known.
CallReply refuse(Outcome Result, RefusalReason Reason, std::string Message,
                 Duration RetryAfter = Duration::zero());

/// The reply that tells a caller about a refusal.
CallReply refuse(const Refusal &Refused);

/// First header of that name, compared without case; nullptr when absent.
const std::string *findHeader(const std::vector<HeaderField> &Headers,
                              std::string_view Name);

/// True for headers that belong to one connection or to this system, and are
/// therefore not passed on.
bool isHopByHopHeader(std::string_view Name);

} // namespace pollenwick

#endif
