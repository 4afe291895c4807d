#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "agent/Stream.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

/// What the peer of a stream does.
enum class Step { Data, End, Reset };

std::string describe(const std::vector<Step> &Steps) {
  std::string Text;
  for (const Step Next : Steps)
    Text += Next == Step::Data  ? "data "
            : Next == Step::End ? "end "
                                : "reset ";
  return Text;
}

/// A connected stream whose loop runs only while the test waits, and its peer.
struct StreamFixture : StreamOwner {
  EventLoop Loop;
  Poco::Net::ServerSocket Listener{Poco::Net::SocketAddress("127.0.0.1:0")};
  Poco::Net::StreamSocket Peer{Listener.address()};
  std::shared_ptr<Stream> Target;
  std::string Received;
  std::optional<StreamEnd> End;
  /// Called once, in the first `onData`.
  std::function<void()> OnFirstData;

  StreamFixture() {
    Poco::Net::StreamSocket Accepted = Listener.acceptConnection();
    Accepted.setBlocking(false);
    Target = std::make_shared<Stream>(Loop, Accepted, *this, false);
    Target->start();
  }

  void onData(std::string_view Bytes) override {
    Received.append(Bytes);
    if (const auto Action = std::exchange(OnFirstData, nullptr))
      Action();
  }
  void onClosed(const StreamEnd &How) override { End = How; }

  void run(int Ms = 30) {
    Loop.callAt(Loop.now() + std::chrono::milliseconds(Ms),
                [this] { Loop.stop(); });
    Loop.run();
    Loop.clearStop();
  }
  /// Checks that the stream ends, and how.
  void runToEnd(StreamCloseReason Reason) {
    run();
    REQUIRE(End.has_value());
    CHECK(End->Reason == Reason);
  }
  void perform(Step Next) {
    switch (Next) {
    case Step::Data:
      Peer.sendBytes("data", 4);
      return;
    case Step::End:
      Peer.shutdownSend();
      return;
    case Step::Reset:
      Peer.setLinger(true, 0);
      Peer.close();
      return;
    }
  }
  void perform(const std::vector<Step> &Steps) {
    for (const Step Next : Steps)
      perform(Next);
  }
};

/// Steps after which the stream has ended, with the end that they make.
struct Ending {
  std::vector<Step> Steps;
  StreamCloseReason Reason;
};

constexpr auto Closed = StreamCloseReason::Closed;
constexpr auto Reset = StreamCloseReason::Reset;

const std::vector<Ending> Endings{
    {{Step::End}, Closed},
    {{Step::Reset}, Reset},
    {{Step::Data, Step::End}, Closed},
    {{Step::Data, Step::Reset}, Reset},
    {{Step::End, Step::Reset}, Closed},
    {{Step::Data, Step::End, Step::Reset}, Closed},
    {{Step::Data, Step::Data, Step::Reset}, Reset},
};

/// More than the buffers of both sockets hold.
constexpr std::size_t UnsendableBytes = std::size_t{32} * 1024 * 1024;

} // namespace

TEST_CASE("A reset is never taken for the orderly end of a stream", "[agent]") {
  // Guards against an answer without a length that is passed on as whole
  // although its connection was reset on the way (docs/incidents/
  // reset-while-sending.md).
  const Ending Expected = GENERATE(from_range(Endings));
  INFO("the peer's steps: " << describe(Expected.Steps));
  const auto DataSteps =
      static_cast<std::size_t>(std::ranges::count(Expected.Steps, Step::Data));
  StreamFixture Fixture;
  std::string Data;
  for (std::size_t I = 0; I < DataSteps; ++I)
    Data += "data";

  SECTION("while nothing is unsent") {
    Fixture.run(5);
    Fixture.perform(Expected.Steps);
    Fixture.runToEnd(Expected.Reason);
    CHECK(Fixture.Received == Data);
  }
  SECTION("while bytes are unsent") {
    Fixture.Target->send(std::string(UnsendableBytes, 'u'));
    Fixture.run(5);
    REQUIRE(Fixture.Target->unsentBytes() > 0);
    Fixture.perform(Expected.Steps);
    Fixture.runToEnd(Expected.Reason);
    CHECK(Fixture.Received == Data);
  }
  SECTION("noticed by a send, after a part was read") {
    // The steps happen between the read and the send of one turn of the loop,
    // so that the send is the first to see the reset.
    Fixture.run(5);
    Fixture.OnFirstData = [&] {
      Fixture.Target->send(std::string_view("unsent"));
      Fixture.perform(Expected.Steps);
    };
    Fixture.perform(Step::Data);
    Fixture.runToEnd(Expected.Reason);
    CHECK(Fixture.Received == "data" + Data);
  }
  SECTION("noticed by a send of the rest, after a part was read") {
    Fixture.Target->send(std::string(UnsendableBytes, 'u'));
    Fixture.run(5);
    REQUIRE(Fixture.Target->unsentBytes() > 0);
    Fixture.OnFirstData = [&] {
      Fixture.Target->send(std::string_view("unsent"));
      Fixture.perform(Expected.Steps);
    };
    Fixture.perform(Step::Data);
    Fixture.runToEnd(Expected.Reason);
    CHECK(Fixture.Received == "data" + Data);
  }
}

TEST_CASE("A stream whose reading is paused notices its end", "[agent]") {
  // Guards against requests that run for a caller who has left, because the
  // end of its connection came together with the bytes that paused the reading.
  const Ending Expected = GENERATE(from_range(Endings));
  INFO("the peer's steps: " << describe(Expected.Steps));
  StreamFixture Fixture;
  Fixture.run(5);
  // Unread bytes are dropped, so the last event decides.
  const StreamCloseReason Last =
      Expected.Steps.back() == Step::Reset ? Reset : Closed;

  SECTION("before the end") {
    Fixture.Target->pauseReading(true);
    Fixture.perform(Expected.Steps);
    Fixture.run();
    REQUIRE(Fixture.End.has_value());
    CHECK(Fixture.End->Reason == Last);
    CHECK(Fixture.Received.empty());
  }
  SECTION("by the bytes that came with the end") {
    Fixture.OnFirstData = [&] { Fixture.Target->pauseReading(true); };
    Fixture.perform(Step::Data);
    Fixture.perform(Expected.Steps);
    Fixture.run();
    REQUIRE(Fixture.End.has_value());
    CHECK(Fixture.End->Reason == Last);
  }
  SECTION("and resumed after it") {
    Fixture.OnFirstData = [&] {
      Fixture.Target->pauseReading(true);
      Fixture.perform(Expected.Steps);
    };
    Fixture.perform(Step::Data);
    Fixture.run();
    REQUIRE(Fixture.End.has_value());
    CHECK(Fixture.End->Reason == Last);
    Fixture.Target->pauseReading(false);
    Fixture.run(5);
    CHECK(Fixture.Received == "data");
  }
}

TEST_CASE("A stream whose reading is held passes on all bytes before its end",
          "[agent]") {
  // Guards against an answer without a length that is cut where memory was
  // short, and then passed on as a whole one.
  StreamFixture Fixture;
  Fixture.run(5);
  Fixture.Target->holdReading(true);
  Fixture.perform(Step::Data);
  Fixture.perform(Step::End);
  Fixture.run();
  CHECK(Fixture.Received.empty());
  CHECK_FALSE(Fixture.End.has_value());
  Fixture.Target->holdReading(false);
  Fixture.runToEnd(Closed);
  CHECK(Fixture.Received == "data");
}
