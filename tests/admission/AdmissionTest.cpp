#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <map>

#include "core/admission/Callee.h"
#include "core/admission/Ingress.h"
#include "model/Deployment.h"

using namespace pollenwick;
using std::chrono::milliseconds;

namespace {

const model::Deployment &fleet() {
  static const model::Deployment Fleet = model::lantern();
  return Fleet;
}

RouteIndex route(const char *Name) {
  return fleet().Reach.RouteByName.at(RouteId(Name));
}

ServiceIndex service(const char *Name) {
  return fleet().Reach.ServiceByName.at(ServiceId(Name));
}

Instant at(std::int64_t Milliseconds) {
  return Instant{} + milliseconds(Milliseconds);
}

OfferedCall call(std::uint64_t Id, std::uint32_t Rank, bool Nested,
                 std::int64_t AdmittedMs) {
  OfferedCall Call;
  Call.Id = CallId(Id);
  Call.Rank = Rank;
  Call.Nested = Nested;
  Call.RootAdmittedAt = at(AdmittedMs);
  Call.Deadline = at(100000);
  return Call;
}

} // namespace

TEST_CASE("The bundle index follows the declared call graph", "[admission]") {
  // Guards against an ingress that ignores the overload of a service deep in
  // the call graph.
  const RouteDependencies &Deposit =
      fleet().Reach.Routes[route("cobros/deposit")];
  CHECK(Deposit.ReachedServices ==
        std::vector<ServiceIndex>{service("catalogo"), service("cobros"),
                                  service("cereria")});
  CHECK(Deposit.Rank == 0);
  CHECK(fleet().Reach.RankCount == 3);
}

TEST_CASE("The ingress sheds by class, then by customer, then by request hash",
          "[admission]") {
  rc::prop("if a request is refused, so are requests of worse classes", [] {
    // Guards against shedding a better class before a worse one.
    IngressState State = makeIngress(fleet().Reach);
    const auto Value = *rc::gen::inRange<std::uint32_t>(0, 3 * LevelsPerRank);
    const AdmissionLevel Cut{Value};
    const ThresholdReport Report{service("catalogo"), Cut,
                                 levelAt(Value / LevelsPerRank + 1, 0),
                                 Duration::zero()};
    learnLevels(State, fleet().Reach, 0, {&Report, 1}, at(1000));
    const auto Hash = *rc::gen::arbitrary<std::uint64_t>();
    auto Admitted = [&](const char *Name) {
      return admit(State, fleet().Reach, {route(Name), 0, Hash}, at(1000))
          .Admitted;
    };
    if (Admitted("catalogo/lookup"))
      RC_ASSERT(Admitted("cobros/deposit"));
    RC_ASSERT(Admitted("galeria/upload")); // Does not call catalogo.
    RC_ASSERT(Admitted("cobros/deposit") == (sheddingPosition(0, Hash) < Cut));
  });

  SECTION("a stale level relaxes until it admits every request") {
    // Guards against a wrong or old level that refuses requests forever.
    IngressState State = makeIngress(fleet().Reach);
    const ThresholdReport Report{service("cobros"), AdmissionLevel{0},
                                 levelAt(1, 0), Duration::zero()};
    learnLevels(State, fleet().Reach, 3, {&Report, 1}, at(1000));
    std::uint32_t Last = 0;
    for (std::int64_t Ms = 1000; Ms < 2600; Ms += 50) {
      const AdmissionLevel Now =
          effectiveLevel(State, fleet().Reach, service("cobros"), 3, at(Ms));
      CHECK(Now.Value >= Last);
      Last = Now.Value;
    }
    CHECK(Last == admitAllLevel(3).Value);
    SECTION("one report restores a relaxed level and admits no worse class") {
      learnLevels(State, fleet().Reach, 3, {&Report, 1}, at(2600));
      CHECK(effectiveLevel(State, fleet().Reach, service("cobros"), 3, at(2650))
                .Value == 0);
    }
  }

  SECTION("the best class is not shed while a server admits worse classes") {
    // Guards against shedding deposits because of a level averaged over servers
    // of unequal load.
    IngressState State = makeIngress(fleet().Reach);
    const ThresholdReport Cut{service("cobros"), AdmissionLevel{0},
                              levelAt(2, 0), Duration::zero()};
    learnLevels(State, fleet().Reach, 0, {&Cut, 1}, at(1000));
    CHECK(admit(State, fleet().Reach, {route("cobros/deposit"), 0, ~0ULL},
                at(1000))
              .Admitted);
  }

  SECTION("levels of services deeper in the call graph are relayed with age") {
    // Guards against nodes that relay a stale level as if it were new.
    IngressState State = makeIngress(fleet().Reach);
    const ThresholdReport Deep{service("cereria"), levelAt(1, 0.5),
                               levelAt(2, 0), milliseconds(40)};
    learnLevels(State, fleet().Reach, 0, {&Deep, 1}, at(1000));
    std::vector<ThresholdReport> Relayed;
    relayReports(State, fleet().Reach, route("cobros/deposit"), 0, at(1010),
                 Relayed);
    REQUIRE(Relayed.size() == 1);
    CHECK(Relayed[0].Service == service("cereria"));
    CHECK(Relayed[0].Age == milliseconds(50));
  }
}

