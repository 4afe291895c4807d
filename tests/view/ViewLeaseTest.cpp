#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "tests/support/Draw.h"
#include "tests/support/Fleet.h"

using namespace pollenwick;
using namespace pollenwick::test;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds WarmUp(1000);
constexpr milliseconds RunTime(4000);

FleetOptions shortLeases(std::vector<Fault> Faults) {
  FleetOptions Options;
  Options.Rules.ViewLease = milliseconds(500);
  Options.Rules.QuotaLease = milliseconds(150);
  Options.Faults = std::move(Faults);
  return Options;
}

/// Sends a steady load within the rate limit to every node.
Fleet &drive(Fleet &F) {
  std::uint32_t Next = 0;
  for (Duration At = WarmUp; At < RunTime; At += milliseconds(7))
    F.request(Next++ % F.Options.Hosts, Instant{} + At);
  F.run(Instant{} + RunTime);
  return F;
}

std::vector<Fault> drawWithRevisions(const std::vector<FaultKind> &Kinds) {
  std::vector<Fault> Faults = drawFaults(Kinds, milliseconds(3000));
  for (std::uint32_t I = drawNumber(1, 4); I > 0; --I)
    Faults.push_back({FaultKind::Publish, milliseconds(drawNumber(500, 3500)),
                      milliseconds(1), 0, 0});
  return Faults;
}

const Fault LongOutage{FaultKind::ServiceOutage, WarmUp, RunTime, 0, 0};

} // namespace

TEST_CASE("A node acts on its view only while the view may be the newest") {
  // Guards against a process that accepts revoked keys or uses old quota
  // holders after a pause or behind a network partition.
  SECTION("under any combination of network faults, pauses and crashes") {
    rc::check("no action on an old view after the lease length", [] {
      Fleet F(shortLeases(drawWithRevisions(
          {FaultKind::Drop, FaultKind::Delay, FaultKind::Duplicate,
           FaultKind::Pause, FaultKind::Kill, FaultKind::OneWay,
           FaultKind::TwoWay, FaultKind::ServiceOutage,
           FaultKind::HostChange})));
      RC_ASSERT(drive(F).StaleActions == 0U);
    });
  }
  SECTION("within a lease of a publication if the service is reachable") {
    rc::check("under pauses, crashes, delayed and duplicated messages", [] {
      FleetOptions Options =
          shortLeases(drawWithRevisions({FaultKind::Delay, FaultKind::Duplicate,
                                         FaultKind::Pause, FaultKind::Kill}));
      // Late answers of witnesses would confirm a revision that the service has
      // already replaced. The delays therefore stay below the part of the lease
      // after which witnesses are asked.
      for (Fault &F : Options.Faults)
        F.Amount = std::min(F.Amount, 2U);
      Options.ServiceReachable = true;
      Fleet F(Options);
      RC_ASSERT(drive(F).StaleActions == 0U);
    });
  }
  SECTION("but without the lease a node acts on an old view") {
    const std::vector<Fault> Faults{
        {FaultKind::TwoWay, milliseconds(1200), RunTime, 0b000111, 0},
        {FaultKind::Publish, milliseconds(1500), milliseconds(1), 0, 0}};
    FleetOptions Options = shortLeases(Faults);
    Fleet Correct(Options);
    REQUIRE(drive(Correct).StaleActions == 0);
    Options.Wrong.NoViewLease = true;
    Fleet Wrong(Options);
    REQUIRE(drive(Wrong).StaleActions > 0);
  }
}

TEST_CASE("The fleet serves during an outage of the configuration service") {
  // Guards against a fleet that stops serving when its configuration service
  // fails.
  SECTION("an outage alone causes no refusal for lack of a view lease") {
    Fleet F(shortLeases({LongOutage}));
    drive(F);
    REQUIRE(F.Admissions > 400);
    REQUIRE(F.LeaseRefusals == 0);
  }
  SECTION("nodes in a minority that is cut off refuse, the others serve") {
    Fleet F(shortLeases(
        {LongOutage,
         {FaultKind::TwoWay, milliseconds(1500), RunTime, 0b000011, 0}}));
    drive(F);
    REQUIRE(F.LeaseRefusals > 0);
    for (const auto &Call : F.Calls)
      if (Call.Result == Fleet::Answer::NoLease)
        REQUIRE(Call.Node <= 1);
  }
  SECTION("with most witnesses restarted, nodes refuse until the outage ends") {
    std::vector<Fault> Faults{LongOutage};
    for (std::uint32_t Host = 1; Host <= 3; ++Host)
      Faults.push_back(
          {FaultKind::Kill, milliseconds(1500), milliseconds(50), Host, 0});
    Fleet F(shortLeases(Faults));
    drive(F);
    REQUIRE_FALSE(viewLease(F.Nodes[0].View).isValidAt(F.now()));
  }
}

TEST_CASE("A confirmation is dated by the time its query was sent") {
  ViewState State = makeViewState(HostId("a"), Instant{});
  const RevisionKey Key{Revision(1), {}};
  State.Parents = {HostId("b")};
  adoptRevision(State, Key, Key, Policy{}, Instant{});
  const auto Questions = dueViewQueries(State, Instant{});
  REQUIRE(Questions.size() == 1);
  const std::uint64_t Nonce = Questions[0].Nonce;

  SECTION("a late reply gives no extra time, and its age is subtracted") {
    recordConfirmReply(State, Nonce, {Key, milliseconds(400)});
    REQUIRE(viewLease(State).Until ==
            Instant{} + Policy{}.ViewLease - milliseconds(400));
  }
  SECTION("a reply with an unknown nonce is ignored") {
    recordConfirmReply(State, Nonce + 1, {Key, Duration::zero()});
    REQUIRE_FALSE(viewLease(State).isValidAt(Instant{}));
  }
  SECTION("a newer revision ends the confirmation of the held one") {
    recordAnnouncedRevision(State, {Revision(2), {}});
    recordConfirmReply(State, Nonce, {Key, Duration::zero()});
    REQUIRE_FALSE(viewLease(State).isValidAt(Instant{}));
  }
}
