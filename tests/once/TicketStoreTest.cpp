#include <catch2/catch.hpp>

#include "TicketFleet.h"

using namespace pollenwick;

namespace {

constexpr std::size_t Steps = 600;

/// Totals over many seeded schedules: tickets that ran more than once, tickets
/// that ran although "not run" was reported, all executions, and all reports of
/// "not run".
struct Violations {
  unsigned RanTwice = 0;
  unsigned FalseNotRun = 0;
  unsigned Executions = 0;
  unsigned SaidNotRun = 0;
};

Violations measure(bool SameIncarnation, bool TimeoutIsNotRun) {
  Violations Total;
  for (std::uint32_t Seed = 0; Seed < 200; ++Seed) {
    Choices Draw = seededChoices(20261204 + Seed, Steps);
    TicketFleet Fleet(Draw);
    Fleet.SameIncarnation = SameIncarnation;
    Fleet.TimeoutIsNotRun = TimeoutIsNotRun;
    for (unsigned N = 0; N < TicketFleet::Nodes; ++N)
      Fleet.start(N);
    Fleet.runAll();
    for (const auto &[Ticket, History] : Fleet.HistoryByTicket) {
      Total.RanTwice += History.Executions > 1 ? 1 : 0;
      Total.FalseNotRun +=
          History.Executions > 0 && History.SaidNotRun > 0 ? 1 : 0;
      Total.Executions += History.Executions;
      Total.SaidNotRun += History.SaidNotRun;
    }
  }
  return Total;
}

RefusalReason reasonOf(const TicketClaimResult &Result) {
  const auto *Refused = std::get_if<Refusal>(&Result);
  return Refused != nullptr ? Refused->Reason : RefusalReason::None;
}
Outcome outcomeOf(const TicketClaimResult &Result) {
  return std::get<Refusal>(Result).Result;
}

} // namespace

TEST_CASE("A ticket runs at most once in a fleet with faults", "[once]") {
  SECTION("under random schedules of kills, partitions, drains and resends") {
    CHECK(rc::check([] {
      Choices Draw = drawChoices(Steps);
      TicketFleet Fleet(Draw);
      Fleet.runAll();
      for (const auto &[Ticket, History] : Fleet.HistoryByTicket) {
        RC_ASSERT(History.Executions <= 1U);
        RC_ASSERT(History.Executions == 0U || History.SaidNotRun == 0U);
      }
      for (const TicketFleet::Node &N : Fleet.Fleet)
        RC_ASSERT(N.Store.UsedTickets.size() <= N.Store.Limits.MaxTickets);
    }));
  }
  SECTION("where faulty variants run it twice or deny that it ran") {
    const Violations Ours = measure(false, false);
    CHECK(Ours.RanTwice == 0);
    CHECK(Ours.FalseNotRun == 0);
    CHECK(Ours.Executions > 0);
    CHECK(Ours.SaidNotRun > 0);
    const Violations NoIncarnation = measure(true, false);
    CHECK(NoIncarnation.RanTwice > 0);
    const Violations EagerNotRun = measure(false, true);
    CHECK(EagerNotRun.FalseNotRun > 0);
    WARN("tickets run twice / falsely not run, of executions: incarnation in "
         "ticket "
         << Ours.RanTwice << "/" << Ours.FalseNotRun << " of "
         << Ours.Executions << ", without " << NoIncarnation.RanTwice << "/"
         << NoIncarnation.FalseNotRun << " of " << NoIncarnation.Executions
         << ", timeout as not run " << EagerNotRun.RanTwice << "/"
         << EagerNotRun.FalseNotRun << " of " << EagerNotRun.Executions);
  }
}

