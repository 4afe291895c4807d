#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <functional>
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

  explicit DelayingStore(DelayOf TheDelay)
      : Delay(std::move(TheDelay)),
        Server(
            new Factory(*this),
            Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)),
            new Poco::Net::HTTPServerParams) {
    Server.start();
  }
  ~DelayingStore() { Server.stopAll(true); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server.port());
  }
  int requestCount() const { return Requests; }

private:
  class Handler : public Poco::Net::HTTPRequestHandler {
  public:
    explicit Handler(DelayingStore &TheStore) : Store(TheStore) {}
    void handleRequest(Poco::Net::HTTPServerRequest & /*Request*/,
                       Poco::Net::HTTPServerResponse &Response) override {
      const int Number = Store.Requests++;
      std::this_thread::sleep_for(Store.Delay(Number));
      const std::string Body = "{\"as_of\":" + std::to_string(Number) + "}";
      Response.setContentLength64(static_cast<Poco::Int64>(Body.size()));
      Response.send() << Body;
    }

  private:
    DelayingStore &Store;
  };
  class Factory : public Poco::Net::HTTPRequestHandlerFactory {
  public:
    explicit Factory(DelayingStore &TheStore) : Store(TheStore) {}
    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
      return new Handler(Store);
    }

  private:
    DelayingStore &Store;
  };

  DelayOf Delay;
  std::atomic<int> Requests{0};
  Poco::Net::HTTPServer Server;
};

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