TEST_CASE("The callee queue serves and sheds calls in the documented orders",
          "[admission]") {
  rc::prop("nested calls are served first, worse classes are shed first", [] {
    // Guards against wasting work already done, and against shedding a deposit
    // before calls of worse classes.
    CallQueue Queue;
    const auto Count = *rc::gen::inRange<std::uint64_t>(1, 30);
    for (std::uint64_t Id = 0; Id < Count; ++Id)
      pushCall(Queue, call(Id, *rc::gen::inRange<std::uint32_t>(0, 3),
                           *rc::gen::arbitrary<bool>(),
                           *rc::gen::inRange<std::int64_t>(0, 50)));
    for (const auto &[Id, Call] : Queue.ById)
      RC_ASSERT(Call.Rank <= nextToShed(Queue)->Rank);
    std::optional<OfferedCall> Last;
    while (auto Next = popNext(Queue)) {
      if (Last) {
        RC_ASSERT(Last->Nested >= Next->Nested);
        if (Last->Nested == Next->Nested)
          RC_ASSERT(std::pair(Last->Rank, Last->RootAdmittedAt) <=
                    std::pair(Next->Rank, Next->RootAdmittedAt));
      }
      Last = Next;
    }
    RC_ASSERT(Queue.ShedOrder.empty());
    RC_ASSERT(Queue.ById.empty());
  });
}

TEST_CASE("The callee node sheds deposits last", "[admission]") {
  rc::prop("no deposit is refused or evicted while other classes run", [] {
    // Guards against a callee node that sheds deposits while it serves calls of
    // worse classes, in any order of arrivals.
    CalleeState State = makeCallee(fleet().Reach, service("cereria"), at(0));
    std::uint64_t Id = 0;
    std::map<std::uint64_t, std::uint32_t> RankOf;
    std::vector<std::uint32_t> Running;
    const auto Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      const Instant Now = at(Step);
      if (!Running.empty() && *rc::gen::inRange(0, 4) == 0) {
        FinishedCall Done;
        Done.Rank = Running.back();
        Done.ServiceTime = milliseconds(20);
        Done.OwnTime = milliseconds(20);
        Running.pop_back();
        releaseSlot(State, Done, Now);
        if (auto Next = dequeueCall(State, Now).Call)
          Running.push_back(Next->Rank);
        continue;
      }
      const auto Rank = *rc::gen::inRange<std::uint32_t>(0, 3);
      const bool Worse = std::any_of(Running.begin(), Running.end(),
                                     [](std::uint32_t R) { return R > 0; });
      RankOf[++Id] = Rank;
      const OfferResult Result =
          offerCall(State, fleet().Reach,
                    call(Id, Rank, *rc::gen::arbitrary<bool>(), 0), Now);
      if (Result.Decision == OfferDecision::Run)
        Running.push_back(Rank);
      if (Worse && Result.Evicted)
        RC_ASSERT(RankOf[Result.Evicted->Value] > 0);
      if (Worse && Rank == 0)
        RC_ASSERT(Result.Decision != OfferDecision::Refused);
      RC_ASSERT(State.SlotsInUse <= currentLimit(State.Limit));
    }
  });

  SECTION("a call that cannot meet its deadline is not run") {
    // Guards against work for an answer that arrives after the deadline.
    CalleeState State = makeCallee(fleet().Reach, service("cereria"), at(0));
    State.MeanOwnTimeUs[0] = 50000;
    OfferedCall Late = call(1, 0, true, 0);
    Late.Deadline = at(1040);
    CHECK(offerCall(State, fleet().Reach, Late, at(1000)).Reason ==
          RefusalReason::DeadlineExceeded);
  }
}

