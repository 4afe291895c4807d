#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include <Poco/Net/SocketAddress.h>

#include "BackendFixture.h"
#include "ScriptedServer.h"
#include "agent/CallerListener.h"
#include "agent/StringUtil.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

/// Answers each request with its target and body.
struct EchoHandler : CallerEventHandler {
  int Requests = 0;

  void onRequest(const std::shared_ptr<CallerConnection> &From,
                 CallerRequest &&Request) override {
    ++Requests;
    From->respond(
        Request.Number,
        makeLocalReply(200, concat(Request.Target, Request.Body.view())));
  }
  bool mayOverlap(const CallerRequest & /*Request*/) const override {
    return false;
  }
  void onCallerDisconnected(CallerRequestNumber /*Number*/) override {}
};

/// Sends `Bytes` on a new connection and returns all that is answered.
std::string exchange(const std::string &Bytes, EchoHandler &Handler) {
  EventLoop Loop;
  CallerListener Port(Loop, Handler, "127.0.0.1:0");
  Poco::Net::StreamSocket Caller{
      Poco::Net::SocketAddress("127.0.0.1", Port.port())};
  Caller.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
  Loop.callAt(Loop.now() + std::chrono::milliseconds(20), [&] { Loop.stop(); });
  Loop.run();
  std::string Received;
  char Buffer[4096];
  while (Caller.poll(0, Poco::Net::Socket::SELECT_READ)) {
    const int Count = Caller.receiveBytes(Buffer, sizeof(Buffer));
    if (Count <= 0)
      break;
    Received.append(Buffer, static_cast<std::size_t>(Count));
  }
  return Received;
}

struct Form {
  std::string Header;
  std::string Body;
  int Status;
  std::string Version = "HTTP/1.1";
};

const std::string Chunks = "4\r\nwick\r\n0\r\n\r\n";
/// Text of a request that must never be taken for one.
const std::string Inner = "POST /inner HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("Each form of a request's framing is read in one way", "[agent]") {
  // Guards against a request that another program on the way sees end elsewhere
  // (RFC 9112, 6.1 and 6.3), so that a part of its body runs as a request.
  const std::string Te = "Transfer-Encoding: ";
  const std::string Cl = "Content-Length: ";
  const std::vector<Form> Forms{
      {Te + "chunked\r\n", Chunks, 200},
      {Te + "Chunked\r\n", Chunks, 200},
      {Te + " \t chunked \t\r\n", Chunks, 200},
      {Te + "chunked, identity\r\n", Inner, 400},
      {Te + "identity\r\n", Inner, 400},
      {Te + "gzip\r\n", Inner, 400},
      {Te + "\r\n", Inner, 400},
      {Te + "chunked,\r\n", Inner, 400},
      {Te + "chunked;q=1\r\n", Inner, 400},
      {Te + "xchunked\r\n", Inner, 400},
      {Te + "\"chunked\"\r\n", Inner, 400},
      {Te + "chunked, chunked\r\n", Chunks, 400},
      {Te + "gzip, chunked\r\n", Chunks, 501},
      {Te + "identity, chunked\r\n", Chunks, 501},
      {Te + "chunked\r\n" + Te + "identity\r\n", Inner, 400},
      {Te + "chunked\r\n" + Te + "chunked\r\n", Chunks, 400},
      {Te + "chunked\r\n", Chunks, 400, "HTTP/1.0"},
      {Te + "chunked\r\n" + Cl + "4\r\n", Chunks, 400},
      {Cl + "4\r\n" + Te + "chunked\r\n", Chunks, 400},
      {Cl + "4\r\n" + Te + "identity\r\n", Inner, 400},
      {Cl + "4\r\n", "wick", 200},
      {Cl + "4\r\n", "wick", 200, "HTTP/1.0"},
      {Cl + "0004\r\n", "wick", 200},
      {Cl + "4\r\n" + Cl + "4\r\n", "wick", 400},
      {Cl + "4\r\n" + Cl + "0\r\n", Inner, 400},
      {Cl + "4, 4\r\n", "wick", 400},
      {Cl + "\r\n", Inner, 400},
      {Cl + "+4\r\n", "wick", 400},
      {Cl + "-4\r\n", Inner, 400},
      {Cl + "4 4\r\n", "wick", 400},
      {Cl + "0x4\r\n", "wick", 400},
      {Cl + "18446744073709551620\r\n", "wick", 400},
      {Te + "chunked\r\n", "10000000000000004\r\nwick\r\n0\r\n\r\n", 400},
      {Te + "chunked\r\n", "+4\r\nwick\r\n0\r\n\r\n", 400},
      {Te + "chunked\r\n", "-4\r\nwick\r\n0\r\n\r\n", 400},
      {Te + "chunked\r\n", "0x4\r\nwick\r\n0\r\n\r\n", 400},
      {Te + "chunked\r\n", "\r\nwick\r\n0\r\n\r\n", 400},
      {Te + "chunked\r\n", "4\nwick\r\n0\r\n\r\n", 400},
      {Te + "chunked\r\n", "4\r\nwickX\r\n0\r\n\r\n", 400},
  };
  for (const Form &Item : Forms) {
    CAPTURE(Item.Header, Item.Body, Item.Version);
    EchoHandler Handler;
    const std::string Answer =
        exchange("POST /outer " + Item.Version + "\r\nHost: h\r\n" +
                     Item.Header + "\r\n" + Item.Body,
                 Handler);
    CHECK(Answer.starts_with("HTTP/1.1 " + std::to_string(Item.Status)));
    CHECK(Handler.Requests == (Item.Status == 200 ? 1 : 0));
    if (Item.Status == 200)
      CHECK(Answer.find("/outerwick") != std::string::npos);
    else
      CHECK(Answer.find("Connection: close") != std::string::npos);
  }
}

