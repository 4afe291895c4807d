#include <catch2/catch.hpp>

#include <future>
#include <string_view>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "node/Callee.h"
#include "peer/Clock.h"

using namespace pollenwick;

namespace {

constexpr std::string_view Answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

RouteSpec openRoute(const char *Name, const char *Class) {
  RouteSpec Route;
  Route.Id = RouteId(std::string("cobros/") + Name);
  Route.Service = ServiceId("cobros");
  Route.Class = ClassId(Class);
  Route.Open = true;
  return Route;
}

BundlePtr bundleWithRanks(std::uint64_t Number, std::uint32_t Deposits,
                          std::uint32_t Lookups) {
  Bundle Rules;
  Rules.Number = Revision(Number);
  Rules.Services = {{ServiceId("cobros"), 4, 4}};
  Rules.Hosts = {{HostId("cobros-1"), ServiceId("cobros"), ZoneId("heredia"),
                  "127.0.0.1", 1, 2, 3}};
  Rules.Customers = {{CustomerId("casa-azul"), OneToken, OneToken, 1}};
  Rules.Classes = {{ClassId("deposit"), Deposits},
                   {ClassId("lookup"), Lookups}};
  Rules.Routes = {openRoute("deposit", "deposit"), openRoute("list", "lookup")};
  RevisionPointer Head;
  Head.Number = Revision(Number);
  return buildActiveBundle(std::move(Rules), Head);
}

} // namespace

TEST_CASE("A running call keeps its slot when a new bundle reorders classes",
          "[node]") {
  // Guards against a slot count that falls below zero: when a new bundle
  // changed the rank of a class during a call, the slot was taken under the old
  // rank and freed under the new one.
  Poco::Net::ServerSocket Server(Poco::Net::SocketAddress("127.0.0.1", 0));
  const IncarnationId Self{HostId("cobros-1"), StartId(1)};
  ComponentRegistry Registry;
  Counters NodeCounters;
  ViewService View(Self.Host);
  BundleStore Bundles;
  PeerTransport Peers({}, 1);
  AdmissionService Admission;
  RunningCallService Running;
  BackendClient Backend({"127.0.0.1", Server.address().port()}, 4, 1000);
  Registry.add("counters", NodeCounters);
  Registry.add("view", View);
  Registry.add("bundles", Bundles);
  Registry.add("peers", Peers);
  Registry.add("admission", Admission);
  Registry.add("running", Running);
  Registry.add("backend", Backend);
  CrashService Crashes(Self, Registry);
  Registry.add("crashes", Crashes);
  Callee LocalCallee(Self.Host, 4, 16, Registry);
  Bundles.subscribe([&](const BundlePtr &, const BundlePtr &New) {
    Admission.onBundle(New);
    LocalCallee.onBundle(New);
  });
  Bundles.replace(bundleWithRanks(1, 0, 50));

  CallRequest Call;
  Call.Route = RouteId("cobros/deposit");
  Call.Class = ClassId("deposit");
  Call.Method = "GET";
  Call.PathAndQuery = "/cobros/deposit";
  Call.AdmittedAt = now();
  Call.Deadline = now() + std::chrono::seconds(10);
  auto Reply =
      std::async(std::launch::async, [&] { return LocalCallee.run(Call); });
  Poco::Net::StreamSocket Peer = Server.acceptConnection();
  char Buffer[4096];
  REQUIRE(Peer.receiveBytes(Buffer, sizeof(Buffer)) > 0);
  CHECK_FALSE(LocalCallee.isIdle());
  // Swaps the ranks of both classes while the call holds its slot.
  Bundles.replace(bundleWithRanks(2, 50, 0));
  Peer.sendBytes(Answer.data(), static_cast<int>(Answer.size()));
  CHECK(Reply.get().Result == Outcome::Done);
  CHECK(LocalCallee.isIdle());
  SECTION("the freed slot can be taken by another call") {
    auto Second =
        std::async(std::launch::async, [&] { return LocalCallee.run(Call); });
    REQUIRE(Peer.receiveBytes(Buffer, sizeof(Buffer)) > 0);
    Peer.sendBytes(Answer.data(), static_cast<int>(Answer.size()));
    CHECK(Second.get().Result == Outcome::Done);
  }
}
