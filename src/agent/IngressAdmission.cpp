#include "agent/Ingress.h"

#include <algorithm>

#include "agent/StringUtil.h"
#include "core/hash/StableHash.h"
#include "core/shedding/RetryAfter.h"

// The part of `Ingress` that routes and admits a request before a server is
// chosen.

namespace pollenwick::agent {

std::vector<std::string>
reservedRequestHeaders(const PlatformAdapter &Protocol) {
  return {Protocol.DeadlineHeader, Protocol.ApiKeyHeader,
          Protocol.CustomerHeader, Protocol.CallerServiceHeader,
          Protocol.ExpectedServerHeader};
}

namespace {

/// Time limit of a request for which the caller sets no deadline. The timeout
/// of its route may shorten it.
constexpr Duration DefaultTimeout = std::chrono::seconds(10);
constexpr Duration RetryAfterNoConfiguration = std::chrono::milliseconds(300);

/// Nodes count the crashes of a request under its fingerprint, so it must be
/// the same at every node. The same request of another customer may have other
/// effects.
std::uint64_t fingerprintOf(const CallRequest &Request,
                            const std::string &Customer) {
  return stableHash(
      {Request.Method, Request.Target, Request.Body.view(), Customer});
}

} // namespace

bool Ingress::admit(Exchange &Item, const CallerRequest &Request,
                    Refusal &Details) {
  if (!Item.Rules) {
    Details = {503, "no-configuration-yet",
               addJitter(RetryAfterNoConfiguration)};
    return false;
  }
  const std::string_view Host = headerValue(Request.Headers, "Host");
  Item.Route = findRoute(*Item.Rules, Host, Request.Target);
  if (!Item.Route || Item.Route->Services.empty()) {
    Details = {404, "no-route", {}};
    return false;
  }
  if (Item.Request.RequestId.empty()) {
    Details = {400, "no-request-id", {}};
    return false;
  }
  const std::string_view Key =
      headerValue(Request.Headers, Protocol.ApiKeyHeader);
  // Calls made by a backend server carry no API key and use public routes.
  Item.Request.Nested = Item.Route->Public && Key.empty();
  Item.Request.Rank = dispatchRank(0, Item.Route->Priority);
  const auto TimeLeft =
      parseInteger(headerValue(Request.Headers, Protocol.DeadlineHeader));
  Duration Time = TimeLeft
                      ? Duration(std::chrono::milliseconds(
                            std::clamp<std::int64_t>(*TimeLeft, 0, 3'600'000)))
                      : DefaultTimeout;
  if (Item.Route->Timeout.count() > 0)
    Time = std::min(Time, Item.Route->Timeout);
  Item.Deadline = limitDeadline(Stop, Item.ReceivedAt + Time);
  if (Stop && !mayEndBeforeStop(*Item.Route)) {
    Details = {503, NodeStoppingCause, addJitter(RetryAfterStop)};
    return false;
  }
  Item.Service = Split.next(*Item.Route);
  if (Item.Request.Nested) {
    Fleet.countNestedCall(Item.Service);
    return true;
  }
  return admitCustomer(Item, Request, Details);
}

bool Ingress::mayEndBeforeStop(const RouteRule &Route) const {
  const auto Found = MeanAnswerMicros.find(Route.Name);
  const Duration UsualTime =
      Found == MeanAnswerMicros.end()
          ? Duration{}
          : Duration(static_cast<std::int64_t>(Found->second));
  return pollenwick::mayEndBeforeStop(*Stop, UsualTime, Loop.now());
}

bool Ingress::admitCustomer(Exchange &Item, const CallerRequest &Request,
                            Refusal &Details) {
  const CustomerRule *Customer = nullptr;
  if (!Item.Route->Public && !Item.Rules->Source.Customers.empty()) {
    const std::string_view Key =
        headerValue(Request.Headers, Protocol.ApiKeyHeader);
    Customer = Key.empty() ? nullptr : findCustomer(*Item.Rules, Key);
    if (!Customer) {
      Details = {401, "unknown-key", {}};
      return false;
    }
    Item.Customer = Customer->Customer.Text;
    Item.CustomerPriority = Customer->Priority;
    Item.Request.Rank = dispatchRank(Customer->Priority, Item.Route->Priority);
  }
  if (ServerDirectory.allEvacuated(Item.Service)) {
    // The plan would refuse it too, but as an overload.
    Details = {503, ZoneEvacuatedCause, retryAfterRefusal(Item)};
    return false;
  }
  Fleet.countRequest(*Item.Route, Item.Service, Loop.now());
  std::uniform_real_distribution<double> Draw(0, 1);
  if (Draw(Random) >= Fleet.admittedFraction(*Item.Route, Item.CustomerPriority,
                                             Item.Customer)) {
    Fleet.countOffered(*Item.Route, Item.CustomerPriority, Item.Customer,
                       false);
    Details = {503, "overload", retryAfterRefusal(Item)};
    return false;
  }
  if (Customer &&
      Fleet.consumeQuota(*Customer, Loop.now()) == QuotaDecision::Refuse) {
    Details = {429, "over-rate", addJitter(Fleet.retryAfter(*Customer))};
    return false;
  }
  Fleet.countOffered(*Item.Route, Item.CustomerPriority, Item.Customer, true);
  return true;
}

Duration Ingress::retryAfterRefusal(const Exchange &Item) {
  RefusedRequest Request;
  if (Item.Route->LatencyTarget.count() > 0)
    Request.TargetLeft =
        Item.ReceivedAt + Item.Route->LatencyTarget - Loop.now();
  Request.TimeLeft = Item.Deadline - Loop.now();
  const auto Found = MeanAnswerMicros.find(Item.Route->Name);
  if (Found != MeanAnswerMicros.end())
    Request.UsualTime = Duration(static_cast<std::int64_t>(Found->second));
  Request.AdmittedShare =
      Fleet.admittedFraction(*Item.Route, Item.CustomerPriority, Item.Customer);
  Request.Rank = Item.Request.Rank;
  return pollenwick::retryAfter(Request, Random);
}

void Ingress::buildCall(Exchange &Item, CallerRequest &&Request) {
  CallRequest &Call = Item.Request;
  Call.Route = Item.Route->Name;
  Call.Deadline = Item.Deadline;
  Call.LatencyTarget = Item.Route->LatencyTarget;
  Call.Retryable = Item.Route->Safety == RetrySafety::Safe;
  Call.Method = std::move(Request.Method);
  Call.Target = std::move(Request.Target);
  Call.Headers = forwardedHeaders(Request.Headers, StrippedHeaders);
  appendAll(Call.Headers, Protocol.CallerServiceHeader, ": ",
            Options.Service.Text, "\r\n");
  if (!Item.Customer.empty())
    appendAll(Call.Headers, Protocol.CustomerHeader, ": ", Item.Customer,
              "\r\n");
  Call.Body = std::move(Request.Body);
  Call.Fingerprint = fingerprintOf(Call, Item.Customer);
}

} // namespace pollenwick::agent
