#include <catch2/catch.hpp>

#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "node/BackendClient.h"
#include "peer/Clock.h"

using namespace pollenwick;

namespace {

/// Backend server that answers one request with fixed bytes and then shuts down
/// its side of the connection.
class SingleResponseServer {
public:
  explicit SingleResponseServer(std::string Bytes)
      : Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Thread([this, Bytes = std::move(Bytes)] {
          Poco::Net::StreamSocket Peer = Listener.acceptConnection();
          char Buffer[4096];
          Peer.receiveBytes(Buffer, sizeof(Buffer));
          Peer.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
          Peer.shutdownSend();
          while (Peer.receiveBytes(Buffer, sizeof(Buffer)) > 0)
            continue;
        }) {}
  ~SingleResponseServer() { Thread.join(); }

  Endpoint address() const { return {"127.0.0.1", Listener.address().port()}; }

private:
  Poco::Net::ServerSocket Listener;
  std::thread Thread;
};

constexpr std::size_t MaxBodyBytes = 1000;

/// Returns the client's reply for a backend server that sends `Bytes`.
CallReply replyForResponse(const std::string &Bytes) {
  SingleResponseServer Server(Bytes);
  BackendClient Client(Server.address(), 4, MaxBodyBytes);
  CallRequest Call;
  Call.Method = "GET";
  Call.PathAndQuery = "/catalogo/stock";
  Call.Deadline = now() + std::chrono::seconds(5);
  Call.Headers.push_back({"Authorization", "Bearer secret"});
  return Client.run(Call, "handle").Reply;
}

} // namespace

TEST_CASE("Only a complete response of a backend server is passed on",
          "[node]") {
  SECTION("a response with a Content-Length") {
    const CallReply Reply =
        replyForResponse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    CHECK(Reply.Result == Outcome::Done);
    CHECK(Reply.Body == "hello");
  }
  SECTION("a chunked response") {
    const CallReply Reply =
        replyForResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n");
    CHECK(Reply.Result == Outcome::Done);
    CHECK(Reply.Body == "hello");
  }
  // Guards against passing on a truncated response: a backend server that
  // crashes while it sends closes the connection, which can look like the end
  // of the response. Malformed and oversized responses are covered as well.
  const std::string Cut = GENERATE(
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"),
      std::string("HTTP/1.1 200 OK\r\n\r\nhello"),
      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "5\r\nhello\r\n"),
      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "5\r\nhel"),
      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "zz\r\nhello\r\n0\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "ffffffffffffffff\r\nhello\r\n0\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nhello"),
      std::string("HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nhello"),
      std::string("HTTP/1.1 600 X\r\nContent-Length: 5\r\n\r\nhello"),
      std::string("HTTP/1.1 2"), std::string());
  SECTION("an incomplete or invalid response: " + Cut.substr(0, 60)) {
    const CallReply Reply = replyForResponse(Cut);
    CHECK(Reply.Result == Outcome::Unknown);
    CHECK(Reply.Body.empty());
  }
}

TEST_CASE("A backend server that exits is distinguished from a lost connection",
          "[node]") {
  // Guards against a crash that is mistaken for a lost connection: the request
  // that caused it would be retried on the next server and crash that one too.
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  BackendClient Client({"127.0.0.1", Listener.address().port()}, 4,
                       MaxBodyBytes);
  SECTION(
      "a listener that closes after the connections marks an exited server") {
    std::thread Exit([&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      Listener.close();
    });
    CHECK(Client.hasServerExited());
    Exit.join();
  }
  SECTION("a server that keeps a new connection open has not exited") {
    CHECK_FALSE(Client.hasServerExited());
  }
}

TEST_CASE("A call that could not connect to a backend server has not run",
          "[node]") {
  // Guards against reporting the outcome as Unknown, which forbids a retry,
  // although the call cannot have run and a retry is safe.
  Poco::Net::ServerSocket Unused(Poco::Net::SocketAddress("127.0.0.1", 0));
  const Endpoint ClosedEndpoint{"127.0.0.1", Unused.address().port()};
  Unused.close();
  BackendClient Client(ClosedEndpoint, 4, MaxBodyBytes);
  CallRequest Call;
  Call.Method = "GET";
  Call.PathAndQuery = "/";
  Call.Deadline = now() + std::chrono::seconds(1);
  CHECK(Client.run(Call, "handle").Reply.Result == Outcome::NotRun);
  CHECK(Client.hasServerExited());
}
