#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "platform/StoreClient.h"

using namespace pollenwick;
using namespace pollenwick::platform;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds AnswerTimeout{200};

/// A store that answers the n-th request, counted from 0, after the time that
/// the test names.
class DelayingStore {
public:
  using DelayOf = std::function<milliseconds(int)>;

  explicit DelayingStore(DelayOf Delay)
      : Shared(std::make_shared<State>(std::move(Delay))),
        Server(
            new Factory(Shared),
            Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)),
            new Poco::Net::HTTPServerParams) {
    Server.start();
  }
  ~DelayingStore() { Server.stopAll(true); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server.port());
  }
  int requestCount() const { return Shared->Requests; }

private:
  /// Handlers outlive the server, which does not wait for them. They must not
  /// count in the store of the next section.
  struct State {
    explicit State(DelayOf TheDelay) : Delay(std::move(TheDelay)) {}
    DelayOf Delay;
    std::atomic<int> Requests{0};
  };
  class Handler : public Poco::Net::HTTPRequestHandler {
  public:
    explicit Handler(std::shared_ptr<State> TheState)
        : Shared(std::move(TheState)) {}
    void handleRequest(Poco::Net::HTTPServerRequest & /*Request*/,
                       Poco::Net::HTTPServerResponse &Response) override {
      const int Number = Shared->Requests++;
      std::this_thread::sleep_for(Shared->Delay(Number));
      const std::string Body = "{\"as_of\":" + std::to_string(Number) + "}";
      Response.setContentLength64(static_cast<Poco::Int64>(Body.size()));
      Response.send() << Body;
    }

  private:
    std::shared_ptr<State> Shared;
  };
  class Factory : public Poco::Net::HTTPRequestHandlerFactory {
  public:
    explicit Factory(std::shared_ptr<State> TheState)
        : Shared(std::move(TheState)) {}
    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
      return new Handler(Shared);
    }

  private:
    std::shared_ptr<State> Shared;
  };

  std::shared_ptr<State> Shared;
  Poco::Net::HTTPServer Server;
};

/// How a store ends a connection.
enum class Ending { Close, Reset };

/// A store that sends fixed bytes on its first connection, after it has read
/// the request, and ends the connection.
class CuttingStore {
public:
  CuttingStore(std::string Bytes, Ending How)
      : Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Thread([this, Bytes = std::move(Bytes), How] {
          Poco::Net::StreamSocket Peer = Listener.acceptConnection();
          char Request[4096];
          Peer.receiveBytes(Request, sizeof(Request));
          Peer.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
          if (How == Ending::Reset)
            Peer.setLinger(true, 0);
          Peer.close();
        }) {}
  ~CuttingStore() { Thread.join(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Listener.address().port());
  }

private:
  Poco::Net::ServerSocket Listener;
  std::thread Thread;
};

/// Returns what a read gives if the store sends `Bytes` and ends the
/// connection.
absl::Status readCut(const std::string &Bytes, Ending How) {
  CuttingStore Store(Bytes, How);
  StoreClient Client(Store.address(), AnswerTimeout);
  return Client.read("/item").status();
}

/// Reads until an answer arrives, at most `Tries` times.
absl::StatusOr<StoreAnswer> readUntilAnswered(StoreClient &Client, int Tries) {
  absl::StatusOr<StoreAnswer> Answer = Client.read("/item");
  for (int Try = 1; Try < Tries && !Answer.ok(); ++Try)
    Answer = Client.read("/item");
  return Answer;
}

} // namespace

