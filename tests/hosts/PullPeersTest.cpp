#include <catch2/catch.hpp>

#include <vector>

#include "core/hosts/PullPeers.h"

using namespace pollenwick;

TEST_CASE("A node that lacks records pulls them from a peer that has them",
          "[hosts]") {
  // Guards against a confirmed change that is not in force for seconds, because
  // the node asks one peer again and again that lacks the change as well.
  std::vector<PullCandidate> Peers{{"10.0.0.1", false, false},
                                   {"10.0.0.2", false, false}};
  CHECK_FALSE(choosePullPeer({}, "10.0.0.1"));

  SECTION("peers take turns") {
    CHECK(choosePullPeer(Peers, "") == "10.0.0.1");
    CHECK(choosePullPeer(Peers, "10.0.0.1") == "10.0.0.2");
    CHECK(choosePullPeer(Peers, "10.0.0.2") == "10.0.0.1");
  }
  SECTION("a reader goes before a node that only hears from others") {
    Peers.push_back({"10.0.0.3", false, true});
    CHECK(choosePullPeer(Peers, "") == "10.0.0.3");
    CHECK(choosePullPeer(Peers, "10.0.0.3") == "10.0.0.3");

    SECTION("and a peer with a newer record before all others") {
      Peers.push_back({"10.0.0.4", true, false});
      Peers.push_back({"10.0.0.5", true, false});
      CHECK(choosePullPeer(Peers, "10.0.0.3") == "10.0.0.4");
      CHECK(choosePullPeer(Peers, "10.0.0.4") == "10.0.0.5");
      CHECK(choosePullPeer(Peers, "10.0.0.5") == "10.0.0.4");
    }
  }
}
