#ifndef POLLENWICK_OUTCOME_H
#define POLLENWICK_OUTCOME_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "pollenwick/Time.h"

namespace pollenwick {

/// What is known about the execution of a call.
enum class Outcome : std::uint8_t {
  Done,    ///< A backend server ran the call and its answer is complete.
  NotRun,  ///< The call has not run and will not run.
  Unknown, ///< The call may have run, may be running or may run later.
};

/// Why a call was refused.
enum class RefusalReason : std::uint8_t {
  None,
  UnknownKey,
  RouteNotAllowed,
  UnknownRoute,
  TicketNeeded,
  TicketInvalid,
  TicketUsed,
  IssuerGone,
  OverRate,
  Shed,
  Draining,
  NoViewLease,
  NoBundle,
  NoBackendServer,
  DeadlineExceeded,
  RetriesExhausted,
  Quarantined,
  QueueFull,
  BodyTooLarge,
  BadRequest,
  BackendServerLost,
  PeerLost,
  EdgeNotDeclared,
  Cancelled,
};

/// A refusal as the caller receives it.
struct Refusal {
  Outcome Result = Outcome::NotRun;
  RefusalReason Reason = RefusalReason::None;
  std::optional<Duration> RetryAfter; ///< Unset: no retry time is suggested.
  std::string Message; ///< Names the offending value and the remedy.
};

/// Returns the value of the `Pollenwick-Outcome` header.
std::string_view outcomeText(Outcome Result);
/// Returns the value of the `Pollenwick-Reason` header.
std::string_view reasonText(RefusalReason Reason);
/// Returns the HTTP status of a refusal.
int httpStatus(RefusalReason Reason);

} // namespace pollenwick

#endif
