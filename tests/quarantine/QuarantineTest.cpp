#include <catch2/catch.hpp>

#include "CrashFleet.h"

using namespace pollenwick;

namespace {

/// Totals over all seeded schedules of a measurement.
struct Totals {
  std::size_t MostCrashes = 0;
  std::size_t Crashes = 0;
  unsigned InnocentCalls = 0;
  unsigned WronglyRefused = 0;
  unsigned Delayed = 0;
};

template <typename Setup> Totals measure(Setup Configure) {
  Totals Total;
  for (std::uint32_t Seed = 0; Seed < 100; ++Seed) {
    Choices Draw = seededChoices(20261204 + Seed, 3000);
    CrashFleet Fleet(Draw);
    Configure(Fleet);
    Fleet.runAll();
    Total.MostCrashes = std::max(Total.MostCrashes, Fleet.maxCrashesInPeriod());
    Total.Crashes += Fleet.Crashes.size();
    Total.InnocentCalls += Fleet.InnocentCalls;
    Total.WronglyRefused += Fleet.WronglyRefused;
    Total.Delayed += Fleet.Delayed;
  }
  return Total;
}

std::string text(const Totals &Total) {
  return std::to_string(Total.MostCrashes) + " crashes at most, " +
         std::to_string(Total.WronglyRefused) + " refused and " +
         std::to_string(Total.Delayed) + " delayed of " +
         std::to_string(Total.InnocentCalls) + " harmless calls, " +
         std::to_string(Total.Crashes) + " crashes";
}

} // namespace

TEST_CASE("One request crashes at most two servers", "[quarantine]") {
  SECTION(
      "under random schedules of resends, gossip, restarts and partitions") {
    CHECK(rc::check([] {
      Choices Draw = drawChoices(1500);
      CrashFleet Fleet(Draw);
      Fleet.Partitions = true;
      Fleet.InnocentRequests = 1 + Draw.pick(40);
      Fleet.runAll();
      RC_ASSERT(Fleet.maxCrashesInPeriod() <= 2U);
    }));
  }
  SECTION(
      "where faulty variants crash more servers or refuse harmless requests") {
    const Totals Ours = measure([](CrashFleet &) {});
    const Totals Alone = measure([](CrashFleet &F) { F.Gossips = false; });
    const Totals First =
        measure([](CrashFleet &F) { F.RefuseSuspects = true; });
    const Totals Impatient =
        measure([](CrashFleet &F) { F.ResendsEarly = true; });
    CHECK(Ours.MostCrashes == 2);
    CHECK(Alone.MostCrashes > 2);
    CHECK(First.WronglyRefused > Ours.WronglyRefused);
    WARN("quarantine as implemented: " << text(Ours));
    WARN("without gossip between nodes: " << text(Alone));
    WARN("with refusal after the first crash: " << text(First));
    WARN("with resends before an answer: " << text(Impatient));
  }
}

