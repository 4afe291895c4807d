#include <catch2/catch.hpp>

#include <future>
#include <optional>
#include <thread>

#include <Poco/Exception.h>

#include "BackendFixture.h"
#include "ScriptedServer.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

using Socket = Poco::Net::StreamSocket;
using Server = ScriptedServer;

/// Long enough for the two parts of an answer to be read separately.
constexpr std::chrono::milliseconds PauseBetweenParts{3};

std::string makeChunkedResponse(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + Id +
         "\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
         "10\r\n0123456789abcdef\r\n3\r\nend\r\n0\r\n\r\n";
}

/// A server that sends each answer in two parts, split one byte later each
/// time. `Make` returns the answer to the request with the given id.
Server::Script
answerInTwoParts(const std::function<std::string(const std::string &)> &Make,
                 std::size_t Answers) {
  return [Make, Answers](Socket &Peer) {
    Peer.setNoDelay(true);
    for (std::size_t Split = 1; Split <= Answers; ++Split) {
      const std::string Text = Make(Server::readRequest(Peer));
      Server::write(Peer, Text.substr(0, Split));
      std::this_thread::sleep_for(PauseBetweenParts);
      Server::write(Peer, Text.substr(Split));
    }
  };
}

} // namespace

TEST_CASE("An answer is whole wherever it is split into packets", "[agent]") {
  // Guards against a part of a header line or chunk size that is lost at the
  // end of a packet. The rest of "10" is "0", which would end the answer early
  // with a complete success.
  SECTION("with a length") {
    const auto Make = [](const std::string &Id) {
      return Server::makeResponse(Id, "0123456789abcdef");
    };
    const std::size_t Splits = Make("a").size() - 1;
    Server FakeServer({answerInTwoParts(Make, Splits)});
    BackendFixture Fixture(FakeServer.address());
    for (std::size_t Split = 1; Split <= Splits; ++Split) {
      INFO("split after byte " << Split);
      const CallResult Answer = Fixture.callAndWait("a");
      REQUIRE(Answer.Outcome == CallOutcome::Complete);
      REQUIRE(Answer.Body == "0123456789abcdef");
    }
  }
  SECTION("in chunks") {
    const std::size_t Splits = makeChunkedResponse("a").size() - 1;
    Server FakeServer({answerInTwoParts(makeChunkedResponse, Splits)});
    BackendFixture Fixture(FakeServer.address());
    for (std::size_t Split = 1; Split <= Splits; ++Split) {
      INFO("split after byte " << Split);
      const CallResult Answer = Fixture.callAndWait("a");
      REQUIRE(Answer.Outcome == CallOutcome::Complete);
      REQUIRE(Answer.Body == "0123456789abcdefend");
    }
  }
}

TEST_CASE("A second copy of an answer never reaches another call", "[agent]") {
  SECTION("it arrives with the answer while another call waits for its slot") {
    // Guards against a copy that is read as the answer to the call that takes
    // over the slot, and the connection, in the same moment.
    Server FakeServer({[](Socket &Peer) {
                         const std::string Id = Server::readRequest(Peer);
                         const std::string Answer =
                             "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
                             "Content-Length: 0\r\n\r\n";
                         Server::write(Peer, Answer + Answer);
                         Server::waitForClose(Peer, 1000);
                       },
                       [](Socket &Peer) {
                         const std::string Id = Server::readRequest(Peer);
                         Server::write(Peer, Server::makeResponse(Id, "own"));
                       }});
    BackendFixture Fixture(FakeServer.address());
    Fixture.Entry.Slots = 1;
    Fixture.Target.setServer(&Fixture.Entry, 100);
    std::optional<CallResult> First;
    Fixture.Target.submit(Fixture.request("a"), [&](CallResult &&Answer) {
      First = std::move(Answer);
    });
    const CallResult Second = Fixture.callAndWait("b");
    REQUIRE(First.has_value());
    CHECK(First->Outcome == CallOutcome::NotRun);
    CHECK(Second.Outcome == CallOutcome::Complete);
    CHECK(Second.Body == "own");
  }
  SECTION("it has no id and arrives during the next call") {
    // Guards against a call that is reported as not run, because of a copy of
    // an earlier refusal, and runs all the same.
    const std::string Refusal = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
                                "Content-Length: 0\r\n\r\n";
    Server FakeServer({[&](Socket &Peer) {
      Server::readRequest(Peer);
      Server::write(Peer, Refusal);
      const std::string Id = Server::readRequest(Peer);
      Server::write(Peer, Refusal);
      Server::write(Peer, Server::makeResponse(Id, "ran"));
    }});
    BackendFixture Fixture(FakeServer.address());
    CHECK(Fixture.callAndWait("a").Outcome == CallOutcome::NotRun);
    CHECK(Fixture.callAndWait("b").Outcome == CallOutcome::Unknown);
  }
  SECTION("it is a refusal of the same request, which is placed here again") {
    // Guards against a request that is reported as not run, and placed on a
    // second server, because of a copy of its own earlier refusal.
    const std::string Refusal = "HTTP/1.1 503 Busy\r\nX-Id: a\r\n"
                                "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    constexpr int UntilSecondRequestMs = 300;
    Server FakeServer({[&](Socket &Peer) {
                         Server::readRequest(Peer);
                         Server::write(Peer, Refusal);
                         if (Server::waitForClose(Peer, UntilSecondRequestMs) ||
                             Peer.available() == 0)
                           return;
                         Server::readRequest(Peer);
                         Server::write(Peer, Refusal);
                         Server::write(Peer, Server::makeResponse("a", "ran"));
                       },
                       [](Socket &Peer) {
                         const std::string Id = Server::readRequest(Peer);
                         Server::write(Peer, Server::makeResponse(Id, "ran"));
                       }});
    BackendFixture Fixture(FakeServer.address());
    CHECK(Fixture.callAndWait("a").Outcome == CallOutcome::NotRun);
    CHECK(Fixture.callAndWait("a").Outcome != CallOutcome::NotRun);
  }
  SECTION("it arrives on an idle connection") {
    Server FakeServer({[](Socket &Peer) {
                         const std::string Id = Server::readRequest(Peer);
                         Server::write(Peer, Server::makeResponse(Id, "a"));
                         std::this_thread::sleep_for(
                             std::chrono::milliseconds(20));
                         Server::write(Peer, Server::makeResponse(Id, "a"));
                         Server::waitForClose(Peer, 1000);
                       },
                       [](Socket &Peer) {
                         const std::string Id = Server::readRequest(Peer);
                         Server::write(Peer, Server::makeResponse(Id, "b"));
                       }});
    BackendFixture Fixture(FakeServer.address());
    CHECK(Fixture.callAndWait("a").Body == "a");
    Fixture.runFor(60);
    CHECK(Fixture.callAndWait("b").Body == "b");
    CHECK(FakeServer.connectionCount() == 2);
  }
}

