#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "../support/SocketTimers.h"
#include "platform/StoreReader.h"

using namespace pollenwick;
using namespace pollenwick::platform;

namespace {

/// Of a platform on which a change must be in force after two seconds.
const ReadLimits Limits = readLimitsFor(std::chrono::seconds(2));

/// A store that has no items and never answers a watch request.
class HangingWatchStore {
public:
  HangingWatchStore()
      : Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Thread([this] { serve(); }) {}
  ~HangingWatchStore() {
    Stopping = true;
    Thread.join();
  }

  std::string address() const { return Listener.address().toString(); }
  /// Waits for the first watch request and returns the port of the reader's end
  /// of its connection. May be called once.
  std::uint16_t watchPort() { return WatchPort.get_future().get(); }

private:
  void serve() {
    while (!Stopping) {
      if (Listener.poll(Poco::Timespan(20'000), Poco::Net::Socket::SELECT_READ))
        Peers.push_back(Listener.acceptConnection());
      for (Poco::Net::StreamSocket &Peer : Peers)
        if (Peer.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
          answer(Peer);
    }
  }

  void answer(Poco::Net::StreamSocket &Peer) {
    char Buffer[4096];
    const int ReceivedBytes = Peer.receiveBytes(Buffer, sizeof(Buffer));
    const std::string Request(
        Buffer, static_cast<std::size_t>(std::max(0, ReceivedBytes)));
    if (Request.find("kv-watch") != std::string::npos) {
      if (!WatchSeen)
        WatchPort.set_value(Peer.peerAddress().port());
      WatchSeen = true;
      return;
    }
    const std::string Body = R"({"items":[],"as_of":7,"has_more":false})";
    const std::string Text =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
        "\r\n\r\n" + Body;
    if (Request.find("kv-range") != std::string::npos)
      Peer.sendBytes(Text.data(), static_cast<int>(Text.size()));
  }

  Poco::Net::ServerSocket Listener;
  std::vector<Poco::Net::StreamSocket> Peers;
  std::promise<std::uint16_t> WatchPort;
  bool WatchSeen = false;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

/// A store that begins an answer and then repeats the same bytes until the
/// reader closes the connection.
class EndlessStore {
public:
  EndlessStore(std::string TheBegin, std::string ThePiece,
               std::chrono::milliseconds ThePause)
      : Begin(std::move(TheBegin)), Piece(std::move(ThePiece)), Pause(ThePause),
        Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Thread([this] { serve(); }) {}
  ~EndlessStore() {
    Stopping = true;
    Thread.join();
  }

  std::string address() const { return Listener.address().toString(); }
  /// Bytes that the reader's first connection took before it was closed.
  std::future<std::size_t> sentBytes() { return SentBytes.get_future(); }

private:
  void serve() {
    Poco::Net::StreamSocket Peer = Listener.acceptConnection();
    char Buffer[4096];
    Peer.receiveBytes(Buffer, sizeof(Buffer));
    std::size_t Sent = 0;
    try {
      Peer.sendBytes(Begin.data(), static_cast<int>(Begin.size()));
      while (!Stopping && Sent < GiveUpBytes) {
        Peer.sendBytes(Piece.data(), static_cast<int>(Piece.size()));
        Sent += Piece.size();
        std::this_thread::sleep_for(Pause);
      }
    } catch (const Poco::Exception &) {
      // The reader has closed the connection.
    }
    SentBytes.set_value(Sent);
  }

  static constexpr std::size_t GiveUpBytes = std::size_t{256} * 1024 * 1024;
  std::string Begin;
  std::string Piece;
  std::chrono::milliseconds Pause;
  Poco::Net::ServerSocket Listener;
  std::promise<std::size_t> SentBytes;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

/// A store that answers the reads of the prefix `op/` one after the other with
/// given bodies, and then no more.
class OperatorStore {
public:
  explicit OperatorStore(std::vector<std::string> TheBodies)
      : Bodies(std::move(TheBodies)),
        Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Thread([this] { serve(); }) {}
  ~OperatorStore() {
    Stopping = true;
    Thread.join();
  }

  std::string address() const { return Listener.address().toString(); }
  /// Returns the first lines of the requests so far.
  std::vector<std::string> requests() {
    const std::scoped_lock Lock(Mutex);
    return Requests;
  }

private:
  void serve() {
    while (!Stopping) {
      if (Listener.poll(Poco::Timespan(20'000), Poco::Net::Socket::SELECT_READ))
        Peers.push_back(Listener.acceptConnection());
      for (Poco::Net::StreamSocket &Peer : Peers)
        if (Peer.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
          answer(Peer);
    }
  }

  void answer(Poco::Net::StreamSocket &Peer) {
    char Buffer[4096];
    const int ReceivedBytes = Peer.receiveBytes(Buffer, sizeof(Buffer));
    const std::string Request(
        Buffer, static_cast<std::size_t>(std::max(0, ReceivedBytes)));
    if (Request.find("path_prefix=op") == std::string::npos)
      return;
    const std::scoped_lock Lock(Mutex);
    Requests.push_back(Request.substr(0, Request.find("\r\n")));
    if (Requests.size() > Bodies.size())
      return;
    const std::string &Body = Bodies[Requests.size() - 1];
    const std::string Text =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
        "\r\n\r\n" + Body;
    Peer.sendBytes(Text.data(), static_cast<int>(Text.size()));
  }

  std::vector<std::string> Bodies;
  std::mutex Mutex;
  std::vector<std::string> Requests; ///< Guarded by `Mutex`.
  Poco::Net::ServerSocket Listener;
  std::vector<Poco::Net::StreamSocket> Peers;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace

TEST_CASE("One watch reads the configuration and the evacuations",
          "[platform]") {
  // Guards against more calls of the store, against keys of others that are
  // taken for a configuration, and against a reading that ends at a value that
  // has no meaning.
  OperatorStore Store(
      {R"({"items":[{"key":"op/config","revision":5,"value":"e30="},
           {"key":"op/evacuate/z","revision":6,"value":"%"},
           {"key":"op/other","revision":7,"value":"%"}],
          "as_of":8,"has_more":false})",
       R"({"events":[{"key":"op/other","revision":9,"value":"%"}],"as_of":9})",
       R"({"events":[{"key":"op/evacuate/z","revision":10,"deleted":true}],
          "as_of":10})"});
  // The reader's threads may outlive the test.
  struct Received {
    std::mutex Mutex;
    std::vector<agent::ConfigurationUpdate> Updates;
    std::promise<void> Done;
  };
  const auto State = std::make_shared<Received>();
  auto Reader = std::make_unique<StoreReader>(Store.address(), Limits);
  const auto Begin = std::chrono::steady_clock::now();
  Reader->start([State](agent::ConfigurationUpdate &&Update) {
    const std::scoped_lock Lock(State->Mutex);
    if (Update.Kind != RecordKind::Rules || State->Updates.size() == 3)
      return;
    State->Updates.push_back(std::move(Update));
    if (State->Updates.size() == 3)
      State->Done.set_value();
  });
  REQUIRE(State->Done.get_future().wait_for(std::chrono::seconds(10)) ==
          std::future_status::ready);
  const auto Time = std::chrono::steady_clock::now() - Begin;
  const std::scoped_lock Lock(State->Mutex);
  const std::vector<agent::ConfigurationUpdate> &Updates = State->Updates;
  REQUIRE(Updates[0].Records.size() == 2);
  CHECK(Updates[0].Records[0].Id == "op/config");
  CHECK(Updates[0].Records[0].Value == "{}");
  CHECK(Updates[0].Records[1].Id == "op/evacuate/z");
  CHECK(Updates[0].Records[1].Value.empty());
  // The watch goes on after a change that is not used, and not at once.
  CHECK(Updates[1].Records.empty());
  CHECK(Updates[1].AsOfRevision == 9);
  CHECK(Time >= std::chrono::milliseconds(400));
  REQUIRE(Updates[2].Records.size() == 1);
  CHECK(Updates[2].Records[0].Deleted);
  const std::vector<std::string> Requests = Store.requests();
  CHECK(Requests[0].find("kv-range") != std::string::npos);
  CHECK(Requests[2].find("after=9") != std::string::npos);
  // Leak the reader: its threads wait for the store until the process ends.
  Reader->stop();
  [[maybe_unused]] const StoreReader *Waiting = Reader.release();
}

TEST_CASE("Bytes without end from the store are cut off", "[platform]") {
  // Guards against memory that grows until the process ends, and against rules
  // that stay as they are because one read never ends.
  struct Case {
    const char *Name;
    std::string Begin;
    std::string Piece;
    std::chrono::milliseconds Pause;
  };
  const Case Endless = GENERATE(values<Case>({
      {"body without a length", "HTTP/1.1 200 OK\r\n\r\n",
       std::string(65536, '{'), std::chrono::milliseconds(0)},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "1000\r\n" + std::string(4096, '{') + "\r\n",
       std::chrono::milliseconds(0)},
      {"header lines", "HTTP/1.1 200 OK\r\n",
       "X-More: " + std::string(400, 'a') + "\r\n",
       std::chrono::milliseconds(0)},
      {"a byte now and then", "HTTP/1.1 200 OK\r\n\r\n", "{",
       std::chrono::milliseconds(200)},
  }));
  INFO(Endless.Name);
  EndlessStore Store(Endless.Begin, Endless.Piece, Endless.Pause);
  std::future<std::size_t> SentBytes = Store.sentBytes();
  auto Reader = std::make_unique<StoreReader>(Store.address(), Limits);
  Reader->start([](agent::ConfigurationUpdate &&) {});
  REQUIRE(SentBytes.wait_for(std::chrono::seconds(10)) ==
          std::future_status::ready);
  // Includes what the sockets' buffers hold when the connection closes.
  CHECK(SentBytes.get() < std::size_t{32} * 1024 * 1024);
  // Leak the reader, because its threads try to read the store again.
  Reader->stop();
  [[maybe_unused]] const StoreReader *Retrying = Reader.release();
}

TEST_CASE("A waiting watch is probed, so that it detects a dead connection",
          "[platform]") {
  // Guards against a node that waits 30 s on a dead connection while new
  // configurations come into force on other nodes.
  HangingWatchStore Store;
  auto Reader = std::make_unique<StoreReader>(Store.address(), Limits);
  Reader->start([](agent::ConfigurationUpdate &&) {});
  CHECK(becomesProbed(Store.watchPort()));
  // Leak the reader: its threads run until the process ends, because one of
  // them waits for the store.
  [[maybe_unused]] const StoreReader *Waiting = Reader.release();
}
