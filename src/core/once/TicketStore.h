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

struct TicketLimits {
  std::size_t MaxTickets = 16'384;            ///< Remembered tickets.
  std::size_t MaxTicketsPerCustomer = 8'192;  ///< Of them, for one customer.
  std::size_t MaxAnswerBytes = 4'096;         ///< Largest answer kept.
  std::size_t MaxTotalAnswerBytes = 4U << 20; ///< Bytes of all answers kept.
  /// How long a used ticket is remembered after it expired. Within this time
  /// an expired ticket that is not remembered certainly has not run.
  Duration ExpiryGrace = std::chrono::seconds(30);
};

/// Whole answer of a backend server.
struct TicketAnswer {
  int Status = 0;
  std::string ContentType;
  std::string Body;
};

/// Final result of a ticket.
struct TicketResult {
  Outcome CallOutcome = Outcome::Unknown;
  RefusalReason Reason = RefusalReason::None;
  std::optional<TicketAnswer> Answer; ///< Present only with `Done`.
};

/// What the issuer remembers of a used ticket.
struct UsedTicket {
  Digest BodyDigest{}; ///< Digest of the body at first use.
  std::uint32_t CustomerIndex = 0;
  Outcome CallOutcome = Outcome::Unknown;
  RefusalReason Reason = RefusalReason::None;
  bool Running = true;
  std::unique_ptr<TicketAnswer> Answer; ///< Null: not kept.
};

/// The tickets that one incarnation issued and saw used. Guarded by one mutex.
struct TicketStore {
  IncarnationId Self;
  MacKey MacSecret{};
  TicketLimits Limits;
  std::uint64_t LastSequence = 0;

  struct CustomerUsage {
    CustomerId Customer;
    std::size_t Tickets = 0;
  };
  /// When to forget which sequence.
  using ExpiryEntry = std::pair<Instant, std::uint64_t>;

  absl::flat_hash_map<std::uint64_t, UsedTicket> UsedTickets; ///< By sequence.
  std::priority_queue<ExpiryEntry, std::vector<ExpiryEntry>, std::greater<>>
      ExpiryQueue;
  std::vector<CustomerUsage> Customers;
  std::size_t AnswerBytes = 0;
};

/// The caller of `claimTicket` must dispatch the call and then call
/// `finishTicket`, also when the call is refused before dispatch.
struct ExecuteTicket {
  std::uint64_t Sequence = 0;
};
/// The first use is still running; nothing is known yet.
struct TicketInProgress {};
/// The result of the first use, word for word.
struct ReplayAnswer {
  TicketAnswer Answer;
};
/// Only the node of this host may judge the ticket.
struct ForwardToIssuer {
  HostId Issuer;
};
using TicketClaimResult = std::variant<ExecuteTicket, TicketInProgress,
                                       ReplayAnswer, Refusal, ForwardToIssuer>;

/// A request that presents a ticket.
struct TicketClaim {
  std::string_view TicketHeader;
  CustomerId Customer; ///< Resolved from the request's own key.
  RouteId Route;
  Digest BodyDigest{};
};

/// Refuses with `QueueFull`, not run, while no further use can be remembered.
std::variant<Ticket, Refusal> issueTicket(TicketStore &Store,
                                          const CustomerId &, const RouteId &,
                                          Duration Lifetime, Instant Now);

/// Decides on a request with a ticket. Gives `ExecuteTicket` at most once per
/// ticket over all nodes. A refusal is "not run" only if the ticket has not run
/// and never will; in all other cases it is "unknown".
TicketClaimResult claimTicket(TicketStore &Store, const TicketClaim &Claim,
                              Instant Now);

/// Records the result of an executed ticket. "Not run" spends the ticket for
/// good. A definite result may replace "unknown", never another definite one.
void finishTicket(TicketStore &Store, std::uint64_t Sequence,
                  TicketResult Result);

/// Refusal that a node passes on when the issuer cannot be reached or did not
/// answer. Always "unknown": an earlier copy of the request may have run.
Refusal issuerUnreachableRefusal(const HostId &Issuer);

/// Forgets tickets whose expiry and grace have passed. Returns their number.
std::size_t expireTickets(TicketStore &Store, Instant Now);

/// Upper estimate of the heap bytes held.
std::size_t memoryOf(const TicketStore &Store);

} // namespace pollenwick

#endif
