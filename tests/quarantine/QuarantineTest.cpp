#include <catch2/catch.hpp>

#include "CrashFleet.h"

using namespace pollenwick;

namespace {

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
         std::to_string(Total.InnocentCalls) + " innocent calls, " +
         std::to_string(Total.Crashes) + " crashes";
}

} // namespace

TEST_CASE("One request crashes at most two servers", "[quarantine]") {
  SECTION("for every schedule of resends, gossip, restarts and partitions") {
    CHECK(rc::check([] {
      Choices Draw = drawChoices(1500);
      CrashFleet Fleet(Draw);
      Fleet.Partitions = true;
      Fleet.InnocentRequests = 1 + Draw.pick(40);
      Fleet.runAll();
      RC_ASSERT(Fleet.maxCrashesInPeriod() <= 2U);
    }));
  }
  SECTION("where naive variants crash more or refuse bystanders") {
    const Totals Ours = measure([](CrashFleet &) {});
    const Totals Alone = measure([](CrashFleet &F) { F.Gossips = false; });
    const Totals First =
        measure([](CrashFleet &F) { F.RefuseSuspects = true; });
    const Totals Impatient =
        measure([](CrashFleet &F) { F.ResendsEarly = true; });
    CHECK(Ours.MostCrashes == 2);
    CHECK(Alone.MostCrashes > 2);
    CHECK(First.WronglyRefused > Ours.WronglyRefused);
    WARN("ours: " << text(Ours));
    WARN("every node for itself: " << text(Alone));
    WARN("refuse after the first crash: " << text(First));
    WARN("resends without waiting for an answer: " << text(Impatient));
  }
}

TEST_CASE("A bystander of a crash is cleared", "[quarantine]") {
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

  SECTION("by a trial alone, where the crash was") {
    CHECK(std::holds_alternative<Refusal>(Start(Here)));
    CHECK(!acknowledgeSuspicions(There, News, Now).InFlight);
    CHECK(std::get<TryAtHost>(Start(There)).Host == HostId("host0"));
    onBroadcastComplete(Here, News[0].Crash);
    // Guards against a trial beside the unreported trial of a lost process.
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
    SECTION("also when older gossip arrives afterwards") {
      mergeSuspicions(There, News, Now);
      CHECK(std::holds_alternative<StartCall>(Start(There)));
    }
  }
  SECTION("but not before copies that started elsewhere have ended") {
    tryStartCall(There, Innocent, Now);
    CHECK(acknowledgeSuspicions(There, News, Now).InFlight);
    onCallFinished(There, Innocent, false, Now);
    CHECK(!acknowledgeSuspicions(There, News, Now).InFlight);
  }
  SECTION("by time, which gossip does not extend") {
    for (int I = 0; I < 61; ++I) {
      Now += std::chrono::seconds(1);
      mergeSuspicions(There, knownSuspicions(Here, 10, Now), Now);
      mergeSuspicions(Here, knownSuspicions(There, 10, Now), Now);
    }
    CHECK(std::holds_alternative<StartCall>(Start(There)));
  }
  SECTION("or is no suspect when it completed there just before") {
    tryStartCall(Here, CrashFleet::fingerprint(2), Now);
    onCallFinished(Here, CrashFleet::fingerprint(2), true, Now);
    tryStartCall(Here, CrashFleet::fingerprint(2), Now);
    CHECK(onServerCrash(Here, Now).empty());
  }
  SECTION("while a second crash refuses a subject for a time") {
    tryStartCall(There, Innocent, Now);
    mergeSuspicions(Here, onServerCrash(There, Now), Now);
    CHECK(isQuarantined(Here, Innocent, Now));
    CHECK(std::get<Refusal>(Start(Here)).Result == Outcome::NotRun);
    CHECK(!isQuarantined(Here, Innocent, Now + Here.Limits.QuarantineTime));
  }
  SECTION("and memory stays bounded, quarantined subjects last") {
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

TEST_CASE("Answers wait until the servers know of a crash", "[quarantine]") {
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

  SECTION("which a server with a copy in flight has not acknowledged") {
    onAcknowledged(Rounds, Here, Crash, A, {{}, true}, Now);
    onAcknowledged(Rounds, Here, Crash, B, {{}, false}, Now);
    CHECK(Advance() == 0);
    Now += Rounds.Limits.ResendInterval;
    const auto Again = dueBroadcasts(Rounds, Now);
    REQUIRE(Again.size() == 1);
    CHECK(Again[0].Suspicions[0].Age == Rounds.Limits.ResendInterval);
    SECTION("or the bundle no longer lists") {
      onServersChanged(Rounds, {B});
      CHECK(Advance() == 1);
      const auto Trial = tryStartCall(Here, CrashFleet::fingerprint(1), Now);
      CHECK(std::get<StartCall>(Trial).AsTrial);
    }
  }
  SECTION("at most for the hold, without permitting a trial") {
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
