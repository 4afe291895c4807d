#include <catch2/catch.hpp>

#include <string>

#include "core/hash/StableHash.h"

using namespace pollenwick;

TEST_CASE("A stable hash is the same in every process", "[hash]") {
  // Guards against a hash that is seeded by the address of the program. Nodes
  // would not recognise a request that has crashed a server elsewhere.
  CHECK(stableHash({"GET", "/x/", ""}) == 0x6f5acdc093d08deb);
  SECTION("the boundaries between texts count") {
    CHECK(stableHash({"ab", "c"}) != stableHash({"a", "bc"}));
    CHECK(stableHash({"a", ""}) != stableHash({"", "a"}));
  }
}
