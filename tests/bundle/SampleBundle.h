#ifndef POLLENWICK_TESTS_BUNDLE_SAMPLE_BUNDLE_H
#define POLLENWICK_TESTS_BUNDLE_SAMPLE_BUNDLE_H

#include <string>

#include "bundle/Digests.h"
#include "pollenwick/Bundle.h"

namespace pollenwick {

/// Returns a valid bundle with three zones, two services and a non-idempotent
/// order route that calls a lookup route.
inline Bundle sampleBundle() {
  Bundle Result;
  Result.Number = Revision(7);
  Result.Services = {{ServiceId("shop"), 20, 200}, {ServiceId("bank"), 5, 50}};
  for (std::uint16_t I = 0; I < 6; ++I) {
    const std::string Service = I % 2 == 0 ? "shop" : "bank";
    HostSpec Host;
    Host.Id = HostId(Service + "-" + std::to_string(I));
    Host.Service = ServiceId(Service);
    Host.Zone = ZoneId("zone-" + std::to_string(I % 3));
    Host.Address = "127.0.0.1";
    Host.CallerPort = static_cast<std::uint16_t>(20001 + I);
    Host.PeerPort = static_cast<std::uint16_t>(20201 + I);
    Host.MembershipPort = static_cast<std::uint16_t>(20401 + I);
    Result.Hosts.push_back(Host);
    if (I < 5)
      Result.Rules.Witnesses.push_back(Host.Id);
  }
  Result.Customers = {
      {CustomerId("first"), MicroTokens{100'500'000}, MicroTokens{30'000'000}},
      {CustomerId("second"), MicroTokens{50'000'000}, MicroTokens{9'000'000},
       3}};
  Result.Keys = {{keyDigest("dev-first"), CustomerId("first")},
                 {keyDigest("dev-second"), CustomerId("second")}};
  Result.Classes = {{ClassId("payment"), 0}, {ClassId("lookup"), 1}};
  RouteSpec Lookup;
  Lookup.Id = RouteId("shop/lookup");
  Lookup.Service = ServiceId("shop");
  Lookup.Class = ClassId("lookup");
  Lookup.Customers = {CustomerId("first")};
  RouteSpec Order;
  Order.Id = RouteId("bank/order");
  Order.Service = ServiceId("bank");
  Order.Class = ClassId("payment");
  Order.Idempotent = false;
  Order.Calls = {{Lookup.Id, 2}};
  Result.Routes = {Lookup, Order};
  return Result;
}

} // namespace pollenwick

#endif
