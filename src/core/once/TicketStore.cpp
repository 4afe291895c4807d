#include "core/once/TicketStore.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pollenwick {
namespace {

// Tickets expire continuously and free space, so a short wait is enough.
constexpr Duration StoreFullRetryAfter = std::chrono::seconds(1);

Refusal makeRefusal(Outcome Result, RefusalReason Reason, std::string Message) {
  return {Result, Reason, std::nullopt, std::move(Message)};
}

std::uint32_t customerIndex(TicketStore &Store, const CustomerId &Customer) {
  const auto It = std::ranges::find(Store.Customers, Customer,
                                    &TicketStore::CustomerUsage::Customer);
  const auto Slot = static_cast<std::uint32_t>(It - Store.Customers.begin());
  if (It == Store.Customers.end())
    Store.Customers.push_back({Customer, 0});
  return Slot;
}

bool isFull(const TicketStore &Store, const CustomerId &Customer) {
  if (Store.UsedTickets.size() >= Store.Limits.MaxTickets)
    return true;
  const auto It = std::ranges::find(Store.Customers, Customer,
                                    &TicketStore::CustomerUsage::Customer);
  return It != Store.Customers.end() &&
         It->Tickets >= Store.Limits.MaxTicketsPerCustomer;
}

std::size_t answerBytes(const TicketAnswer &Answer) {
  return sizeof(TicketAnswer) + Answer.ContentType.size() + Answer.Body.size();
}

TicketClaimResult claimUsedTicket(const UsedTicket &Used,
                                  const TicketClaim &Claim) {
  // The call with the first body may have run. On "not run", the caller would
  // ask for a new ticket and could run its call twice.
  if (Used.BodyDigest != Claim.BodyDigest)
    return makeRefusal(
        Outcome::Unknown, RefusalReason::TicketUsed,
        "ticket was used with another body; resend the first body "
        "to learn its result");
  if (Used.Running)
    return TicketInProgress{};
  if (Used.Answer)
    return ReplayAnswer{*Used.Answer};
  switch (Used.CallOutcome) {
  case Outcome::Done:
    return makeRefusal(
        Outcome::Unknown, RefusalReason::TicketUsed,
        "ticket was used and its answer is not kept; read the state "
        "from the service");
  case Outcome::NotRun:
    return makeRefusal(
        Outcome::NotRun, Used.Reason,
        "ticket was used and the call did not run; ask for a new "
        "ticket");
  case Outcome::Unknown:
    break;
  }
  return makeRefusal(
      Outcome::Unknown, Used.Reason,
      "ticket was used and the result of the call is unknown; read "
      "the state from the service");
}

Refusal refuseExpiredTicket(const TicketStore &Store, const Ticket &Presented,
                            Instant Now) {
  if (Now < Presented.Expiry + Store.Limits.ExpiryGrace)
    return makeRefusal(Outcome::NotRun, RefusalReason::TicketInvalid,
                       "ticket expired unused; ask for a new ticket");
  return makeRefusal(
      Outcome::Unknown, RefusalReason::TicketInvalid,
      "ticket expired too long ago to tell whether it was used; read "
      "the state from the service");
}

} // namespace

std::variant<Ticket, Refusal> issueTicket(TicketStore &Store,
                                          const CustomerId &Customer,
                                          const RouteId &Route,
                                          Duration Lifetime, Instant Now) {
  if (isFull(Store, Customer)) {
    Refusal FullRefusal = makeRefusal(
        Outcome::NotRun, RefusalReason::QueueFull,
        "no ticket for tenant " + Customer.Text +
            ": the limit of remembered tickets is reached; retry later");
    FullRefusal.RetryAfter = StoreFullRetryAfter;
    return FullRefusal;
  }
  Ticket Issued{Store.Self, ++Store.LastSequence, Customer,
                Route,      Now + Lifetime,       {}};
  Issued.AuthTag = computeTicketMac(Store.MacSecret, Issued);
  return Issued;
}