TEST_CASE("A harmless request that was in flight at a crash is cleared",
          "[quarantine]") {
  Quarantine Here;
  Here.Self = {HostId("host0"), StartId(1)};
  Quarantine There;
  There.Self = {HostId("host1"), StartId(2)};
  Instant Now(std::chrono::hours(1));
  const Fingerprint Innocent = CrashFleet::fingerprint(1);
  tryStartCall(Here, Innocent, Now);
  tryStartCall(Here, CrashFleet::fingerprint(0), Now);
  const auto News = onServerCrash(Here, Now);
  REQUIRE(News.size() == 2);
  CHECK(isSuspect(Here, Innocent, Now));
  const auto Start = [&](Quarantine &At) {
    return tryStartCall(At, Innocent, Now);
  };

  SECTION("by a trial that runs alone on the host of the crash") {
    CHECK(std::holds_alternative<Refusal>(Start(Here)));
    CHECK(!acknowledgeSuspicions(There, News, Now).InFlight);
    CHECK(std::get<TryAtHost>(Start(There)).Host == HostId("host0"));
    onBroadcastComplete(Here, News[0].Crash);
    // Guards against a second trial: the preceding process of the host may have
    // run one that it did not report.
    Quarantine Restarted;
    Restarted.Self = {HostId("host0"), StartId(3)};
    mergeSuspicions(Restarted, News, Now);
    CHECK(std::get<Refusal>(Start(Restarted)).RetryAfter ==
          Restarted.Limits.SuspectTime);
    tryStartCall(Here, CrashFleet::fingerprint(2), Now);
    CHECK(std::get<ServerReserved>(Start(Here)).ForSuspect);
    CHECK(std::holds_alternative<ServerReserved>(
        tryStartCall(Here, CrashFleet::fingerprint(3), Now)));
    onCallFinished(Here, CrashFleet::fingerprint(2), true, Now);
    REQUIRE(std::get<StartCall>(Start(Here)).AsTrial);
    mergeSuspicions(There, onCallFinished(Here, Innocent, true, Now), Now);
    CHECK(!isSuspect(There, Innocent, Now));
    SECTION("and stays cleared when older gossip arrives afterwards") {
      mergeSuspicions(There, News, Now);
      CHECK(std::holds_alternative<StartCall>(Start(There)));
    }
  }
  SECTION("but not while a copy that started at another server still runs") {
    tryStartCall(There, Innocent, Now);
    CHECK(acknowledgeSuspicions(There, News, Now).InFlight);
    onCallFinished(There, Innocent, false, Now);
    CHECK(!acknowledgeSuspicions(There, News, Now).InFlight);
  }
  SECTION("when the suspect time ends, which gossip does not extend") {
    for (int I = 0; I < 61; ++I) {
      Now += std::chrono::seconds(1);
      mergeSuspicions(There, knownSuspicions(Here, 10, Now), Now);
      mergeSuspicions(Here, knownSuspicions(There, 10, Now), Now);
    }
    CHECK(std::holds_alternative<StartCall>(Start(There)));
  }
  SECTION("and never suspected if it completed on the server shortly before") {
    tryStartCall(Here, CrashFleet::fingerprint(2), Now);
    onCallFinished(Here, CrashFleet::fingerprint(2), true, Now);
    tryStartCall(Here, CrashFleet::fingerprint(2), Now);
    CHECK(onServerCrash(Here, Now).empty());
  }
  SECTION("but refused for the quarantine time after a second crash") {
    tryStartCall(There, Innocent, Now);
    mergeSuspicions(Here, onServerCrash(There, Now), Now);
    CHECK(isQuarantined(Here, Innocent, Now));
    CHECK(std::get<Refusal>(Start(Here)).Result == Outcome::NotRun);
    CHECK(!isQuarantined(Here, Innocent, Now + Here.Limits.QuarantineTime));
  }
  SECTION("and the oldest suspects are evicted at the limit, quarantined ones "
          "last") {
    tryStartCall(There, Innocent, Now);
    mergeSuspicions(Here, onServerCrash(There, Now), Now);
    Here.Limits.MaxSubjects = 4;
    for (std::uint8_t I = 10; I < 30; ++I)
      mergeSuspicions(
          Here, {{CrashFleet::fingerprint(I), {HostId("x"), {}, I}, false, {}}},
          Now + Duration(I));
    CHECK(Here.CrashesBySubject.size() <= 4);
    CHECK(isQuarantined(Here, Innocent, Now));
  }
}

TEST_CASE(
    "Answers of crashed calls are held until all servers acknowledge the crash",
    "[quarantine]") {
  Quarantine Here;
  Here.Self = {HostId("host0"), StartId(1)};
  Instant Now(std::chrono::hours(1));
  tryStartCall(Here, CrashFleet::fingerprint(1), Now);
  SuspicionBroadcasts Rounds;
  const HostId A("host1");
  const HostId B("host2");
  startBroadcast(Rounds, onServerCrash(Here, Now), {A, B}, Now);
  const CrashId Crash = Rounds.Broadcasts.at(0).Crash;
  CHECK(dueBroadcasts(Rounds, Now).size() == 2);
  const auto Advance = [&] {
    return finishBroadcasts(Rounds, Here, Now).size();
  };

  SECTION("while a server with a copy in flight has not acknowledged it") {
    onAcknowledged(Rounds, Here, Crash, A, {{}, true}, Now);
    onAcknowledged(Rounds, Here, Crash, B, {{}, false}, Now);
    CHECK(Advance() == 0);
    Now += Rounds.Limits.ResendInterval;
    const auto Again = dueBroadcasts(Rounds, Now);
    REQUIRE(Again.size() == 1);
    CHECK(Again[0].Suspicions[0].Age == Rounds.Limits.ResendInterval);
    SECTION("until the bundle no longer lists that server") {
      onServersChanged(Rounds, {B});
      CHECK(Advance() == 1);
      const auto Trial = tryStartCall(Here, CrashFleet::fingerprint(1), Now);
      CHECK(std::get<StartCall>(Trial).AsTrial);
    }
  }
  SECTION("for at most the maximum hold time, which does not permit a trial") {
    Now += Rounds.Limits.MaxAnswerHold;
    CHECK(Advance() == 1);
    CHECK(Advance() == 0);
    CHECK(std::holds_alternative<Refusal>(
        tryStartCall(Here, CrashFleet::fingerprint(1), Now)));
    Now += Here.Limits.SuspectTime;
    CHECK(Advance() == 0);
    CHECK(Rounds.Broadcasts.empty());
  }
}
