#include <catch2/catch.hpp>

#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "node/BackendClient.h"
#include "peer/Clock.h"

using namespace pollenwick;

namespace {

/// Backend server that answers one request with fixed bytes and closes.
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

TEST_CASE("Only a whole answer of a backend server is passed on", "[node]") {
  SECTION("with a length") {
    const CallReply Reply =
        replyForResponse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    CHECK(Reply.Result == Outcome::Done);
    CHECK(Reply.Body == "hello");
  }
  SECTION("in chunks") {
    const CallReply Reply =
        replyForResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n");
    CHECK(Reply.Result == Outcome::Done);
    CHECK(Reply.Body == "hello");
  }
  // Guards against a crash in the middle of an answer that looks like its end.
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
      std::string("HTTP/1.1 2"), std::string());
  SECTION("cut: " + Cut.substr(0, 60)) {
    const CallReply Reply = replyForResponse(Cut);
    CHECK(Reply.Result == Outcome::Unknown);
    CHECK(Reply.Body.empty());
  }
}

TEST_CASE("A server that exits is told from a lost connection", "[node]") {
  // Guards against a crash that goes unnoticed, after which the request that
  // caused it is sent to the next server.
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  BackendClient Client({"127.0.0.1", Listener.address().port()}, 4,
                       MaxBodyBytes);
  SECTION("the listener of an exiting process goes after its connections") {
    std::thread Exit([&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      Listener.close();
    });
    CHECK(Client.hasServerExited());
    Exit.join();
  }
  SECTION("a server that runs on keeps a new connection open") {
    CHECK_FALSE(Client.hasServerExited());
  }
}

TEST_CASE("A call that reached no server has not run", "[node]") {
  // Guards against "unknown" where a retry would be safe.
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