TEST_CASE("An answer that is cut anywhere is never passed on as complete",
          "[agent]") {
  const std::string Whole = GENERATE(Server::makeResponse("a", "0123456789"),
                                     makeChunkedResponse("a"));
  for (std::size_t Length = 1; Length < Whole.size(); ++Length) {
    INFO("cut after byte " << Length << " of " << Whole);
    Server FakeServer({[&](Socket &Peer) {
      Server::readRequest(Peer);
      Server::write(Peer, Whole.substr(0, Length));
    }});
    BackendFixture Fixture(FakeServer.address());
    REQUIRE(Fixture.callAndWait("a").Outcome == CallOutcome::Unknown);
  }
}

TEST_CASE("An answer that ends with its connection is never complete when it "
          "is cut in its head",
          "[agent]") {
  // Guards against a success with an empty or short body, framed as whole.
  const std::string Head = GENERATE(
      as<std::string>(), "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Id: a\r\nConnection: close\r\n\r\n",
      "HTTP/1.0 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\nX-Id: a\r\nX-Stamp: s\r\n\r\n");
  for (std::size_t Length = 0; Length < Head.size(); ++Length) {
    INFO("cut after byte " << Length << " of " << Head);
    Server FakeServer({[&](Socket &Peer) {
      Server::readRequest(Peer);
      Server::write(Peer, Head.substr(0, Length));
    }});
    BackendFixture Fixture(FakeServer.address());
    REQUIRE(Fixture.callAndWait("a").Outcome == CallOutcome::Unknown);
  }
}

TEST_CASE("An answer without a length that is reset is never complete",
          "[agent]") {
  // Guards against half an answer that is passed on as a whole 200: a reset was
  // taken for the orderly end if the rest of the upload was still to be sent.
  constexpr int Uploads = 8;
  constexpr std::size_t UploadBytes = std::size_t{24} * 1024 * 1024;
  const std::string Part = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\n"
                           "Connection: close\r\n\r\nhalf";
  Server FakeServer(std::vector<Server::Script>(Uploads, [&](Socket &Peer) {
    Server::readRequest(Peer);
    Server::write(Peer, Part);
    std::string Read(std::size_t{1} << 20, '\0');
    Peer.receiveBytes(Read.data(), static_cast<int>(Read.size()));
    Peer.setLinger(true, 0);
    Peer.close();
  }));
  BackendFixture Fixture(FakeServer.address());
  for (int Upload = 0; Upload < Uploads; ++Upload) {
    CallRequest Request = Fixture.request("a", 3000);
    Request.Method = "POST";
    Request.Retryable = false;
    Request.Body = std::string(UploadBytes, 'u');
    const CallResult Answer = Fixture.callAndWait(std::move(Request));
    CHECK(Answer.Outcome == CallOutcome::Unknown);
  }
}

namespace {

/// Sends `Piece` again and again until the caller closes the connection or
/// `Limit` bytes are sent. Returns the number of bytes that were sent.
std::size_t sendUntilClosed(Socket &Peer, const std::string &Piece,
                            std::size_t Limit) {
  std::size_t Sent = 0;
  try {
    while (Sent < Limit) {
      Server::write(Peer, Piece);
      Sent += Piece.size();
    }
  } catch (const Poco::Exception &) {
    // The caller has closed the connection.
  }
  return Sent;
}

} // namespace

