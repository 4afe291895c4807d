#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

#include "core/routing/Routing.h"
#include "model/Simulation.h"

using namespace pollenwick;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const model::Deployment &fleet() {
  static const model::Deployment Fleet = model::pier();
  return Fleet;
}

HostTable freshTable() {
  return makeHostTable(fleet().Rules, fleet().Reach, nullptr, Instant{});
}

Instant at(std::int64_t Milliseconds) {
  return Instant{} + milliseconds(Milliseconds);
}

/// Places `Count` calls without ending any of them and returns the number that
/// each host got.
std::vector<int> spread(HostTable &Table, ServiceIndex Service, int Count,
                        Instant Now) {
  std::mt19937_64 Random(1);
  std::vector<int> Calls(Table.Hosts.size());
  for (int Call = 0; Call < Count; ++Call)
    ++Calls[*chooseHost(Table, {Service, 0, {}}, Random, Now).Host];
  return Calls;
}

} // namespace

TEST_CASE("A call goes only to a usable host", "[routing]") {
  rc::prop(
      "no draining host is chosen, and some host is while any can serve", [] {
        // Guards against calls to a draining host (requirement G10) and against
        // ejections that leave a service without hosts.
        HostTable Table = freshTable();
        std::mt19937_64 Random(*rc::gen::arbitrary<std::uint64_t>());
        const auto Steps = *rc::gen::inRange(1, 150);
        Instant Now = at(1000);
        for (int Step = 0; Step < Steps; ++Step) {
          Now += milliseconds(*rc::gen::inRange(0, 400));
          const auto Host = *rc::gen::inRange<HostIndex>(
              0, static_cast<HostIndex>(Table.Hosts.size()));
          switch (*rc::gen::inRange(0, 5)) {
          case 0:
            onHostDraining(Table, Host, Now);
            break;
          case 1:
            onHostIncarnation(Table, Host, Step, Now);
            break;
          default:
            for (int Failure = 0; Failure < 5; ++Failure)
              onHostReply(Table, Host, {HostReplyKind::Failed, 0}, Now);
          }
          const ServiceHosts &Group = Table.Services[Table.Hosts[Host].Service];
          const auto Serving = std::count_if(
              Group.Hosts.begin(), Group.Hosts.end(),
              [&](HostIndex H) { return !isDraining(Table, H, Now); });
          const HostChoice Choice = chooseHost(
              Table, {Table.Hosts[Host].Service, 0, {}}, Random, Now);
          RC_ASSERT(Choice.Host.has_value() == (Serving > 0));
          if (Choice.Host)
            RC_ASSERT(!isDraining(Table, *Choice.Host, Now));
          else
            RC_ASSERT(Choice.Reason == RefusalReason::Draining);
        }
      });

  rc::prop("at most a third of a service's hosts are ejected", [] {
    // Guards against ejecting the whole fleet when a service deep in the call
    // graph fails.
    HostTable Table = freshTable();
    const auto Failures =
        *rc::gen::container<std::vector<HostIndex>>(rc::gen::inRange<HostIndex>(
            0, static_cast<HostIndex>(Table.Hosts.size())));
    Instant Now = at(1000);
    for (HostIndex Host : Failures)
      for (int Failure = 0; Failure < 5; ++Failure)
        onHostReply(Table, Host, {HostReplyKind::Failed, 0}, Now);
    for (const ServiceHosts &Group : Table.Services) {
      const auto Ejected = static_cast<std::size_t>(
          std::count_if(Group.Hosts.begin(), Group.Hosts.end(),
                        [&](HostIndex H) { return isEjected(Table, H, Now); }));
      RC_ASSERT(Ejected * 100 <= Group.Hosts.size() * 34);
    }
  });
}

TEST_CASE("Calls are distributed over the usable hosts by load", "[routing]") {
  HostTable Table = freshTable();
  const ServiceIndex Registry =
      fleet().Reach.ServiceByName.at(ServiceId("registry"));
  const std::vector<HostIndex> &Local = Table.Services[Registry].ByZone[0];
  REQUIRE(Local.size() == 2);

  SECTION("calls stay in the local zone until it is busy") {
    // Guards against cross-zone calls at low load and against overloaded zones.
    std::vector<int> Calls = spread(Table, Registry, 100, at(1000));
    CHECK(Calls[Local[0]] + Calls[Local[1]] == 100);
    Calls = spread(Table, Registry, 300, at(1000));
    CHECK(Calls[Local[0]] + Calls[Local[1]] < 250);
  }
  SECTION("a host that has just started gets few calls") {
    // Guards against overloading a server in slow start.
    onHostIncarnation(Table, Local[0], 1, at(500));
    onHostIncarnation(Table, Local[0], 2, at(1000));
    const std::vector<int> Calls = spread(Table, Registry, 110, at(1000));
    CHECK(Calls[Local[0]] <= 15);
    CHECK(Calls[Local[0]] >= 1);
  }
  SECTION("a leaving hint lowers the share of a host but does not exclude it") {
    // Guards against relying on the platform's host list, which lags behind.
    onHostListHint(Table, Local[0], true);
    const std::vector<int> Calls = spread(Table, Registry, 100, at(1000));
    CHECK(Calls[Local[0]] < Calls[Local[1]]);
    CHECK(Calls[Local[0]] > 0);
  }
  SECTION("the state of a known host survives a new bundle") {
    // Guards against losing the draining marks at a configuration change.
    onHostDraining(Table, Local[1], at(1000));
    const HostTable Next =
        makeHostTable(fleet().Rules, fleet().Reach, &Table, at(1100));
    CHECK(isDraining(Next, Local[1], at(1100)));
    CHECK(Next.Zones.size() == 3);
  }
}

TEST_CASE("A deployment routes around leaving and failing hosts",
          "[routing][model]") {
  model::Settings Rules;
  model::Phase Quiet;
  Quiet.End = at(8000);
  for (double Share : fleet().CustomerShare)
    Quiet.CustomerRate.push_back(Share * 600);
  Rules.Phases = {Quiet};
  model::Simulation Run(fleet(), Rules);
  Run.schedule(at(2000), [&] { Run.hosts()[0].Draining = true; });
  Run.schedule(at(2000), [&] { Run.hosts()[7].Failing = true; });
  std::uint64_t RunsAt5 = 0;
  Run.schedule(at(5000), [&] { RunsAt5 = Run.counters().HostRuns[0]; });
  Run.run();
  // Requirement G10: no new calls 3 s after the drain began, even without
  // gossip.
  CHECK(Run.counters().HostRuns[0] == RunsAt5);
  CHECK(Run.counters().DrainingRuns == 0);
  const auto &Users = Run.counters().Users;
  // Requests of the last second may still run when the model ends.
  const auto Lost =
      std::count_if(Users.begin(), Users.end(), [](const auto &User) {
        return !User.DoneAt && User.ArrivedAt < at(7000);
      });
  // No request is lost because of a host that other hosts can replace.
  CHECK(Lost == 0);
}