TEST_CASE("The issuer of a ticket decides whether its call may run", "[once]") {
  TicketStore Store;
  Store.Self = {HostId("host0"), StartId(7)};
  Store.MacSecret[5] = 9;
  Instant Now(std::chrono::seconds(10));
  const Duration Lifetime = std::chrono::seconds(60);
  const Ticket Issued =
      std::get<Ticket>(issueTicket(Store, Payer, Deposit, Lifetime, Now));
  const std::string Text = encodeTicket(Issued);
  const TicketClaim Claim{Text, Payer, Deposit, {}};

  SECTION("executes the first use of a ticket and replays its answer later") {
    const auto First = claimTicket(Store, Claim, Now);
    REQUIRE(std::holds_alternative<ExecuteTicket>(First));
    CHECK(std::holds_alternative<TicketInProgress>(
        claimTicket(Store, Claim, Now)));
    finishTicket(Store, std::get<ExecuteTicket>(First).Sequence,
                 {Outcome::Done, {}, TicketAnswer{201, "text/plain", "ok"}});
    const auto Again = claimTicket(Store, Claim, Now);
    REQUIRE(std::holds_alternative<ReplayAnswer>(Again));
    CHECK(std::get<ReplayAnswer>(Again).Answer.Body == "ok");
    // Guards against a result that changes after it was given to the caller: a
    // late "not run" must not replace the answer.
    finishTicket(Store, 1, {Outcome::NotRun, RefusalReason::Shed, {}});
    CHECK(std::holds_alternative<ReplayAnswer>(claimTicket(Store, Claim, Now)));

    SECTION("but refuses another body with the outcome unknown") {
      TicketClaim Other = Claim;
      Other.BodyDigest[3] = 1;
      const auto Refused = claimTicket(Store, Other, Now);
      CHECK(reasonOf(Refused) == RefusalReason::TicketUsed);
      CHECK(outcomeOf(Refused) == Outcome::Unknown);
    }
    SECTION("and remembers the answer until expiry and grace have passed") {
      Now += Lifetime + Store.Limits.ExpiryGrace - Duration(1);
      expireTickets(Store, Now);
      CHECK(
          std::holds_alternative<ReplayAnswer>(claimTicket(Store, Claim, Now)));
      CHECK(expireTickets(Store, Now + Duration(1)) == 1);
      CHECK(outcomeOf(claimTicket(Store, Claim, Now + Duration(1))) ==
            Outcome::Unknown);
      CHECK(Store.AnswerBytes == 0);
    }
  }
  SECTION("refuses later uses of a ticket whose call did not run") {
    // Guards against a call that is reported as "not run" and then run by a
    // delayed copy of the request.
    claimTicket(Store, Claim, Now);
    finishTicket(Store, 1, {Outcome::NotRun, RefusalReason::Shed, {}});
    const auto Again = claimTicket(Store, Claim, Now);
    CHECK(outcomeOf(Again) == Outcome::NotRun);
    CHECK(reasonOf(Again) == RefusalReason::Shed);
  }
  SECTION("reports an expired unused ticket as not run only within the grace") {
    CHECK(outcomeOf(claimTicket(Store, Claim, Now + Lifetime)) ==
          Outcome::NotRun);
    CHECK(outcomeOf(claimTicket(Store, Claim,
                                Now + Lifetime + Store.Limits.ExpiryGrace)) ==
          Outcome::Unknown);
  }
  SECTION("refuses other customers, other routes and damaged tickets with the "
          "outcome unknown") {
    CHECK(outcomeOf(claimTicket(Store, {Text, CustomerId("x"), Deposit, {}},
                                Now)) == Outcome::Unknown);
    CHECK(outcomeOf(claimTicket(Store, {Text, Payer, RouteId("a/b"), {}},
                                Now)) == Outcome::Unknown);
    CHECK(rc::check([&] {
      std::string Damaged = Text;
      const auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
      Damaged[At] = *rc::gen::arbitrary<char>();
      const auto Parsed = parseTicket(Damaged);
      const bool Changed = !Parsed || encodeTicket(*Parsed) != Text;
      RC_PRE(Changed);
      const auto Result =
          claimTicket(Store, {Damaged, Payer, Deposit, {}}, Now);
      RC_ASSERT(!std::holds_alternative<ExecuteTicket>(Result));
      if (std::holds_alternative<Refusal>(Result))
        RC_ASSERT(outcomeOf(Result) == Outcome::Unknown);
    }));
  }
  SECTION("refuses new tickets at the limits and keeps the remembered ones") {
    Store.Limits.MaxTicketsPerCustomer = 1;
    claimTicket(Store, Claim, Now);
    CHECK(std::holds_alternative<Refusal>(
        issueTicket(Store, Payer, Deposit, Lifetime, Now)));
    const auto Other =
        issueTicket(Store, CustomerId("other"), Deposit, Lifetime, Now);
    REQUIRE(std::holds_alternative<Ticket>(Other));
    Store.Limits.MaxTickets = 1;
    const std::string OtherText = encodeTicket(std::get<Ticket>(Other));
    const auto Full =
        claimTicket(Store, {OtherText, CustomerId("other"), Deposit, {}}, Now);
    CHECK(reasonOf(Full) == RefusalReason::QueueFull);
    CHECK(outcomeOf(Full) == Outcome::Unknown);
    CHECK(std::holds_alternative<TicketInProgress>(
        claimTicket(Store, Claim, Now)));
  }
  SECTION("does not execute tickets of other hosts and processes") {
    TicketStore Elsewhere;
    Elsewhere.Self = {HostId("host1"), StartId(8)};
    const auto Result = claimTicket(Elsewhere, Claim, Now);
    REQUIRE(std::holds_alternative<ForwardToIssuer>(Result));
    CHECK(std::get<ForwardToIssuer>(Result).Issuer == HostId("host0"));
    Elsewhere.Self = {HostId("host0"), StartId(8)};
    CHECK(reasonOf(claimTicket(Elsewhere, Claim, Now)) ==
          RefusalReason::IssuerGone);
    CHECK(issuerUnreachableRefusal(HostId("host0")).Result == Outcome::Unknown);
  }
}
