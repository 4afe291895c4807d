#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "agent/CallerListener.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

/// Records the requests that are started and answers them when told to. Targets
/// that begin with "/safe" may overlap.
struct ManualHandler : CallerEventHandler {
  struct Started {
    std::shared_ptr<CallerConnection> From;
    CallerRequest Request;
  };
  std::vector<Started> Requests;
  std::vector<CallerRequestNumber> Disconnected;
  int Unfinished = 0; ///< Requests that were refused while they arrived.

  void onUnfinishedRequest(const HeaderFields & /*Headers*/) override {
    ++Unfinished;
  }
  void onRequest(const std::shared_ptr<CallerConnection> &From,
                 CallerRequest &&Request) override {
    Requests.push_back({From, std::move(Request)});
  }
  bool mayOverlap(const CallerRequest &Request) const override {
    return Request.Target.starts_with("/safe");
  }
  void onCallerDisconnected(CallerRequestNumber Number) override {
    Disconnected.push_back(Number);
  }

  std::vector<std::string> targets() const {
    std::vector<std::string> Result;
    std::ranges::transform(
        Requests, std::back_inserter(Result),
        [](const Started &Item) { return Item.Request.Target; });
    return Result;
  }
  void answer(std::size_t Index) {
    const Started &Item = Requests.at(Index);
    Item.From->respond(Item.Request.Number,
                       makeLocalReply(200, Item.Request.Target));
  }
};

/// One caller connection to a listener whose loop runs only while the test
/// waits.
struct PipelineFixture {
  EventLoop Loop;
  ManualHandler Handler;
  CallerListener Port;
  Poco::Net::StreamSocket Caller;

  explicit PipelineFixture(const PipelineLimits &Limits = {})
      : Port(Loop, Handler, "127.0.0.1:0", Limits),
        Caller(Poco::Net::SocketAddress("127.0.0.1", Port.port())) {}

