#include <catch2/catch.hpp>

#include <optional>
#include <thread>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "agent/CallerListener.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

/// Answers each request, stores the last one and stops the loop.
struct RecordingHandler : CallerEventHandler {
  EventLoop &Loop;
  std::optional<CallerRequest> LastRequest;
  Instant ReceivedAt;

  explicit RecordingHandler(EventLoop &TheLoop) : Loop(TheLoop) {}

  void onRequest(const std::shared_ptr<CallerConnection> &From,
                 CallerRequest &&Request) override {
    LastRequest = std::move(Request);
    ReceivedAt = Loop.now();
    From->respond(LastRequest->Number, makeLocalReply(200, ""));
    Loop.stop();
  }
  bool mayOverlap(const CallerRequest & /*Request*/) const override {
    return false;
  }
  void onCallerDisconnected(CallerRequestNumber /*Number*/) override {}
};

} // namespace

TEST_CASE("The time of a request is counted from its first byte", "[agent]") {
  // Guards against a slow upload, for example of one second, after which the
  // request is forwarded as if none of its deadline had been used.
  EventLoop Loop;
  RecordingHandler Events(Loop);
  CallerListener Port(Loop, Events, "127.0.0.1:0");
  constexpr auto Pause = std::chrono::milliseconds(150);
  std::thread Caller([&] {
    Poco::Net::StreamSocket Socket{
        Poco::Net::SocketAddress("127.0.0.1", Port.port())};
    const std::string Head = "POST /x/ HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 4\r\n\r\nbo";
    Socket.sendBytes(Head.data(), static_cast<int>(Head.size()));
    std::this_thread::sleep_for(Pause);
    Socket.sendBytes("dy", 2);
    char Buffer[256];
    Socket.receiveBytes(Buffer, sizeof(Buffer));
  });
  Loop.run();
  Loop.clearStop();
  Loop.callAt(Loop.now() + std::chrono::milliseconds(20), [&] { Loop.stop(); });
  Loop.run();
  Caller.join();
  REQUIRE(Events.LastRequest.has_value());
  CHECK(Events.LastRequest->Body == "body");
  CHECK(Events.ReceivedAt - Events.LastRequest->FirstByteAt >= Pause / 2);
}
