#include <catch2/catch.hpp>

#include <utility>

#include "core/memory/DescriptorShares.h"
#include "core/memory/MemoryAccount.h"

using namespace pollenwick;

namespace {

constexpr std::size_t MiB = std::size_t{1024} * 1024;
/// `max_body_bytes` as usual.
constexpr std::size_t LargestBody = 64 * MiB;

} // namespace

TEST_CASE("One body of the largest size fits beside small requests",
          "[memory]") {
  // Guards against a bound that refuses what the documented limits allow.
  const std::size_t MemoryMb = GENERATE(160, 260, 512);
  MemoryAccount Account(accountLimitFor(MemoryMb * MiB));
  const MemoryCharge Small(Account, MemoryKind::Requests, 8 * MiB);
  REQUIRE(Account.hasRoom(MemoryUse::NewBody, LargestBody));

  SECTION("and leaves room for them while it is held") {
    const MemoryCharge Body(Account, MemoryKind::Incoming, LargestBody);
    CHECK(Account.hasRoom(MemoryUse::Small, 8 * MiB));
    CHECK(Account.hasRoom(MemoryUse::Begun, 10 * MiB));
  }
  SECTION("also when it arrives piece by piece") {
    MemoryCharge Body(Account, MemoryKind::Incoming);
    while (Body.bytes() < LargestBody) {
      REQUIRE(Account.hasRoom(MemoryUse::NewBody, MiB, Body.bytes()));
      Body.resize(Body.bytes() + MiB);
    }
  }
}

TEST_CASE("Large bodies leave memory to small requests", "[memory]") {
  // Guards against incomplete bodies that take all memory, so that neither the
  // requests that run can be answered nor small ones accepted.
  MemoryAccount Account(accountLimitFor(260 * MiB));
  MemoryCharge Bodies(Account, MemoryKind::Incoming);
  while (Account.hasRoom(MemoryUse::NewBody, MiB))
    Bodies.resize(Bodies.bytes() + MiB);
  CHECK(Account.isShort());
  CHECK(Account.hasRoom(MemoryUse::Begun, 16 * MiB));

  MemoryCharge Answers(Account, MemoryKind::Answers);
  while (Account.hasRoom(MemoryUse::Begun, MiB))
    Answers.resize(Answers.bytes() + MiB);
  CHECK(Account.isNearlyFull());
  CHECK(Account.hasRoom(MemoryUse::Small, 16 * MiB));
  CHECK(Account.held() <= Account.limit());

  SECTION("and the room comes back with them") {
    MemoryCharge Moved = std::move(Bodies);
    Moved.resize(0);
    CHECK(Account.held() == Answers.bytes());
    CHECK_FALSE(Account.isShort());
  }
}

TEST_CASE("Without a known memory nothing is restricted", "[memory]") {
  // Guards against a default that refuses what was accepted before.
  MemoryAccount Account(accountLimitFor(0));
  const MemoryCharge Held(Account, MemoryKind::Incoming, 4096 * MiB);
  CHECK(Account.hasRoom(MemoryUse::NewBody, 4096 * MiB));
  CHECK_FALSE(Account.isShort());
}

TEST_CASE("Only a body that would take too long is stalled", "[memory]") {
  // Guards against slow callers that are refused although they keep the limits,
  // and against bodies that stop short of their end and hold their memory.
  const Instant Start(Duration(0));
  const Duration WholeTime = std::chrono::seconds(15);
  const auto StalledAfter = [&](std::uint64_t Bytes, int Ms) {
    return isStalled({Start, Bytes}, 15 * MiB, WholeTime,
                     Start + std::chrono::milliseconds(Ms));
  };
  CHECK_FALSE(StalledAfter(0, 999));
  CHECK(StalledAfter(0, 1000));
  CHECK_FALSE(StalledAfter(2 * MiB, 2000));
  CHECK(StalledAfter(2 * MiB - 1, 2000));
  CHECK_FALSE(StalledAfter(15 * MiB, 60'000));
}

TEST_CASE("Callers leave descriptors to the other parts", "[memory]") {
  // Guards against idle callers that take the descriptors of peers, the store
  // or the server.
  const DescriptorNeeds Needs{85, 316};
  CHECK(callerConnectionLimit(4100, Needs) + 200 + 85 + 316 < 4100);
  CHECK(callerConnectionLimit(4100, Needs) > 3000);
  CHECK(callerConnectionLimit(8192, Needs) > 7000);
  CHECK(callerConnectionLimit(100, Needs) > 0);
}
