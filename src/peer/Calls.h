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

/// One HTTP header field.
struct HeaderField {
  std::string Name;
  std::string Value;
};

/// Admission levels of one service in a load report. The service is identified
/// by name, since service indexes differ between bundle revisions.
struct ServiceThreshold {
  ServiceId Service;
  std::uint32_t CustomerLevel = 0;
  std::uint32_t CommonLevel = 0;
  Duration Age{}; ///< Time since the callee node computed the levels.
};

/// Load of a callee node, which the node includes in each reply.
struct LoadReport {
  /// False if the reply was not created by a callee node.
  bool Known = false;
  bool Draining = false;
  std::uint32_t InFlight = 0;
  Duration QueueDelay{};
  std::vector<ServiceThreshold> Thresholds;
};

/// A call that a node sends to the callee node that it selected.
struct CallRequest {
  IncarnationId Caller;
  CallId Id;
  RouteId Route;
  std::string Method;
  std::string PathAndQuery;
  CustomerId Customer; ///< Empty for a call to an open route without a key.
  ClassId Class;
  RootId Root;
  /// Hash that all calls of one root request share. Load shedding uses it to
  /// admit or refuse these calls consistently.
  std::uint64_t Hash = 0;
  Instant Deadline;
  Instant AdmittedAt; ///< Time at which the ingress admitted the root request.
  /// Number of retries that the call and its sub-calls may still consume.
  std::uint32_t Allowance = 0;
  Digest BodyDigest{};
  KeyDigest Key;
  /// Bundle revision that the calling node used to route the call.
  Revision DecisionRevision;
  bool HasKey = false;
  bool SubCall = false;
  std::vector<HeaderField> Headers;
  std::string Body;
};

/// Reply of a callee node to a call, or the error that replaces it.
struct CallReply {
  Outcome Result = Outcome::NotRun;
  RefusalReason Reason = RefusalReason::None;
  std::string Message;
  std::uint16_t Status = 0;
  std::vector<HeaderField> Headers;
  std::string Body;
  /// Number of retries of the allowance that the call did not consume.
  std::uint32_t UnusedAllowance = 0;
  /// Time to wait before a retry; zero if the reply gives none.
  Duration RetryAfter{};
  /// Duration of the exchange with the backend server.
  Duration BackendDuration{};
  /// True if the backend server crashed during the call.
  bool Suspect = false;
  /// The only host that may currently run the call. Empty if any host may run
  /// it.
  HostId RequiredHost;
  LoadReport Load;
};

/// Creates the reply for a call that was refused or whose outcome is unknown.
/// Sets the HTTP status for `Reason`.
CallReply refuse(Outcome Result, RefusalReason Reason, std::string Message,
                 Duration RetryAfter = Duration::zero());

/// Creates the reply that reports a refusal to the caller.
CallReply refuse(const Refusal &Refused);

/// Returns the value of the first header with the given name, which is compared
/// case-insensitively, or nullptr if there is none.
const std::string *findHeader(const std::vector<HeaderField> &Headers,
                              std::string_view Name);

/// Returns true for headers that must not be forwarded, because they apply to a
/// single connection or are specific to this system.
bool isHopByHopHeader(std::string_view Name);

} // namespace pollenwick

#endif
