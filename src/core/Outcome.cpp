#include "pollenwick/Outcome.h"

#include <array>

namespace pollenwick {
namespace {

struct ReasonRow {
  RefusalReason Reason;
  std::string_view Text;
  int Status;
};

constexpr std::array ReasonRows{
    ReasonRow{RefusalReason::None, "none", 200},
    ReasonRow{RefusalReason::UnknownKey, "unknown-key", 401},
    ReasonRow{RefusalReason::RouteNotAllowed, "route-not-allowed", 403},
    ReasonRow{RefusalReason::UnknownRoute, "unknown-route", 404},
    ReasonRow{RefusalReason::TicketNeeded, "ticket-needed", 428},
    ReasonRow{RefusalReason::TicketInvalid, "ticket-invalid", 428},
    ReasonRow{RefusalReason::TicketUsed, "ticket-used", 409},
    ReasonRow{RefusalReason::IssuerGone, "issuer-gone", 409},
    ReasonRow{RefusalReason::OverRate, "over-rate", 429},
    ReasonRow{RefusalReason::Shed, "shed", 503},
    ReasonRow{RefusalReason::Draining, "draining", 503},
    ReasonRow{RefusalReason::NoViewLease, "no-view-lease", 503},
    ReasonRow{RefusalReason::NoBundle, "no-bundle", 503},
    ReasonRow{RefusalReason::NoBackendServer, "no-backend-server", 503},
    ReasonRow{RefusalReason::DeadlineExceeded, "deadline-exceeded", 504},
    ReasonRow{RefusalReason::RetriesExhausted, "retries-exhausted", 503},
    ReasonRow{RefusalReason::Quarantined, "quarantined", 503},
    ReasonRow{RefusalReason::QueueFull, "queue-full", 503},
    ReasonRow{RefusalReason::BodyTooLarge, "body-too-large", 413},
    ReasonRow{RefusalReason::BadRequest, "bad-request", 400},
    ReasonRow{RefusalReason::BackendServerLost, "backend-server-lost", 502},
    ReasonRow{RefusalReason::PeerLost, "peer-lost", 502},
    ReasonRow{RefusalReason::EdgeNotDeclared, "edge-not-declared", 403},
    ReasonRow{RefusalReason::Cancelled, "cancelled", 503},
};

// The rows are in the order of the enumeration, so the reason is the index.
const ReasonRow &rowOf(RefusalReason Reason) {
  return ReasonRows.at(static_cast<std::size_t>(Reason));
}

} // namespace

std::string_view outcomeText(Outcome Result) {
  switch (Result) {
  case Outcome::Done:
    return "done";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view reasonText(RefusalReason Reason) { return rowOf(Reason).Text; }

int httpStatus(RefusalReason Reason) { return rowOf(Reason).Status; }

} // namespace pollenwick
