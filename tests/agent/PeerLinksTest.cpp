#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <optional>

#include <Poco/Net/ServerSocket.h>

#include "agent/PeerLinks.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

/// A port that is free on all loopback addresses that the tests use.
std::uint16_t freePort() {
  Poco::Net::ServerSocket Probe(Poco::Net::SocketAddress("127.0.0.1", 0));
  return Probe.address().port();
}

/// One node. It keeps the calls that it receives until the test answers them.
struct Node : PeerEvents {
  LogWriter Log{"test"};
  std::map<std::uint64_t, AnswerHandler> Running;
  std::vector<std::uint64_t> Cancelled;
  std::uint64_t Received = 0;
  std::vector<bool> Presences; ///< Of the peer, as they were reported.
  std::map<CallStatus, std::size_t> Told;
  PeerLinks Links;

  Node(EventLoop &Loop, const std::string &Address, std::uint64_t Start)
      : Links(Loop, Log, *this, Address, Start) {}

  std::uint64_t onPeerCall(CallRequest && /*Request*/,
                           AnswerHandler Done) override {
    Running.emplace(++Received, std::move(Done));
    return Received;
  }
  void onPeerCancel(std::uint64_t Number) override {
    Cancelled.push_back(Number);
  }
  void onPeerStatus(const std::string &, StatusFrame &&) override {}
  void onPeerPull(PeerLink &, const PullFrame &) override {}
  void onPeerRecords(RecordsFrame &&) override {}
  void onPeerConnected(PeerLink &) override {}
  void onPeerPresence(const PeerPresence &Change) override {
    Presences.push_back(Change.Usable);
  }
  void onCallsResumed(const ResumedCalls &Calls) override {
    for (const auto &[Fate, Count] : Calls.Told)
      Told[Fate] += Count;
  }

  void answer(std::uint64_t Number, const std::string &Body) {
    CallAnswer Answer;
    Answer.Outcome = CallOutcome::Complete;
    Answer.Status = 200;
    Answer.Body = Body;
    Running.at(Number)(std::move(Answer));
  }
};

struct Pair {
  static constexpr const char *FirstIp = "127.0.0.1";
  static constexpr const char *SecondIp = "127.0.0.2";
  EventLoop Loop;
  std::string Port = ":" + std::to_string(freePort());
  std::optional<Node> Caller{std::in_place, Loop, FirstIp + Port, 11};
  std::optional<Node> Callee{std::in_place, Loop, SecondIp + Port, 22};
  std::optional<CallAnswer> Got;
  std::uint64_t Id = 0;

  Pair() {
    Caller->Links.setPeers({SecondIp});
    runFor(50);
    REQUIRE(Caller->Links.find(SecondIp));
  }
  void runFor(int Ms) {
    // A first turn at once sends what was written outside the loop.
    Loop.callAt(Loop.now(), [] {});
    Loop.callAt(Loop.now() + std::chrono::milliseconds(Ms),
                [&] { Loop.stop(); });
    Loop.run();
    Loop.resume();
  }
  void call() {
    CallRequest Request;
    Request.Deadline = Loop.now() + std::chrono::seconds(5);
    Id = Caller->Links.find(SecondIp)->call(
        std::move(Request),
        [this](CallAnswer &&Answer) { Got = std::move(Answer); });
  }
  /// The caller's end learns of the loss when the loop runs.
  void loseAtCallee() { Callee->Links.find(FirstIp)->close(); }
};

} // namespace

TEST_CASE("A call outlives the connection between two nodes", "[agent]") {
  Pair Nodes;
  SECTION("while it runs") {
    // Guards against 502 for requests that go on at a sound server.
    Nodes.call();
    Nodes.runFor(20);
    REQUIRE(Nodes.Callee->Received == 1);
    Nodes.loseAtCallee();
    Nodes.runFor(50);
    CHECK_FALSE(Nodes.Got.has_value());
    Nodes.Callee->answer(1, "whole");
    Nodes.runFor(20);
    REQUIRE(Nodes.Got.has_value());
    CHECK(Nodes.Got->Outcome == CallOutcome::Complete);
    CHECK(Nodes.Got->Body == "whole");
    CHECK(Nodes.Callee->Received == 1);
    CHECK(Nodes.Callee->Cancelled.empty());
    // Guards against lost connections that no log line explains.
    CHECK(Nodes.Callee->Told ==
          std::map<CallStatus, std::size_t>{{CallStatus::Running, 1}});
  }
  SECTION("when its answer is lost on the way") {
    Nodes.call();
    Nodes.runFor(20);
    Nodes.Callee->answer(1, "whole");
    Nodes.loseAtCallee(); // Before the answer has left.
    Nodes.runFor(50);
    REQUIRE(Nodes.Got.has_value());
    CHECK(Nodes.Got->Body == "whole");
  }
  SECTION("when it is answered before the next connection is there") {
    Nodes.call();
    Nodes.runFor(20);
    Nodes.loseAtCallee();
    Nodes.Callee->answer(1, "whole");
    Nodes.runFor(50);
    REQUIRE(Nodes.Got.has_value());
    CHECK(Nodes.Got->Body == "whole");
  }
  SECTION("one that was never received is told so, and has not run") {
    // Guards against requests that reached no server and that callers may not
    // repeat.
    Nodes.loseAtCallee();
    Nodes.call();
    Nodes.runFor(50);
    REQUIRE(Nodes.Got.has_value());
    CHECK(Nodes.Got->Outcome == CallOutcome::NotRun);
    CHECK(Nodes.Callee->Received == 0);
  }
  SECTION("one whose caller left meanwhile is cancelled") {
    Nodes.call();
    Nodes.runFor(20);
    Nodes.call();
    Nodes.runFor(20);
    Nodes.loseAtCallee();
    Nodes.Caller->Links.cancel(Pair::SecondIp, Nodes.Id);
    Nodes.runFor(50);
    Nodes.Callee->Links.tick();
    Nodes.runFor(1000);
    Nodes.Callee->Links.tick();
    CHECK(Nodes.Callee->Cancelled == std::vector<std::uint64_t>{2});
  }
  SECTION("a peer that has ended leaves the outcome unknown, at once") {
    // Guards against "not run" for a call that a killed node had passed on.
    Nodes.call();
    Nodes.runFor(20);
    Nodes.Callee->Links.shutDown();
    Nodes.loseAtCallee();
    Nodes.runFor(50);
    REQUIRE(Nodes.Got.has_value());
    CHECK(Nodes.Got->Outcome == CallOutcome::Unknown);
  }
}

