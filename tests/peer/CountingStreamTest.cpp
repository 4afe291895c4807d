#include <catch2/catch.hpp>

#include <array>
#include <string_view>

#include "peer/CountingStream.h"

using namespace pollenwick;

TEST_CASE("The bytes of a peer connection are counted in both directions",
          "[peer]") {
  // Guards against a stream operation that is not counted, which would make the
  // reported control traffic of a node too low.
  auto Io = kj::setupAsyncIo();
  auto Pipe = kj::newTwoWayPipe();
  PeerTraffic Traffic;
  auto Counted = countBytes(kj::mv(Pipe.ends[0]), Traffic);
  auto &Other = *Pipe.ends[1];
  std::array<char, 16> Buffer{};

  SECTION("a write from a single buffer is counted as sent") {
    auto Read = Other.tryRead(Buffer.data(), 5, Buffer.size());
    Counted->write("hello", 5).wait(Io.waitScope);
    CHECK(Read.wait(Io.waitScope) == 5);
    CHECK(std::string_view(Buffer.data(), 5) == "hello");
    CHECK(Traffic.BytesSent == 5);
    CHECK(Traffic.BytesReceived == 0);
  }

  SECTION("a write from several buffers is counted with their total size") {
    const std::array<kj::ArrayPtr<const kj::byte>, 2> Pieces{
        kj::StringPtr("abc").asBytes(), kj::StringPtr("defg").asBytes()};
    auto Read = Other.tryRead(Buffer.data(), 7, Buffer.size());
    Counted->write(kj::arrayPtr(Pieces.data(), Pieces.size()))
        .wait(Io.waitScope);
    CHECK(Read.wait(Io.waitScope) == 7);
    CHECK(Traffic.BytesSent == 7);
  }

  SECTION("only bytes that have arrived are counted as received") {
    auto Read = Counted->tryRead(Buffer.data(), 1, Buffer.size());
    Other.write("four", 4).wait(Io.waitScope);
    CHECK(Read.wait(Io.waitScope) == 4);
    CHECK(Traffic.BytesReceived == 4);
    CHECK(Traffic.BytesSent == 0);
  }

  SECTION("the end of the stream is forwarded") {
    Other.shutdownWrite();
    CHECK(
        Counted->tryRead(Buffer.data(), 1, Buffer.size()).wait(Io.waitScope) ==
        0);
    CHECK(Traffic.BytesReceived == 0);
  }
}
