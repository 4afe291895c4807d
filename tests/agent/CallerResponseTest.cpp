#include <catch2/catch.hpp>

#include "BackendFixture.h"
#include "ScriptedServer.h"
#include "agent/CallerResponse.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

using Socket = Poco::Net::StreamSocket;
using Server = ScriptedServer;

/// Returns the value of a header line; "none" if the head has no such line.
std::string fieldOf(const std::string &Head, const std::string &Name) {
  const std::size_t At = Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return "none";
  const std::size_t Begin = At + Name.size() + 4;
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

} // namespace

TEST_CASE("A response is framed by its status and the request's method",
          "[agent]") {
  // Guards against bytes that stand where the next answer on the connection is
  // due. The rows follow RFC 9110, 8.6 and 9.3.2, and RFC 9112, 6.3.
  struct Row {
    const char *Name;
    int Status;
    bool ToHead;
    std::string Body;
    std::optional<std::uint64_t> UnsentLength;
    bool SendsBody;
    std::string Length;
  };
  const Row Case = GENERATE(values<Row>({
      {"an answer to GET", 200, false, "body", {}, true, "4"},
      {"an empty answer to GET", 200, false, "", {}, true, "0"},
      {"a failure", 503, false, "body", 9, true, "4"},
      {"a refused CONNECT", 404, false, "body", 4, true, "4"},
      {"HEAD, with the length that GET would have", 200, true, "", 4000, false,
       "4000"},
      {"HEAD, with a length of zero", 200, true, "", 0, false, "0"},
      {"HEAD, with an unknown length", 200, true, "", {}, false, "none"},
      {"HEAD, whose answer has a body all the same",
       200,
       true,
       "body",
       {},
       false,
       "none"},
      {"204", 204, false, "", {}, false, "none"},
      {"204 with a length", 204, false, "", 4, false, "none"},
      {"204 to HEAD", 204, true, "", 4, false, "none"},
      {"304", 304, false, "", {}, false, "none"},
      {"304 with the length of the unchanged body", 304, false, "", 4000, false,
       "4000"},
      {"304 to HEAD", 304, true, "", 4000, false, "4000"},
  }));
  INFO(Case.Name);
  const CallerResponse Response{Case.Status, "X-Own: 1\r\n", Case.Body,
                                Case.UnsentLength};
  const ResponseFraming Framing{Case.ToHead, false, false};
  const std::string Head = responseHead(Response, Framing);
  CHECK(sendsBody(Response, Framing) == Case.SendsBody);
  CHECK(fieldOf(Head, "Content-Length") == Case.Length);
  CHECK(fieldOf(Head, "X-Own") == "1");
  CHECK(fieldOf(Head, "Connection") == "none");
  CHECK(Head.ends_with("\r\n\r\n"));
}

TEST_CASE("A response says whether its connection stays open", "[agent]") {
  const CallerResponse Reply = makeLocalReply(401, "unknown-key");
  CHECK(fieldOf(responseHead(Reply, {false, true, false}), "Connection") ==
        "close");
  CHECK(fieldOf(responseHead(Reply, {false, false, true}), "Connection") ==
        "keep-alive");
  CHECK(fieldOf(responseHead(Reply, {false, true, true}), "Connection") ==
        "close");
  SECTION("a reply of the agent to HEAD has its length and no body") {
    CHECK_FALSE(sendsBody(Reply, {true, false, false}));
    CHECK(fieldOf(responseHead(Reply, {true, false, false}),
                  "Content-Length") == "23");
  }
}

TEST_CASE("The length in a server's answer without a body is kept", "[agent]") {
  struct Row {
    std::string Method;
    std::string Head;
    std::optional<std::uint64_t> Length;
  };
  const Row Case = GENERATE(values<Row>({
      {"HEAD", "200 OK\r\nContent-Length: 4000\r\n", 4000},
      {"HEAD", "200 OK\r\n", std::nullopt},
      {"HEAD", "200 OK\r\nTransfer-Encoding: chunked\r\n", std::nullopt},
      {"HEAD", "404 Not Found\r\nContent-Length: 7\r\n", 7},
      {"GET", "304 Not Modified\r\nContent-Length: 4000\r\n", 4000},
      {"GET", "204 No Content\r\n", std::nullopt},
      {"GET", "200 OK\r\nContent-Length: 0\r\n", std::nullopt},
  }));
  INFO(Case.Method << " " << Case.Head);
  Server FakeServer({[&](Socket &Peer) {
    for (int I = 0; I < 2; ++I) {
      const std::string Id = Server::readRequest(Peer);
      Server::write(Peer, "HTTP/1.1 " + Case.Head + "X-Id: " + Id +
                              "\r\nX-Stamp: s\r\n\r\n");
    }
    Server::waitForClose(Peer, 500);
  }});
  BackendFixture Fixture(FakeServer.address());
  // The second answer is read from the same connection.
  for (const std::string Id : {"a", "b"}) {
    CallRequest Request = Fixture.request(Id);
    Request.Method = Case.Method;
    const CallResult Answer = Fixture.callAndWait(std::move(Request));
    CHECK(Answer.Outcome == CallOutcome::Complete);
    CHECK(Answer.UnsentLength == Case.Length);
    CHECK(Answer.Body.empty());
  }
  CHECK(FakeServer.connectionCount() == 1);
}
