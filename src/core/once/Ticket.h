#ifndef POLLENWICK_CORE_ONCE_TICKET_H
#define POLLENWICK_CORE_ONCE_TICKET_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "pollenwick/Ids.h"
#include "pollenwick/Time.h"

namespace pollenwick {

/// Secret key of one incarnation, generated at start and never stored or sent.
using MacKey = std::array<std::uint8_t, 32>;
/// HMAC-SHA256 value.
using Mac = std::array<std::uint8_t, 32>;

/// Permission to run one non-idempotent call once. Only the node that issued
/// the ticket can verify and accept it.
struct Ticket {
  IncarnationId Issuer;
  std::uint64_t Sequence = 0; ///< Unique within the issuer, from 1.
  CustomerId Customer;
  RouteId Route;
  Instant Expiry; ///< On the issuer's clock; meaningless to other nodes.
  Mac AuthTag{};  ///< HMAC-SHA256 over all other fields.
};

/// Longest accepted text form, in bytes.
inline constexpr std::size_t MaxTicketTextBytes = 1024;

/// Computes the HMAC-SHA256 of the ticket's fields other than `AuthTag`.
Mac computeTicketMac(const MacKey &Key, const Ticket &Subject);

/// Returns whether `AuthTag` matches the other fields. Compares in constant
/// time.
bool verifyTicketMac(const MacKey &Key, const Ticket &Subject);

/// Returns the text form of a ticket for the `Pollenwick-Ticket` header.
std::string encodeTicket(const Ticket &Subject);

/// Parses the text form. Returns nothing if the text is malformed. Does not
/// check the MAC.
std::optional<Ticket> parseTicket(std::string_view Text);

} // namespace pollenwick

#endif
