#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

#include "../../tools/common/Payload.h"
#include "../../tools/loadgen/Arrivals.h"
#include "../../tools/loadgen/JobQueue.h"

using namespace pollenwick::tools;

namespace {

Plan planOf(double Rate, double Seconds) {
  CustomerLoad Load;
  Load.Customer = "casa-azul";
  Load.Rate = Rate;
  Load.LimitRate = 50;
  Load.LimitBurst = 10;
  Load.Mix.resize(2);
  const std::chrono::duration<double> Length(Seconds);
  return {Phase{"steady",
                std::chrono::duration_cast<std::chrono::microseconds>(Length),
                {Load}}};
}

std::vector<Arrival> allOf(const Plan &Source, std::uint64_t Seed) {
  Arrivals Planned(Source, Seed);
  std::vector<Arrival> All;
  while (const std::optional<Arrival> Next = Planned.next())
    All.push_back(*Next);
  return All;
}

} // namespace

TEST_CASE("Arrivals follow the plan", "[loadgen]") {
  const Plan Source = planOf(500, 20);
  const std::vector<Arrival> All = allOf(Source, 7);

  SECTION("the offered rate is the planned rate") {
    CHECK(All.size() == Approx(10'000).margin(400));
    CHECK(std::ranges::is_sorted(All, {}, &Arrival::At));
  }
  SECTION("a seed repeats the run") {
    const std::vector<Arrival> Again = allOf(Source, 7);
    REQUIRE(Again.size() == All.size());
    CHECK(std::ranges::equal(All, Again, {}, &Arrival::At, &Arrival::At));
    CHECK(std::ranges::equal(All, Again, {}, &Arrival::Spec, &Arrival::Spec));
  }
  SECTION("a customer far over its rate has no requests within it") {
    // Guards against legal refusals that are reported as wrongful.
    CHECK(std::ranges::count(All, true, &Arrival::WithinLimit) <= 12);
  }
  SECTION("a customer below its rate has nearly all requests within it") {
    const std::vector<Arrival> Calm = allOf(planOf(25, 20), 7);
    const auto Over = std::ranges::count(Calm, false, &Arrival::WithinLimit);
    CHECK(Over <= static_cast<std::ptrdiff_t>(Calm.size() / 50));
  }
  SECTION("a customer is within its rate again soon after a surge") {
    Plan Surge = planOf(500, 2);
    Surge.push_back(planOf(25, 5).front());
    const std::vector<Arrival> Mixed = allOf(Surge, 7);
    // A debt of 10 and one token at 25/s take 0.44 s on average.
    const std::chrono::milliseconds Recovered(3500);
    CHECK(std::ranges::none_of(Mixed, [&](const Arrival &Each) {
      return Each.At > Recovered && !Each.WithinLimit;
    }));
  }
}

TEST_CASE("The queue hands out every job and ends", "[loadgen]") {
  // Guards against a lost wake-up that leaves the generator waiting forever.
  const Plan Source = planOf(2000, 0.5);
  const std::size_t Expected = allOf(Source, 3).size();
  Arrivals Planned(Source, 3);
  JobQueue Jobs(Planned, Clock::now());
  std::atomic<std::size_t> Finished = 0;
  std::atomic<std::size_t> Early = 0;
  std::vector<std::thread> Threads(16);
  for (std::thread &Thread : Threads)
    Thread = std::thread([&] {
      while (std::optional<Job> Next = Jobs.take()) {
        Early += Clock::now() < Next->Due ? 1 : 0;
        if (Next->RetriesUsed++ < 2) {
          Next->Due = Clock::now() + std::chrono::milliseconds(5);
          Jobs.retry(std::move(*Next));
          continue;
        }
        ++Finished;
        Jobs.finish();
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(Finished == Expected);
  CHECK(Early == 0);
}

TEST_CASE("A payload belongs to one request", "[loadgen]") {
  CHECK(payloadOf("7-1", 100) == payloadOf("7-1", 100));
  CHECK(payloadOf("7-1", 100) != payloadOf("7-2", 100));
  CHECK(payloadOf("7-1", 0).empty());
  CHECK(payloadOf("7-1", 13).size() == 13);
  CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb4"
                            "10ff61f20015ad");
}
