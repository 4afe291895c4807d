#ifndef POLLENWICK_CORE_ONCE_TICKETSTORE_H
#define POLLENWICK_CORE_ONCE_TICKETSTORE_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/once/Ticket.h"
#include "pollenwick/Outcome.h"

namespace pollenwick {

/// Limits of the memory for used tickets and their answers.
struct TicketLimits {
  std::size_t MaxTickets = 16'384;            ///< Used tickets, in total.
  std::size_t MaxTicketsPerCustomer = 8'192;  ///< Used tickets per customer.
  std::size_t MaxAnswerBytes = 4'096;         ///< Largest body that is kept.
  std::size_t MaxTotalAnswerBytes = 4U << 20; ///< All kept answers.
  /// Time for which a used ticket is remembered after its expiry. An expired
  /// ticket that is not remembered within this time certainly has not run.
  Duration ExpiryGrace = std::chrono::seconds(30);
};

/// Complete answer of a backend server.
struct TicketAnswer {
  int Status = 0;
  std::string ContentType;
  std::string Body;
};

/// Final result of the call that a ticket permitted.
struct TicketResult {
  Outcome CallOutcome = Outcome::Unknown;
  RefusalReason Reason = RefusalReason::None;
  std::optional<TicketAnswer> Answer; ///< Present only with `Done`.
};

/// Record of a used ticket at its issuer.
struct UsedTicket {
  Digest BodyDigest{};             ///< Digest of the body at first use.
  std::uint32_t CustomerIndex = 0; ///< Index into `TicketStore::Customers`.
  Outcome CallOutcome = Outcome::Unknown;
  RefusalReason Reason = RefusalReason::None;
  bool Running = true;                  ///< The call has no result yet.
  std::unique_ptr<TicketAnswer> Answer; ///< Null if no answer is kept.
};

/// Issues the tickets of one incarnation and records which ones were used.
/// Guarded by one mutex.
struct TicketStore {
  IncarnationId Self;
  MacKey MacSecret{};
  TicketLimits Limits;
  std::uint64_t LastSequence = 0; ///< Of the last issued ticket; zero if none.

  /// Number of used tickets that are remembered for one customer.
  struct CustomerUsage {
    CustomerId Customer;
    std::size_t Tickets = 0;
  };
  /// Time at which a used ticket is forgotten, and its sequence.
  using ExpiryEntry = std::pair<Instant, std::uint64_t>;

  absl::flat_hash_map<std::uint64_t, UsedTicket> UsedTickets; ///< By sequence.
  std::priority_queue<ExpiryEntry, std::vector<ExpiryEntry>, std::greater<>>
      ExpiryQueue;
  std::vector<CustomerUsage> Customers;
  std::size_t AnswerBytes = 0; ///< Total size of the kept answers.
};

/// First use of a ticket: the caller of `claimTicket` must dispatch the call
/// and then call `finishTicket`, even if the call is refused before dispatch.
struct ExecuteTicket {
  std::uint64_t Sequence = 0;
};
/// The call of the first use is still running, so there is no result yet.
struct TicketInProgress {};
/// The call of the first use is done; `Answer` is an exact copy of its answer.
struct ReplayAnswer {
  TicketAnswer Answer;
};
/// Another host issued the ticket, and only its node can verify it.
struct ForwardToIssuer {
  HostId Issuer;
};
using TicketClaimResult = std::variant<ExecuteTicket, TicketInProgress,
                                       ReplayAnswer, Refusal, ForwardToIssuer>;

/// A request that presents a ticket.
struct TicketClaim {
  std::string_view TicketHeader;
  CustomerId Customer; ///< Customer of the API key in the request.
  RouteId Route;
  Digest BodyDigest{};
};

/// Issues a ticket that expires after `Lifetime`. Refuses with `QueueFull` and
/// outcome "not run" while the store has no space to remember another use.
std::variant<Ticket, Refusal> issueTicket(TicketStore &Store,
                                          const CustomerId &, const RouteId &,
                                          Duration Lifetime, Instant Now);

/// Decides on a request with a ticket. Returns `ExecuteTicket` at most once per
/// ticket over all nodes. A refusal is "not run" only if the ticket has not run
/// and never will; in all other cases it is "unknown".
TicketClaimResult claimTicket(TicketStore &Store, const TicketClaim &Claim,
                              Instant Now);

/// Records the result of an executed ticket. After "not run" the ticket cannot
/// be used again. A definite result may replace "unknown", but never another
/// definite result.
void finishTicket(TicketStore &Store, std::uint64_t Sequence,
                  TicketResult Result);

/// Returns the refusal for a request whose ticket's issuer cannot be reached or
/// did not answer. The outcome is always "unknown", because an earlier copy of
/// the request may have run.
Refusal issuerUnreachableRefusal(const HostId &Issuer);

/// Removes the used tickets whose expiry and grace have passed and returns how
/// many it removed.
std::size_t expireTickets(TicketStore &Store, Instant Now);

/// Returns an upper estimate of the heap memory in bytes.
std::size_t memoryOf(const TicketStore &Store);

} // namespace pollenwick

#endif