TicketClaimResult claimTicket(TicketStore &Store, const TicketClaim &Claim,
                              Instant Now) {
  const std::optional<Ticket> Presented = parseTicket(Claim.TicketHeader);
  // A damaged ticket may be the copy of a used one, so every refusal of a
  // ticket that is not verified has the outcome "unknown".
  if (!Presented)
    return makeRefusal(
        Outcome::Unknown, RefusalReason::TicketInvalid,
        "Pollenwick-Ticket is malformed; resend the ticket as issued");
  if (Presented->Customer != Claim.Customer || Presented->Route != Claim.Route)
    return makeRefusal(Outcome::Unknown, RefusalReason::TicketInvalid,
                       "ticket is for tenant " + Presented->Customer.Text +
                           " and route " + Presented->Route.Text +
                           "; use it with these only");
  if (Presented->Issuer.Host != Store.Self.Host)
    return ForwardToIssuer{Presented->Issuer.Host};
  if (Presented->Issuer.Start != Store.Self.Start)
    return makeRefusal(
        Outcome::Unknown, RefusalReason::IssuerGone,
        "the process that issued the ticket is gone; read the state "
        "from the service");
  if (!verifyTicketMac(Store.MacSecret, *Presented))
    return makeRefusal(Outcome::Unknown, RefusalReason::TicketInvalid,
                       "ticket fails its check; resend the ticket as issued");
  const auto Used = Store.UsedTickets.find(Presented->Sequence);
  if (Used != Store.UsedTickets.end())
    return claimUsedTicket(Used->second, Claim);
  if (Now >= Presented->Expiry)
    return refuseExpiredTicket(Store, *Presented, Now);
  if (isFull(Store, Claim.Customer)) {
    // The ticket stays usable and may run later, so the outcome is not
    // "not run".
    Refusal FullRefusal =
        makeRefusal(Outcome::Unknown, RefusalReason::QueueFull,
                    "the limit of remembered tickets is reached; resend "
                    "the same ticket later");
    FullRefusal.RetryAfter = StoreFullRetryAfter;
    return FullRefusal;
  }
  UsedTicket NewEntry;
  NewEntry.BodyDigest = Claim.BodyDigest;
  NewEntry.CustomerIndex = customerIndex(Store, Claim.Customer);
  ++Store.Customers[NewEntry.CustomerIndex].Tickets;
  Store.UsedTickets.emplace(Presented->Sequence, std::move(NewEntry));
  Store.ExpiryQueue.push(
      {Presented->Expiry + Store.Limits.ExpiryGrace, Presented->Sequence});
  return ExecuteTicket{Presented->Sequence};
}

void finishTicket(TicketStore &Store, std::uint64_t Sequence,
                  TicketResult Result) {
  assert(Result.CallOutcome == Outcome::Done || !Result.Answer);
  const auto It = Store.UsedTickets.find(Sequence);
  if (It == Store.UsedTickets.end())
    return;
  UsedTicket &Used = It->second;
  if (!Used.Running && Used.CallOutcome != Outcome::Unknown)
    return;
  Used.Running = false;
  Used.CallOutcome = Result.CallOutcome;
  Used.Reason = Result.Reason;
  if (!Result.Answer)
    return;
  const std::size_t Bytes = answerBytes(*Result.Answer);
  if (Result.Answer->Body.size() > Store.Limits.MaxAnswerBytes ||
      Store.AnswerBytes + Bytes > Store.Limits.MaxTotalAnswerBytes)
    return;
  Store.AnswerBytes += Bytes;
  Used.Answer = std::make_unique<TicketAnswer>(*std::move(Result.Answer));
}

Refusal issuerUnreachableRefusal(const HostId &Issuer) {
  return makeRefusal(
      Outcome::Unknown, RefusalReason::IssuerGone,
      "host " + Issuer.Text +
          ", which issued the ticket, does not answer; resend the "
          "same ticket later");
}

std::size_t expireTickets(TicketStore &Store, Instant Now) {
  std::size_t Forgotten = 0;
  while (!Store.ExpiryQueue.empty() && Store.ExpiryQueue.top().first <= Now) {
    const auto It = Store.UsedTickets.find(Store.ExpiryQueue.top().second);
    Store.ExpiryQueue.pop();
    assert(It != Store.UsedTickets.end());
    if (It->second.Answer)
      Store.AnswerBytes -= answerBytes(*It->second.Answer);
    --Store.Customers[It->second.CustomerIndex].Tickets;
    Store.UsedTickets.erase(It);
    ++Forgotten;
  }
  return Forgotten;
}

std::size_t memoryOf(const TicketStore &Store) {
  using Slot = std::pair<const std::uint64_t, UsedTicket>;
  // The hash map has one control byte per slot. The storage of the expiry queue
  // doubles when it grows, so its capacity is at most twice its size.
  return Store.UsedTickets.capacity() * (sizeof(Slot) + 1) +
         2 * Store.ExpiryQueue.size() * sizeof(TicketStore::ExpiryEntry) +
         Store.Customers.capacity() * sizeof(TicketStore::CustomerUsage) +
         Store.AnswerBytes;
}

} // namespace pollenwick