TEST_CASE("Customers share a class by weighted max-min fairness",
          "[admission]") {
  rc::prop("a surge does not limit other customers below their fair share", [] {
    // Guards against a surge of one customer that lowers the share of
    // another.
    ThresholdState State = makeThresholdState(fleet().Reach, at(0));
    const auto Hot = *rc::gen::inRange<CustomerIndex>(0, 8);
    const auto Factor = *rc::gen::inRange(5, 50);
    WindowMeasurement Full;
    Full.CapacityPerSecond = 4000;
    Full.Limit = 100;
    Full.Backlog = 100;
    for (int Window = 1; Window <= 60; ++Window) {
      for (CustomerIndex T = 0; T < 8; ++T) {
        const double Rate = 10.0 * (T == Hot ? Factor : 1) * (T < 2 ? 3 : 1);
        const double Through =
            Rate * State.Loads[std::size_t{2} * 8 + T].Applied;
        for (std::int64_t Call = 0; Call < std::lround(Through); ++Call)
          recordOfferedCall(State, 2, T);
      }
      updateThreshold(State, fleet().Reach, Full, at(50L * Window));
    }
    for (CustomerIndex T = 0; T < 8; ++T)
      if (T != Hot)
        RC_ASSERT(State.CustomerLevels[T] == admitAllLevel(3));
  });
}

TEST_CASE("The concurrency limit adapts to measured latency", "[admission]") {
  auto Drive = [](ConcurrencyLimit &State, Instant &Now, int Calls,
                  auto OwnTime) {
    for (int Call = 0; Call < Calls; ++Call) {
      Now += Duration{1000};
      const Duration Own{
          static_cast<std::int64_t>(OwnTime(currentLimit(State)) * 1000)};
      recordOwnTime(State, 0, Own, true, Now);
    }
  };
  ConcurrencyLimit State = makeConcurrencyLimit(100, 1, at(0));
  Instant Now = at(0);
  Drive(State, Now, 2000, [](std::uint32_t) { return 20.0; });
  CHECK(currentLimit(State) == 100);

  SECTION("the limit falls if latency grows with concurrency") {
    // Guards against a contended server in which calls queue internally.
    Drive(State, Now, 20000, [](std::uint32_t N) { return 20.0 * N / 10; });
    CHECK(currentLimit(State) <= 20);
    SECTION("the limit recovers within 2 s after contention ends") {
      Drive(State, Now, 2000, [](std::uint32_t) { return 20.0; });
      CHECK(currentLimit(State) == 100);
    }
  }
  SECTION("the limit stays if a slow server has no contention") {
    // Guards against a limit that falls without need and reduces throughput.
    Drive(State, Now, 20000, [](std::uint32_t) { return 200.0; });
    CHECK(currentLimit(State) == 100);
  }
}