TEST_CASE("A peer that is lost and regained is reported once each", "[agent]") {
  // Guards against lost dependencies of which the log says nothing.
  Pair Nodes;
  Nodes.Caller->Links.tick();
  CHECK(Nodes.Caller->Presences.empty());
  Nodes.Callee->Links.shutDown();
  Nodes.loseAtCallee();
  Nodes.runFor(50);
  Nodes.Caller->Links.tick();
  Nodes.Caller->Links.tick();
  CHECK(Nodes.Caller->Presences == std::vector<bool>{false});
  Nodes.Callee.reset();
  Nodes.Callee.emplace(Nodes.Loop, Pair::SecondIp + Nodes.Port, 33);
  Nodes.runFor(50);
  Nodes.Caller->Links.tick();
  Nodes.runFor(50);
  Nodes.Caller->Links.tick();
  CHECK(Nodes.Caller->Presences == std::vector<bool>{false, true});
}

namespace {

/// The far end of a node's connections, played by the test.
class PlayedPeer {
public:
  PlayedPeer(EventLoop &Loop, const std::string &Address)
      : Loop(Loop), Listener(Poco::Net::SocketAddress(Address)) {}

  /// Takes the next connection and greets.
  void accept(std::uint64_t Link) {
    REQUIRE(Listener.poll({1, 0}, Poco::Net::Socket::SELECT_READ));
    Socket = Listener.acceptConnection();
    std::string Bytes;
    encodeFrame(HelloFrame{22, Link}, Loop.now(), Bytes);
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
  }
  /// All frames that have arrived.
  std::vector<PeerFrame> read() {
    std::vector<PeerFrame> Frames;
    FrameReader Reader;
    std::array<char, 4096> Buffer{};
    while (Socket.poll({0, 20'000}, Poco::Net::Socket::SELECT_READ)) {
      const int Got = Socket.receiveBytes(Buffer.data(), Buffer.size());
      if (Got <= 0)
        break;
      REQUIRE(Reader
                  .feed({Buffer.data(), static_cast<std::size_t>(Got)},
                        Loop.now(),
                        [&](PeerFrame &&Frame) {
                          Frames.push_back(std::move(Frame));
                        })
                  .ok());
    }
    return Frames;
  }
  void lose() { Socket.close(); }

private:
  EventLoop &Loop;
  Poco::Net::ServerSocket Listener;
  Poco::Net::StreamSocket Socket;
};

template <class Kind>
std::optional<Kind> firstOf(const std::vector<PeerFrame> &Frames) {
  for (const PeerFrame &Frame : Frames)
    if (const auto *Found = std::get_if<Kind>(&Frame))
      return *Found;
  return std::nullopt;
}

} // namespace

TEST_CASE("A question that was lost too is asked with both connections",
          "[agent]") {
  // Guards against a call that runs twice: a peer that never heard the question
  // about the first connection cannot tell from the second what ran.
  EventLoop Loop;
  const auto RunFor = [&](int Ms) {
    Loop.callAt(Loop.now() + std::chrono::milliseconds(Ms),
                [&] { Loop.stop(); });
    Loop.run();
    Loop.resume();
  };
  const std::string Port = ":" + std::to_string(freePort());
  PlayedPeer Peer(Loop, "127.0.0.2" + Port);
  Node Caller(Loop, "127.0.0.1" + Port, 11);
  Caller.Links.setPeers({"127.0.0.2"});
  RunFor(20);
  Peer.accept(1);
  RunFor(20);
  CallRequest Request;
  Request.Deadline = Loop.now() + std::chrono::seconds(5);
  REQUIRE(Caller.Links.find("127.0.0.2"));
  Caller.Links.find("127.0.0.2")->call(std::move(Request), [](CallAnswer &&) {
  });
  RunFor(20);
  const auto First = Peer.read();
  REQUIRE(firstOf<HelloFrame>(First));
  REQUIRE(firstOf<CallFrame>(First));
  Peer.lose();
  RunFor(20);
  Peer.accept(2);
  RunFor(20);
  const auto Second = firstOf<HelloFrame>(Peer.read());
  REQUIRE(Second);
  Peer.lose();
  RunFor(20);
  Peer.accept(3);
  RunFor(20);
  const auto Asked = firstOf<ResumeFrame>(Peer.read());
  REQUIRE(Asked);
  const std::uint64_t FirstLink = firstOf<HelloFrame>(First)->Link;
  CHECK(Asked->Links == std::vector<std::uint64_t>{FirstLink, Second->Link});
  REQUIRE(Asked->Calls.size() == 1);
  CHECK(Asked->Calls[0].Id == firstOf<CallFrame>(First)->Id);
  CHECK(Asked->Calls[0].SentOn == FirstLink);
}
