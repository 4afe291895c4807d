#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "../support/SocketTimers.h"
#include "platform/StoreReader.h"

using namespace pollenwick;
using namespace pollenwick::platform;

namespace {

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

} // namespace

TEST_CASE("A waiting watch is probed, so that it detects a dead connection",
          "[platform]") {
  // Guards against a node that waits 30 s on a dead connection while new
  // configurations come into force on other nodes.
  HangingWatchStore Store;
  auto Reader = std::make_unique<StoreReader>(Store.address());
  Reader->start([](agent::ConfigurationUpdate &&) {});
  CHECK(becomesProbed(Store.watchPort()));
  // Leak the reader: its threads run until the process ends, because one of
  // them waits for the store.
  [[maybe_unused]] const StoreReader *Waiting = Reader.release();
}
