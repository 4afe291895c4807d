#include <catch2/catch.hpp>

#include "core/rules/RouteTable.h"

using namespace pollenwick;

namespace {

RouteRule route(std::string Name, std::string Prefix,
                std::vector<WeightedService> Services) {
  RouteRule Rule;
  Rule.Name = std::move(Name);
  Rule.Host = "stock.example";
  Rule.PathPrefix = std::move(Prefix);
  Rule.Services = std::move(Services);
  return Rule;
}

} // namespace

TEST_CASE("A request goes to the route with the longest prefix", "[rules]") {
  // Guards against a route with a shorter prefix that takes the requests of one
  // with a longer prefix.
  Rules Source;
  Source.Routes = {route("wide", "/a/", {{ServiceId("one"), 1}}),
                   route("narrow", "/a/b/", {{ServiceId("two"), 1}})};
  Source.Customers = {{CustomerId("parish-7"), {"key-1"}, -1, 10, 10}};
  RouteTable Table;
  indexRules(Table, std::move(Source));

  SECTION("the longest prefix wins in any order of the routes") {
    CHECK(findRoute(Table, "stock.example", "/a/b/7")->Name == "narrow");
    CHECK(findRoute(Table, "stock.example", "/a/c")->Name == "wide");
  }
  SECTION("the query and the port are ignored") {
    CHECK(findRoute(Table, "stock.example:80", "/a/x?y=/a/b/")->Name == "wide");
  }
  SECTION("other hosts and paths have no route") {
    CHECK(findRoute(Table, "other.example", "/a/") == nullptr);
    CHECK(findRoute(Table, "stock.example", "/ab/") == nullptr);
  }
  SECTION("a key identifies its customer") {
    CHECK(findCustomer(Table, "key-1")->Customer.Text == "parish-7");
    CHECK(findCustomer(Table, "key-2") == nullptr);
  }
}

TEST_CASE("Weighted requests follow the weights in every part of the sequence",
          "[rules]") {
  // Guards against services that get their share only in the long run.
  const RouteRule Rule =
      route("split", "/", {{ServiceId("one"), 90}, {ServiceId("two"), 10}});
  WeightedRoundRobin Split(7);
  for (int Stretch = 0; Stretch < 20; ++Stretch) {
    int Two = 0;
    for (int I = 0; I < 100; ++I)
      Two += Split.next(Rule).Text == "two" ? 1 : 0;
    CHECK(Two >= 9);
    CHECK(Two <= 11);
  }
}