TEST_CASE("Bytes without end from a server are cut off", "[agent]") {
  // Guards against memory that grows until the process ends, and against a
  // connection that is read until the deadline of its call.
  constexpr std::size_t MemoryBytes = std::size_t{32} * 1024 * 1024;
  // Includes what the sockets' buffers hold when the connection closes.
  constexpr std::size_t MaxSentBytes = std::size_t{16} * 1024 * 1024;
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\n";
  struct Case {
    const char *Name;
    std::string Begin;
    std::string Piece;
  };
  const Case Endless = GENERATE_COPY(values<Case>({
      {"status line", "HTTP/1.1 200 ", std::string(4096, 'a')},
      {"header line", Head + "X-Long: ", std::string(4096, 'a')},
      {"header lines", Head, "X-More: " + std::string(400, 'a') + "\r\n"},
      {"no HTTP at all", "", std::string(4096, '\0')},
      {"body without a length", Head + "\r\n", std::string(65536, 'a')},
      {"body beyond its length", Head + "Content-Length: 4\r\n\r\nbody",
       std::string(4096, 'a')},
      {"chunks", Head + "Transfer-Encoding: chunked\r\n\r\n",
       "1000\r\n" + std::string(4096, 'a') + "\r\n"},
      {"chunk size line", Head + "Transfer-Encoding: chunked\r\n\r\n5;",
       std::string(4096, 'a')},
      {"trailers", Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-More: " + std::string(400, 'a') + "\r\n"},
      {"interim responses", "",
       "HTTP/1.1 102 Processing\r\nX-Note: " + std::string(400, 'a') +
           "\r\n\r\n"},
      {"answers to other calls", "",
       Server::makeResponse("other", std::string(4096, 'a'))},
  }));
  INFO(Endless.Name);
  std::promise<std::size_t> Sent;
  Server FakeServer({[&](Socket &Peer) {
                       Server::readRequest(Peer);
                       Server::write(Peer, Endless.Begin);
                       Sent.set_value(
                           sendUntilClosed(Peer, Endless.Piece, MaxSentBytes));
                     },
                     [](Socket &Peer) {
                       const std::string Id = Server::readRequest(Peer);
                       Server::write(Peer, Server::makeResponse(Id, "well"));
                     }});
  BackendFixture Fixture(FakeServer.address(), responseLimitsFor(MemoryBytes));
  const CallResult Answer = Fixture.callAndWait("a", 3000);
  // The bytes may arrive after the answer, so the loop goes on until the server
  // notices that its connection is closed.
  std::future<std::size_t> SentBytes = Sent.get_future();
  for (int I = 0; I < 100 && SentBytes.wait_for(std::chrono::seconds(0)) !=
                                 std::future_status::ready;
       ++I)
    Fixture.runFor(50);
  REQUIRE(SentBytes.wait_for(std::chrono::seconds(0)) ==
          std::future_status::ready);
  CHECK(SentBytes.get() < MaxSentBytes);
  CHECK(Fixture.Target.bufferedBytes() == 0);
  if (Answer.Outcome == CallOutcome::Complete) {
    // The answer itself was whole.
    CHECK(Answer.Body == "body");
  } else {
    CHECK(Answer.Outcome == CallOutcome::Unknown);
    CHECK(Answer.ReachedServer);
    CHECK(Fixture.Target.load().FailureRate > 0);
  }
  CHECK(Fixture.callAndWait("b").Body == "well");
}

TEST_CASE("A status that is none of HTTP is no answer", "[agent]") {
  // Guards against a caller that gets such a status as the server's answer, or
  // that waits until its deadline because it counts as an interim one.
  const std::string Status = GENERATE("000", "001", "099", "101", "600", "999");
  Server FakeServer({[&](Socket &Peer) {
    const std::string Id = Server::readRequest(Peer);
    Server::write(Peer, "HTTP/1.1 " + Status + " X\r\nX-Id: " + Id +
                            "\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok");
    Server::waitForClose(Peer, 2000);
  }});
  BackendFixture Fixture(FakeServer.address());
  const Instant Begin = Fixture.Loop.now();
  const CallResult Answer = Fixture.callAndWait("a", 1000);
  INFO(Status);
  CHECK(Answer.Outcome == CallOutcome::Unknown);
  CHECK(Answer.Cause == "unreadable-answer");
  CHECK(Answer.ReachedServer);
  CHECK(Fixture.Loop.now() - Begin < std::chrono::milliseconds(500));
}

TEST_CASE("Bytes that come slowly without end stop at the call's deadline",
          "[agent]") {
  Server FakeServer({[](Socket &Peer) {
    Server::readRequest(Peer);
    Server::write(Peer, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\n\r\n");
    for (int I = 0; I < 100; ++I) {
      Server::write(Peer, "a");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }});
  BackendFixture Fixture(FakeServer.address());
  const Instant Begin = Fixture.Loop.now();
  const CallResult Answer = Fixture.callAndWait("a", 200);
  CHECK(Answer.Outcome == CallOutcome::Unknown);
  CHECK(Fixture.Loop.now() - Begin < std::chrono::seconds(1));
}
