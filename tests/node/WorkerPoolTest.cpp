#include <catch2/catch.hpp>

#include <atomic>
#include <future>

#include "node/WorkerPool.h"

using namespace pollenwick;

TEST_CASE("A worker pool limits its threads and rejects jobs when it is full",
          "[node]") {
  // Guards against a full queue that drops an accepted job or blocks the caller
  // forever instead of rejecting the job.
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
  SECTION("all accepted jobs have run when stop() returns") {
    CHECK(Done == Accepted);
  }
  SECTION("a stopped pool accepts no job") { CHECK_FALSE(Pool.submit(Job)); }
}