  static std::string request(const std::string &Method,
                             const std::string &Target,
                             const std::string &ExtraHeader = "") {
    return Method + " " + Target + " HTTP/1.1\r\nHost: h\r\n" + ExtraHeader +
           "Content-Length: 0\r\n\r\n";
  }
  void send(const std::string &Bytes) {
    Caller.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    run();
  }
  void run(int Ms = 30) {
    Loop.callAt(Loop.now() + std::chrono::milliseconds(Ms),
                [this] { Loop.stop(); });
    Loop.run();
    Loop.clearStop();
  }
  void answer(std::size_t Index) {
    Handler.answer(Index);
    run();
  }
  /// Returns the bytes that have arrived at the caller.
  std::string received() {
    std::string Result;
    char Buffer[4096];
    Caller.setReceiveTimeout(Poco::Timespan(0, 20'000));
    try {
      for (int Count = 0;
           (Count = Caller.receiveBytes(Buffer, sizeof(Buffer))) > 0;)
        Result.append(Buffer, static_cast<std::size_t>(Count));
      Result += "[closed]";
    } catch (const Poco::TimeoutException &) {
      // Nothing more has arrived and the connection is open.
    } catch (const Poco::Exception &) {
      Result += "[reset]";
    }
    return Result;
  }
};

} // namespace

TEST_CASE("Requests behind an unanswered one are answered in order",
          "[agent]") {
  PipelineFixture Fixture;
  SECTION("requests that are safe to repeat run at once") {
    // Guards against a request that waits for an earlier one on its connection
    // although servers are free.
    Fixture.send(PipelineFixture::request("GET", "/safe/1") +
                 PipelineFixture::request("GET", "/safe/2"));
    REQUIRE(Fixture.Handler.targets() ==
            std::vector<std::string>{"/safe/1", "/safe/2"});
    Fixture.answer(1);
    CHECK(Fixture.received().empty());
    Fixture.answer(0);
    const std::string Answers = Fixture.received();
    REQUIRE(Answers.find("/safe/1") != std::string::npos);
    CHECK(Answers.find("/safe/1") < Answers.find("/safe/2"));
    CHECK_FALSE(Answers.ends_with("[closed]"));
  }
  SECTION("a request that may run once waits until the earlier are answered") {
    Fixture.send(PipelineFixture::request("GET", "/safe/1") +
                 PipelineFixture::request("POST", "/once/2") +
                 PipelineFixture::request("GET", "/safe/3"));
    REQUIRE(Fixture.Handler.targets() == std::vector<std::string>{"/safe/1"});
    Fixture.answer(0);
    CHECK(Fixture.Handler.targets() ==
          std::vector<std::string>{"/safe/1", "/once/2", "/safe/3"});
  }
  SECTION("a waiting request's time counts from its arrival") {
    // Guards against servers that are handed more time than the caller has
    // left, after a request has waited behind a slow one.
    Fixture.send(PipelineFixture::request("GET", "/safe/1"));
    const Instant SentAt = Fixture.Loop.now();
    Fixture.send(PipelineFixture::request("POST", "/once/2"));
    Fixture.run(150);
    Fixture.answer(0);
    REQUIRE(Fixture.Handler.Requests.size() == 2);
    CHECK(Fixture.Handler.Requests[1].Request.FirstByteAt - SentAt <
          std::chrono::milliseconds(50));
  }
  SECTION("the caller's disconnect ends all its requests") {
    Fixture.send(PipelineFixture::request("GET", "/safe/1") +
                 PipelineFixture::request("GET", "/safe/2"));
    Fixture.Caller.close();
    Fixture.run();
    CHECK(Fixture.Handler.Disconnected.size() == 2);
  }
}

TEST_CASE("Requests behind a response that closes the connection do not run",
          "[agent]") {
  // Guards against a request that may run once, ran behind such a response,
  // and is sent again by a caller who counts it as not read.
  PipelineFixture Fixture;
  SECTION("the caller asks for the close") {
    Fixture.send(
        PipelineFixture::request("POST", "/once/1", "Connection: close\r\n") +
        PipelineFixture::request("POST", "/once/2"));
    Fixture.answer(0);
    CHECK(Fixture.Handler.targets() == std::vector<std::string>{"/once/1"});
    const std::string Answers = Fixture.received();
    CHECK(Answers.find("Connection: close") != std::string::npos);
    CHECK(Answers.ends_with("[closed]"));
  }
  SECTION("the node drains") {
    // The response that closes the connection is the last one: what was
    // received before it, whole or in part, gets a response of its own.
    const std::string Third = PipelineFixture::request("POST", "/once/3");
    Fixture.send(PipelineFixture::request("POST", "/once/1") +
                 PipelineFixture::request("POST", "/once/2") +
                 Third.substr(0, 9));
    Fixture.Port.drain();
    Fixture.answer(0);
    CHECK(Fixture.Handler.targets() ==
          std::vector<std::string>{"/once/1", "/once/2"});
    Fixture.answer(1);
    std::string Answers = Fixture.received();
    CHECK(Answers.find("/once/1") != std::string::npos);
    CHECK(Answers.find("/once/2") != std::string::npos);
    CHECK(Answers.find("/once/1") < Answers.find("/once/2"));
    CHECK(Answers.find("Connection: close") == std::string::npos);
    CHECK_FALSE(Answers.ends_with("[closed]"));
    SECTION("and the rest of a request arrives") {
      Fixture.send(Third.substr(9));
      REQUIRE(Fixture.Handler.Requests.size() == 3);
      Fixture.answer(2);
      Answers = Fixture.received();
      CHECK(Answers.find("/once/3") != std::string::npos);
    }
    SECTION("and the rest of a request does not arrive in time") {
      Fixture.Port.refuseUnfinishedRequests();
      Fixture.run();
      Answers = Fixture.received();
      CHECK(Answers.starts_with("HTTP/1.1 503"));
      CHECK(Answers.find("Retry-After: ") != std::string::npos);
      CHECK(Fixture.Handler.Unfinished == 1);
    }
    CHECK(Answers.find("Connection: close") != std::string::npos);
    CHECK(Answers.ends_with("[closed]"));
    const std::vector<std::string> Started = Fixture.Handler.targets();
    Fixture.send(PipelineFixture::request("POST", "/once/4"));
    CHECK(Fixture.Handler.targets() == Started);
  }
  SECTION("a request arrives behind an answer that waits for its turn") {
    // Guards against an answer that announces the end of the connection when it
    // arrives, and is sent when requests have been received behind it.
    Fixture.send(PipelineFixture::request("GET", "/safe/1") +
                 PipelineFixture::request("GET", "/safe/2"));
    Fixture.Port.drain();
    Fixture.answer(1);
    Fixture.send(PipelineFixture::request("POST", "/once/3"));
    REQUIRE(Fixture.Handler.targets().size() == 2);
    Fixture.answer(0);
    REQUIRE(Fixture.Handler.targets().size() == 3);
    std::string Answers = Fixture.received();
    CHECK(Answers.find("/safe/2") != std::string::npos);
    CHECK(Answers.find("Connection: close") == std::string::npos);
    Fixture.answer(2);
    Answers = Fixture.received();
    CHECK(Answers.find("/once/3") != std::string::npos);
    CHECK(Answers.find("Connection: close") != std::string::npos);
    CHECK(Answers.ends_with("[closed]"));
  }
  SECTION("the caller asks for the close in the second of two lines") {
    Fixture.send(PipelineFixture::request("POST", "/once/1",
                                          "Connection: x-other\r\n"
                                          "Connection: close\r\n") +
                 PipelineFixture::request("POST", "/once/2"));
    Fixture.answer(0);
    CHECK(Fixture.Handler.targets() == std::vector<std::string>{"/once/1"});
    CHECK(Fixture.received().ends_with("[closed]"));
  }
  SECTION("the caller speaks HTTP/1.0") {
    const std::string Text = "GET /safe/1 HTTP/1.0\r\nHost: h\r\n";
    SECTION("and expects the close") {
      Fixture.send(Text + "\r\n");
      Fixture.answer(0);
      CHECK(Fixture.received().ends_with("[closed]"));
    }
    SECTION("and asks for an open connection, which the answer confirms") {
      Fixture.send(Text + "Connection: keep-alive\r\n\r\n");
      Fixture.answer(0);
      const std::string Answer = Fixture.received();
      CHECK(Answer.find("Connection: keep-alive") != std::string::npos);
      CHECK_FALSE(Answer.ends_with("[closed]"));
    }
  }
  SECTION("a drain answers all requests that run before it closes") {
    Fixture.send(PipelineFixture::request("GET", "/safe/1") +
                 PipelineFixture::request("GET", "/safe/2"));
    Fixture.Port.drain();
    Fixture.answer(0);
    Fixture.answer(1);
    const std::string Answers = Fixture.received();
    CHECK(Answers.find("/safe/2") != std::string::npos);
    CHECK(Answers.find("Connection: close") > Answers.find("/safe/1"));
    CHECK(Answers.ends_with("[closed]"));
  }
  SECTION("a malformed request is answered after the earlier ones") {
    Fixture.send(PipelineFixture::request("POST", "/once/1") +
                 "no request\r\n\r\n" +
                 PipelineFixture::request("POST", "/once/2"));
    Fixture.answer(0);
    CHECK(Fixture.Handler.targets() == std::vector<std::string>{"/once/1"});
    const std::string Answers = Fixture.received();
    CHECK(Answers.find("/once/1") < Answers.find("HTTP/1.1 400"));
    CHECK(Answers.ends_with("[closed]"));
  }
  SECTION("a request that is too large is answered after the earlier ones") {
    CallerLimits Limits;
    Limits.MaxBodyBytes = 10;
    Fixture.Port.setLimits(Limits);
    Fixture.send(PipelineFixture::request("POST", "/once/1") +
                 "POST /once/2 HTTP/1.1\r\nHost: h\r\n"
                 "Content-Length: 11\r\n\r\n01234567890" +
                 PipelineFixture::request("POST", "/once/3"));
    Fixture.answer(0);
    CHECK(Fixture.Handler.targets() == std::vector<std::string>{"/once/1"});
    const std::string Answers = Fixture.received();
    CHECK(Answers.find("HTTP/1.1 413") != std::string::npos);
    CHECK(Answers.ends_with("[closed]"));
  }
}

TEST_CASE("A drain serves a request that has just been accepted", "[agent]") {
  // Guards against a planned stop that closes a connection whose request has
  // reached the host but was not read yet.
  PipelineFixture Fixture;
  Fixture.run();
  const std::string Text = PipelineFixture::request("POST", "/once/1");
  Fixture.Caller.sendBytes(Text.data(), static_cast<int>(Text.size()));
  Fixture.Port.drain();
  REQUIRE(Fixture.Handler.targets() == std::vector<std::string>{"/once/1"});
  Fixture.answer(0);
  const std::string Answers = Fixture.received();
  CHECK(Answers.find("/once/1") != std::string::npos);
  CHECK(Answers.ends_with("[closed]"));
}

TEST_CASE("A caller that sends without end is held back", "[agent]") {
  SECTION("behind an unanswered request nothing is read beyond the limit") {
    // Guards against memory that grows with what a caller sends ahead, and
    // against a running request that is dropped because of it.
    PipelineLimits Limits;
    Limits.MaxWaitingBytes = std::size_t{64} * 1024;
    PipelineFixture Fixture(Limits);
    Fixture.send(PipelineFixture::request("POST", "/once/0"));
    constexpr int Behind = 200'000;
    std::thread Sender([&] {
      std::string Bytes;
      for (int I = 1; I <= Behind; ++I)
        Bytes += PipelineFixture::request("POST", "/once/n");
      try {
        for (std::size_t Sent = 0; Sent < Bytes.size();)
          Sent += static_cast<std::size_t>(Fixture.Caller.sendBytes(
              Bytes.data() + Sent, static_cast<int>(Bytes.size() - Sent)));
      } catch (const Poco::Exception &) {
        // The test has closed the connection.
      }
    });
    Fixture.run(200);
    CHECK(Fixture.Handler.Requests.size() == 1);
    CHECK(Fixture.Handler.Disconnected.empty());
    for (std::size_t Next = 0; Next < 3000; ++Next) {
      REQUIRE(Fixture.Handler.Requests.size() > Next);
      Fixture.Handler.answer(Next);
      if (Next % 500 == 0)
        Fixture.run(20);
    }
    Fixture.Caller.shutdown();
    Fixture.run(50);
    Sender.join();
  }
  SECTION("a line of a chunk size that does not end is refused") {
    PipelineFixture Fixture;
    Fixture.send("POST /once/1 HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
    Fixture.send("5;" + std::string(40'000, 'x'));
    CHECK(Fixture.Handler.Requests.empty());
    const std::string Answers = Fixture.received();
    CHECK(Answers.find("HTTP/1.1 400") != std::string::npos);
  }
  SECTION("many requests that are refused at once need no deep call stack") {
    struct RefusingHandler : ManualHandler {
      void onRequest(const std::shared_ptr<CallerConnection> &From,
                     CallerRequest &&Request) override {
        ++Refused;
        From->respond(Request.Number, makeLocalReply(404, "no-route"));
      }
      std::size_t Refused = 0;
    };
    EventLoop Loop;
    RefusingHandler Handler;
    CallerListener Port(Loop, Handler, "127.0.0.1:0");
    Poco::Net::StreamSocket Caller{
        Poco::Net::SocketAddress("127.0.0.1", Port.port())};
    std::string Bytes;
    for (int I = 0; I < 1000; ++I)
      Bytes += PipelineFixture::request("GET", "/safe/n");
    Caller.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    Loop.callAt(Loop.now() + std::chrono::milliseconds(200),
                [&] { Loop.stop(); });
    Loop.run();
    CHECK(Handler.Refused == 1000);
  }
}

TEST_CASE("An answer to HEAD leaves the connection in step", "[agent]") {
  // Guards against a body that the caller does not read, and takes for the
  // begin of the next answer.
  PipelineFixture Fixture;
  Fixture.send(PipelineFixture::request("HEAD", "/once/1") +
               PipelineFixture::request("GET", "/once/2"));
  Fixture.answer(0);
  Fixture.answer(1);
  const std::string Answers = Fixture.received();
  const std::size_t EndOfFirst = Answers.find("\r\n\r\n");
  REQUIRE(EndOfFirst != std::string::npos);
  CHECK(Answers.find("Content-Length: 19") < EndOfFirst);
  CHECK(Answers.substr(EndOfFirst + 4).starts_with("HTTP/1.1 200"));
  CHECK(Answers.ends_with("{\"error\":\"/once/2\"}"));
  SECTION("also where the request is refused before it is read") {
    Fixture.send("HEAD /once/3 HTTP/1.1\r\nHost: h\r\n"
                 "Content-Length: 1, 2\r\n\r\n");
    CHECK(Fixture.received().ends_with("\r\n\r\n[closed]"));
  }
}
