#include "agent/Ingress.h"

// The part of `Ingress` that counts how requests ended.

namespace pollenwick::agent {

std::string_view Ingress::refusalHop(const Exchange &Item) {
  if (Item.AttemptsSoFar.Placements == 0)
    return "ingress";
  const bool AtServer = Item.AttemptsSoFar.Arrivals > 0 || Item.CurrentCall;
  return AtServer ? "server" : "queue";
}

void Ingress::countOutcome(const Exchange &Item, std::string_view Hop,
                           std::string_view Reason) {
  std::optional<Duration> UntilSent;
  if (Item.FirstSentAt)
    UntilSent = *Item.FirstSentAt - Item.ReceivedAt;
  std::uint32_t MayHaveBegun = 0;
  if (Hop != "answer") {
    // A rejected call has arrived and not begun; a call without a result may
    // have begun.
    if (Item.AttemptsSoFar.MayHaveRun)
      MayHaveBegun += Item.AttemptsSoFar.Arrivals;
    if (Item.CurrentCall)
      ++MayHaveBegun;
  }
  Totals.count({Item.Route ? Item.Route->Name : std::string(),
                Item.Request.Nested ? std::string("(nested)") : Item.Customer,
                Item.Service.Text, std::string(Hop), std::string(Reason)},
               UntilSent, MayHaveBegun);
}

} // namespace pollenwick::agent