TEST_CASE("A read of the store ends in time, and a slow store still serves",
          "[platform]") {
  SECTION("a request that is never answered does not hold up the next") {
    // Guards against a reader that waits for an answer lost in an outage, long
    // after the store has returned.
    DelayingStore Store([](int Number) {
      return Number == 0 ? milliseconds(5000) : milliseconds(0);
    });
    StoreClient Client(Store.address(), AnswerTimeout);
    const auto Begin = std::chrono::steady_clock::now();
    CHECK(absl::IsDeadlineExceeded(Client.read("/item").status()));
    CHECK(Client.read("/item").ok());
    CHECK(std::chrono::steady_clock::now() - Begin < milliseconds(1000));
  }
  SECTION("the late answer to an earlier request is taken") {
    // Guards against records that stay old for as long as the store takes more
    // than the timeout for each answer.
    DelayingStore Store([](int) { return 3 * AnswerTimeout; });
    StoreClient Client(Store.address(), AnswerTimeout);
    const auto Answer = readUntilAnswered(Client, 5);
    REQUIRE(Answer.ok());
    CHECK(Answer->Body->getValue<int>("as_of") == 0);
    // Guards against records that pass for newer than they are.
    CHECK(Answer->SentAt.time_since_epoch() <
          std::chrono::steady_clock::now().time_since_epoch() -
              2 * AnswerTimeout);

    SECTION("and the later requests are dropped") {
      CHECK(Store.requestCount() <= 4);
      const auto Next = readUntilAnswered(Client, 5);
      REQUIRE(Next.ok());
      CHECK(Next->Body->getValue<int>("as_of") > 2);
    }
  }
  SECTION("a watch waits for its time and the timeout") {
    DelayingStore Store([](int) { return 2 * AnswerTimeout; });
    StoreClient Client(Store.address(), AnswerTimeout);
    CHECK(Client.read("/watch", 2 * AnswerTimeout).ok());
    CHECK(Store.requestCount() == 1);
  }
  SECTION("answers to another path are not taken") {
    DelayingStore Store([](int Number) {
      return Number == 0 ? 2 * AnswerTimeout : milliseconds(0);
    });
    StoreClient Client(Store.address(), AnswerTimeout);
    CHECK_FALSE(Client.read("/first").ok());
    std::this_thread::sleep_for(2 * AnswerTimeout);
    const auto Answer = Client.read("/second");
    REQUIRE(Answer.ok());
    CHECK(Answer->Body->getValue<int>("as_of") == 1);
  }
}

TEST_CASE("Only a whole answer of the store counts", "[platform]") {
  // Guards against an answer that broke off and passes for "no such item", for
  // lost history, or for a list, by its head or by the part that arrived.
  struct Case {
    std::string Answer;
    absl::StatusCode Whole;
    bool EndsWithConnection;
  };
  const Case Tested = GENERATE(values<Case>({
      {"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"as_of\":1}",
       absl::StatusCode::kOk, false},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "b\r\n{\"as_of\":1}\r\n0\r\n\r\n",
       absl::StatusCode::kOk, false},
      {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"as_of\":1}",
       absl::StatusCode::kOk, true},
      {"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}",
       absl::StatusCode::kNotFound, false},
      {"HTTP/1.1 410 Gone\r\nContent-Length: 2\r\n\r\n{}",
       absl::StatusCode::kOutOfRange, false},
      {"HTTP/1.1 410 Gone\r\nTransfer-Encoding: chunked\r\n\r\n"
       "2\r\n{}\r\n0\r\n\r\n",
       absl::StatusCode::kOutOfRange, false},
      {"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}",
       absl::StatusCode::kUnavailable, false},
  }));
  INFO(Tested.Answer);
  SECTION("as it is") {
    CHECK(readCut(Tested.Answer, Ending::Close).code() == Tested.Whole);
  }
  SECTION("cut at any byte, in order or by a reset") {
    for (std::size_t Size = 1; Size < Tested.Answer.size(); ++Size) {
      INFO("cut after " << Size << " bytes");
      const std::string Part = Tested.Answer.substr(0, Size);
      CHECK(absl::IsUnavailable(readCut(Part, Ending::Close)));
      CHECK(absl::IsUnavailable(readCut(Part, Ending::Reset)));
    }
  }
  SECTION("reset where the connection marks the end") {
    if (Tested.EndsWithConnection)
      CHECK(absl::IsUnavailable(readCut(Tested.Answer, Ending::Reset)));
  }
}
