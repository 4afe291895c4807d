#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

#include "core/shedding/AdmissionPlan.h"
#include "core/shedding/RetryAfter.h"

using namespace pollenwick;

namespace {

constexpr Duration millis(std::int64_t Value) {
  return std::chrono::milliseconds(Value);
}
constexpr Duration Tick = millis(250);
constexpr Duration WorkTime = millis(200);
constexpr std::uint32_t Seed = 20261206;

using Decision =
    std::function<Duration(const RefusedRequest &, std::minstd_rand &)>;

/// The decision before: 600 ms with jitter, whoever the caller is.
Duration fixedRetryAfter(const RefusedRequest &, std::minstd_rand &Random) {
  std::uniform_real_distribution<double> Factor(0.7, 1.3);
  return Duration(static_cast<std::int64_t>(600'000 * Factor(Random)));
}

struct Surge {
  double PerSecond = 60; ///< Rate of first attempts beside the surge.
  double SurgePerSecond = 400;
  Duration SurgeTime = millis(1000);
  Duration Target = millis(3000);
  Duration Deadline = millis(9000);
  double SlotsDuringSurge = 20; ///< 20 slots finish 100 requests per second.
};

struct Outcome {
  int Refused = 0; ///< First attempts that were refused during the surge.
  int SecondInTarget = 0; ///< Second attempts that were answered in target.
  int InTarget = 0;       ///< All attempts that were answered in target.
  int LargestWave = 0;    ///< Most second attempts in one tick.
};

/// Plays callers who return once, after the time that they were told but at
/// most a third of their remaining time. The plan admits, and a queue with
/// slots serves.
class Callers {
public:
  Callers(Decision TheDecision, std::uint32_t Seed)
      : Decide(std::move(TheDecision)), Random(Seed) {}

  Outcome play(const Surge &Load) {
    const Instant SurgeAt = Now + millis(3000);
    const Instant SurgeEnd = SurgeAt + Load.SurgeTime;
    const Instant End = SurgeEnd + millis(8000);
    Instant NextArrival = Now;
    for (Instant NextTick = Now + Tick; NextTick < End; NextTick += Tick) {
      const bool InSurge = NextTick > SurgeAt && NextTick <= SurgeEnd;
      while (std::min(NextArrival, nextReturn()) < NextTick) {
        const bool IsReturn = nextReturn() <= NextArrival;
        Now = IsReturn ? nextReturn() : NextArrival;
        const Instant FirstAt = IsReturn ? Returns.top().second : Now;
        if (IsReturn) {
          Returns.pop();
          ++ReturnsInTick;
        }
        arrive(Load, FirstAt, IsReturn, InSurge);
        if (!IsReturn)
          NextArrival =
              Now + gap(InSurge ? Load.SurgePerSecond : Load.PerSecond);
      }
      Now = NextTick;
      updateAdmission(InSurge ? Load.SlotsDuringSurge : 20);
    }
    return Result;
  }

private:
  Instant nextReturn() const {
    return Returns.empty() ? Instant::max() : Returns.top().first;
  }

  Duration gap(double PerSecond) {
    std::exponential_distribution<double> Gap(PerSecond);
    return Duration(static_cast<std::int64_t>(Gap(Random) * 1e6));
  }

  void arrive(const Surge &Load, Instant FirstAt, bool IsReturn, bool InSurge) {
    ++Offered;
    const double Share = admittedShare(Plan, "lookup");
    if (std::uniform_real_distribution<double>(0, 1)(Random) >= Share) {
      if (IsReturn)
        return;
      Result.Refused += InSurge ? 1 : 0;
      const Duration Told = Decide(
          {Load.Target, Load.Deadline, WorkTime, Share, /*Rank=*/1}, Random);
      Returns.emplace(Now + std::min(Told, Load.Deadline / 3), Now);
      return;
    }
    ++Admitted;
    std::ranges::sort(FreeAt);
    FreeAt.front() = std::max(FreeAt.front(), Now) + WorkTime;
    const bool InTarget = FreeAt.front() <= FirstAt + Load.Target;
    Result.InTarget += InTarget ? 1 : 0;
    Result.SecondInTarget += IsReturn && InTarget ? 1 : 0;
  }

  void updateAdmission(double Slots) {
    Result.LargestWave = std::max(Result.LargestWave, ReturnsInTick);
    ReturnsInTick = 0;
    FreeAt.resize(static_cast<std::size_t>(Slots), Now);
    const double Seconds = std::chrono::duration<double>(Tick).count();
    ServiceStats Stats;
    Stats.Slots = Slots;
    Stats.MeanServiceSeconds = 0.2;
    Stats.OfferedUtilization = Admitted / Seconds * 0.2 / Slots;
    for (const Instant Free : FreeAt)
      Stats.WaitingPerSlot += std::max(
          0.0, std::chrono::duration<double>(Free - Now - WorkTime).count() /
                   0.2 / Slots);
    updatePlan(
        Plan, {{"lookup", "deep", 0, 1, Offered / Seconds, Admitted / Seconds}},
        {{"deep", Stats}}, Tick);
    Offered = 0;
    Admitted = 0;
  }

  Decision Decide;
  std::minstd_rand Random;
  Instant Now{std::chrono::seconds(1)};
  AdmissionPlan Plan;
  std::vector<Instant> FreeAt = std::vector<Instant>(20, Instant{});
  /// Times of second attempts, with the time of the first one.
  std::priority_queue<std::pair<Instant, Instant>,
                      std::vector<std::pair<Instant, Instant>>, std::greater<>>
      Returns;
  double Offered = 0;
  double Admitted = 0;
  int ReturnsInTick = 0;
  Outcome Result;
};

} // namespace

/// Returns the sums of several runs; `LargestWave` is the mean.
Outcome playRuns(const Decision &Decide, const Surge &Load) {
  constexpr int Runs = 20;
  Outcome Sum;
  for (int Run = 0; Run < Runs; ++Run) {
    const Outcome One = Callers(Decide, Seed + Run).play(Load);
    Sum.Refused += One.Refused;
    Sum.SecondInTarget += One.SecondInTarget;
    Sum.InTarget += One.InTarget;
    Sum.LargestWave += One.LargestWave;
  }
  Sum.LargestWave /= Runs;
  return Sum;
}

TEST_CASE("Callers who are refused together do not return together",
          "[shedding]") {
  Surge Load;
  const auto Check = [&](double LeastGain, double LargestWave) {
    const Outcome Before = playRuns(fixedRetryAfter, Load);
    const Outcome After = playRuns(retryAfter, Load);
    CAPTURE(Before.Refused, Before.SecondInTarget, Before.InTarget,
            Before.LargestWave, After.Refused, After.SecondInTarget,
            After.InTarget, After.LargestWave);
    CHECK(Before.Refused > 1000);
    CHECK(After.SecondInTarget > LeastGain * Before.SecondInTarget);
    CHECK(After.InTarget > Before.InTarget);
    CHECK(After.LargestWave < LargestWave * Before.LargestWave);
  };
  SECTION("after a surge of one second") {
    // Guards against callers who all return while the surge still lasts, are
    // refused again, and add to it.
    Check(1.2, 0.85);
  }
  SECTION("after a service has lost half of its servers for a second") {
    Load.SurgePerSecond = 200;
    Load.SlotsDuringSurge = 10;
    Check(1.2, 0.85);
  }
  SECTION("where the latency target is 600 ms") {
    // Guards against a time after which no second attempt can be in target. The
    // time left is too short to spread callers further than before.
    Load.Target = millis(600);
    Load.Deadline = millis(2000);
    Check(1.2, 1.2);
  }
}

TEST_CASE("The retry time fits the request", "[shedding]") {
  std::minstd_rand Random(Seed);
  const auto Range = [&](const RefusedRequest &Request) {
    std::pair<Duration, Duration> Seen{Duration::max(), Duration{}};
    for (int I = 0; I < 2000; ++I) {
      const Duration Time = retryAfter(Request, Random);
      Seen = {std::min(Seen.first, Time), std::max(Seen.second, Time)};
    }
    return Seen;
  };
  const RefusedRequest Base{millis(2000), millis(9000), millis(300), 0.2, 2};
  SECTION("a second attempt can be answered in target") {
    const auto [Shortest, Longest] = Range(Base);
    CHECK(Longest <= millis(2000 - 300));
    CHECK(Longest > 2 * Shortest);
  }
  SECTION("it is longer where the share is low, and for unimportant requests") {
    RefusedRequest Changed = Base;
    Changed.AdmittedShare = 0.8;
    CHECK(Range(Changed).second < Range(Base).second);
    Changed = Base;
    Changed.Rank = 0;
    CHECK(Range(Changed).second < Range(Base).second);
  }
  SECTION("it stays within a third of the remaining time") {
    // Guards against times that callers do not wait for: they would all return
    // after the same third.
    RefusedRequest Changed = Base;
    Changed.TimeLeft = millis(900);
    CHECK(Range(Changed).second <= millis(300));
  }
  SECTION("there is one without a target, a usual time, or time left") {
    // Guards against a refusal without `Retry-After`.
    CHECK(Range({{}, millis(6000), {}, 0.5, 1}).second <= millis(2000));
    CHECK(Range({millis(1000), millis(6000), {}, 0.5, 1}).second <=
          millis(500));
    CHECK(Range({millis(-500), millis(-10), millis(300), 2, -1}).first >
          millis(50));
    CHECK(Range({millis(100), millis(30), millis(300), 0, 5}).first ==
          millis(50));
    CHECK(Range({millis(200), millis(6000), millis(500), 0.5, 1}).second >
          millis(500));
  }
}
