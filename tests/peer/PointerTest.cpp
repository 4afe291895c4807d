#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <thread>

#include "peer/PeerTransport.h"
#include "peer/Wire.h"

using namespace pollenwick;

namespace {

constexpr std::uint16_t FirstPort = 22'600;
constexpr std::uint16_t LastPort = 22'699;

struct PointerAnswer {
  bool Unchanged = false;
  std::string Document;
};

PointerAnswer requestPointer(PeerTransport &From, const PeerAddress &To,
                             const std::optional<Digest> &KnownRoot) {
  PointerAnswer Out;
  const PeerError Error =
      From.exchange(To, std::chrono::seconds(5), [&](wire::Peer::Client &Peer) {
        auto Request = Peer.pointerRequest();
        if (KnownRoot)
          Request.setHeld(toDataReader(*KnownRoot));
        return Request.send().then([&](auto &&Reply) {
          Out.Unchanged = Reply.getUnchanged();
          const auto Data = Reply.getDocument();
          Out.Document.assign(reinterpret_cast<const char *>(Data.begin()),
                              Data.size());
        });
      });
  CHECK(Error == PeerError::None);
  return Out;
}

} // namespace

TEST_CASE("A peer sends its pointer only to nodes that do not have it",
          "[peer]") {
  // Guards against sending the full pointer in reply to each pull, which
  // happens every second. This made up most of the traffic of the watchers.
  const Digest InForce{1};
  PeerHandlers Handlers;
  Handlers.OnPointer = [&](const std::optional<Digest> &Root,
                           const std::optional<Digest> &KnownRoot)
      -> std::optional<std::string> {
    CHECK_FALSE(Root);
    return KnownRoot == InForce ? std::nullopt
                                : std::optional<std::string>("doc");
  };
  PeerTransport Peer(Handlers, 16);
  PeerAddress Address{"127.0.0.1", FirstPort};
  while (!Peer.start(Address.Address, Address.Port).empty())
    REQUIRE(++Address.Port <= LastPort);

  const PointerAnswer Same = requestPointer(Peer, Address, InForce);
  CHECK(Same.Unchanged);
  CHECK(Same.Document.empty());
  for (const std::optional<Digest> &KnownRoot :
       {std::optional<Digest>(), std::optional(Digest{2})}) {
    const PointerAnswer Other = requestPointer(Peer, Address, KnownRoot);
    CHECK_FALSE(Other.Unchanged);
    CHECK(Other.Document == "doc");
  }
  CHECK(Peer.traffic().BytesSent > 0);
  // The peer sends to itself, so both counts are equal once the last protocol
  // message has arrived.
  for (int Tries = 0;
       Tries < 500 && Peer.traffic().BytesReceived != Peer.traffic().BytesSent;
       ++Tries)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  CHECK(Peer.traffic().BytesReceived == Peer.traffic().BytesSent);
  Peer.stop();
}