TEST_CASE("Each form of an answer's framing is read in one way", "[agent]") {
  // Guards against an answer that is passed on with the wrong end, or whose
  // rest is taken for the answer to the next call.
  struct AnswerForm {
    std::string Header;
    std::string Body;
    bool Complete;
    std::string Version = "HTTP/1.1";
  };
  const std::string Te = "Transfer-Encoding: ";
  const std::string Cl = "Content-Length: ";
  const std::vector<AnswerForm> Forms{
      {Te + "chunked\r\n", Chunks, true},
      {Cl + "4\r\n", "wick", true},
      {"", "wick", true},
      {Te + "chunked, identity\r\n", "wick", false},
      {Te + "gzip\r\n", "wick", false},
      {Te + "gzip, chunked\r\n", Chunks, false},
      {Te + "chunked\r\n", Chunks, false, "HTTP/1.0"},
      {Te + "chunked\r\n" + Cl + "4\r\n", Chunks, false},
      {Cl + "4\r\n" + Te + "chunked\r\n", Chunks, false},
      {Cl + "4\r\n" + Cl + "4\r\n", "wick", false},
      {Cl + "4\r\n" + Cl + "5\r\n", "wick", false},
      {Cl + "\r\n", "wick", false},
      {Cl + "+4\r\n", "wick", false},
      {Te + "chunked\r\n", "10000000000000004\r\nwick\r\n0\r\n\r\n", false},
  };
  for (const AnswerForm &Item : Forms) {
    CAPTURE(Item.Header, Item.Body, Item.Version);
    ScriptedServer FakeServer({[&](Poco::Net::StreamSocket &Peer) {
      const std::string Id = ScriptedServer::readRequest(Peer);
      ScriptedServer::write(Peer, Item.Version + " 200 OK\r\nX-Id: " + Id +
                                      "\r\nX-Stamp: s\r\n" + Item.Header +
                                      "\r\n" + Item.Body);
    }});
    BackendFixture Fixture(FakeServer.address());
    const CallResult Answer = Fixture.callAndWait("a");
    CHECK((Answer.Outcome == CallOutcome::Complete) == Item.Complete);
    CHECK(Answer.Body == (Item.Complete ? "wick" : ""));
    CHECK(Answer.ReachedServer);
  }
}
