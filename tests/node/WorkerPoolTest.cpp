#include <catch2/catch.hpp>

#include <atomic>
#include <future>

#include "node/WorkerPool.h"

using namespace pollenwick;

TEST_CASE("A worker pool is bounded and reports when it is full", "[node]") {
  // Guards against a job that is dropped or waits for ever in a full ring.
  WorkerPool Pool(2, 3);
  std::promise<void> Gate;
  const std::shared_future<void> Opened = Gate.get_future().share();
  std::atomic<int> Started = 0;
  std::atomic<int> Done = 0;
  const auto Job = [&] {
    ++Started;
    Opened.wait();
    ++Done;
  };
  REQUIRE(Pool.submit(Job));
  REQUIRE(Pool.submit(Job));
  while (Started < 2)
    std::this_thread::yield();
  int Accepted = 2;
  while (Pool.submit(Job))
    ++Accepted;
  CHECK(Accepted == 5);
  CHECK(Pool.startedThreads() == 2);
  Gate.set_value();
  Pool.stop();
  SECTION("what was accepted ran before the stop ended") {
    CHECK(Done == Accepted);
  }
  SECTION("nothing is accepted afterwards") { CHECK_FALSE(Pool.submit(Job)); }
}
