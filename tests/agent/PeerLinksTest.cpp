#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <optional>

#include <Poco/Net/ServerSocket.h>

#include "agent/PeerLinks.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

/// Returns a port that is free on 127.0.0.1; the tests also use it on the other
/// loopback addresses.
std::uint16_t freePort() {
  Poco::Net::ServerSocket Probe(Poco::Net::SocketAddress("127.0.0.1", 0));
  return Probe.address().port();
}

/// A node that keeps the calls it receives until the test answers them.
struct TestNode : PeerEventHandler {
  LogWriter Log{"test"};
  std::map<std::uint64_t, CallResultHandler> Running;
  std::vector<std::uint64_t> CancelledCallNumbers;
  std::vector<std::uint64_t> RecalledCallNumbers;
  std::uint64_t ReceivedCallCount = 0;
  std::vector<bool>
      AvailabilityChanges; ///< Reported changes; true if the peer is usable.
  std::map<CallStatus, std::size_t> StatusCounts;
  PeerLinks Links;

  TestNode(EventLoop &Loop, const std::string &Address,
           std::uint64_t Incarnation)
      : Links(Loop, Log, *this, Address, Incarnation) {}

  std::uint64_t onPeerCall(CallRequest && /*Request*/,
                           CallResultHandler Done) override {
    Running.emplace(++ReceivedCallCount, std::move(Done));
    return ReceivedCallCount;
  }
  void onPeerCancel(std::uint64_t Number) override {
    CancelledCallNumbers.push_back(Number);
  }
  void onPeerRecall(std::uint64_t Number) override {
    RecalledCallNumbers.push_back(Number);
  }
  void onPeerStatus(const std::string &, StatusFrame &&) override {}
  void onStatusToRelay(const std::string &,
                       const RelayedStatusFrame &) override {}
  void onPeerPull(PeerLink &, const PullFrame &) override {}
  void onPeerRecords(const std::string &, RecordsFrame &&) override {}
  void onPeerConnected(PeerLink &) override {}
  void onPeerAvailabilityChange(const PeerAvailabilityChange &Change) override {
    AvailabilityChanges.push_back(Change.Usable);
  }
  void onCallsResumed(const ResumedCallCounts &Calls) override {
    for (const auto &[ResumedStatus, Count] : Calls.CountByStatus)
      StatusCounts[ResumedStatus] += Count;
  }

  void answer(std::uint64_t Number, const std::string &Body) {
    CallResult Answer;
    Answer.Outcome = CallOutcome::Complete;
    Answer.Status = 200;
    Answer.Body = Body;
    Running.at(Number)(std::move(Answer));
  }
};

/// Two connected nodes on one event loop; the caller sends calls to the callee.
struct NodePair {
  static constexpr const char *FirstIp = "127.0.0.1";
  static constexpr const char *SecondIp = "127.0.0.2";
  EventLoop Loop;
  std::string Port = ":" + std::to_string(freePort());
  std::optional<TestNode> Caller{std::in_place, Loop, FirstIp + Port, 11};
  std::optional<TestNode> Callee{std::in_place, Loop, SecondIp + Port, 22};
  std::optional<CallResult> Got;
  std::uint64_t Id = 0;
  int SilenceReports = 0;

  NodePair() {
    Caller->Links.setPeers({SecondIp});
    runFor(50);
    REQUIRE(Caller->Links.findLiveLink(SecondIp));
  }
  void runFor(int Ms) {
    // The first iteration runs at once and sends what was written outside the
    // loop.
    Loop.callAt(Loop.now(), [] {});
    Loop.callAt(Loop.now() + std::chrono::milliseconds(Ms),
                [&] { Loop.stop(); });
    Loop.run();
    Loop.clearStop();
  }
  void call() {
    CallRequest Request;
    Request.Deadline = Loop.now() + std::chrono::seconds(5);
    Id = Caller->Links.findLiveLink(SecondIp)->call(
        std::move(Request),
        [this](CallResult &&Answer) { Got = std::move(Answer); },
        [this] { ++SilenceReports; });
  }
  /// Closes the callee's end; the caller notices the loss when the loop runs.
  void closeCalleeLink() { Callee->Links.findLiveLink(FirstIp)->close(); }
};

} // namespace

TEST_CASE("A call survives the loss of the connection between two nodes",
          "[agent]") {
  NodePair Nodes;
  SECTION("a call that is still running is answered on the next connection") {
    // Guards against a 502 answer for a request that still runs at a healthy
    // server.
    Nodes.call();
    Nodes.runFor(20);
    REQUIRE(Nodes.Callee->ReceivedCallCount == 1);
    Nodes.closeCalleeLink();
    Nodes.runFor(50);
    CHECK_FALSE(Nodes.Got.has_value());
    Nodes.Callee->answer(1, "whole");
    Nodes.runFor(20);
    REQUIRE(Nodes.Got.has_value());
    CHECK(Nodes.Got->Outcome == CallOutcome::Complete);
    CHECK(Nodes.Got->Body == "whole");
    CHECK(Nodes.Callee->ReceivedCallCount == 1);
    CHECK(Nodes.Callee->CancelledCallNumbers.empty());
    // Guards against a lost connection whose effect on calls is not logged.
    CHECK(Nodes.Callee->StatusCounts ==
          std::map<CallStatus, std::size_t>{{CallStatus::Running, 1}});
  }
  SECTION("a recalled call is not cancelled, and its answer still counts") {
    // Guards against a call whose node cannot take it back from a queue, and
    // against a running call that is given up when it is recalled.
    Nodes.call();
    Nodes.Caller->Links.recall(NodePair::SecondIp, Nodes.Id);
    Nodes.runFor(20);
    CHECK(Nodes.Callee->RecalledCallNumbers == std::vector<std::uint64_t>{1});
    CHECK(Nodes.Callee->CancelledCallNumbers.empty());
    Nodes.Callee->answer(1, "whole");
    Nodes.runFor(20);
    REQUIRE(Nodes.Got.has_value());
    CHECK(Nodes.Got->Body == "whole");
    Nodes.Caller->Links.recall(NodePair::SecondIp, Nodes.Id);
    Nodes.runFor(20);
    CHECK(Nodes.Callee->RecalledCallNumbers.size() == 1);
  }
  SECTION("an answer that is lost with the connection is sent again") {
    Nodes.call();
    Nodes.runFor(20);
    Nodes.Callee->answer(1, "whole");
    Nodes.closeCalleeLink(); // Before the answer has been sent.
    Nodes.runFor(50);
    REQUIRE(Nodes.Got.has_value());
    CHECK(Nodes.Got->Body == "whole");
  }
  SECTION("an answer given while disconnected is sent after reconnecting") {
    Nodes.call();
    Nodes.runFor(20);
    Nodes.closeCalleeLink();
    Nodes.Callee->answer(1, "whole");
    Nodes.runFor(50);
    REQUIRE(Nodes.Got.has_value());
    CHECK(Nodes.Got->Body == "whole");
  }
  SECTION("a call that the peer never received is reported as not run") {
    // Guards against callers that may not retry a request although it reached
    // no server.
    Nodes.closeCalleeLink();
    Nodes.call();
    Nodes.runFor(50);
    REQUIRE(Nodes.Got.has_value());
    CHECK(Nodes.Got->Outcome == CallOutcome::NotRun);
    CHECK(Nodes.Callee->ReceivedCallCount == 0);
  }
  SECTION("a call whose caller left during the loss is cancelled at the peer") {
    Nodes.call();
    Nodes.runFor(20);
    Nodes.call();
    Nodes.runFor(20);
    Nodes.closeCalleeLink();
    Nodes.Caller->Links.cancel(NodePair::SecondIp, Nodes.Id);
    Nodes.runFor(50);
    Nodes.Callee->Links.tick();
    Nodes.runFor(1000);
    Nodes.Callee->Links.tick();
    CHECK(Nodes.Callee->CancelledCallNumbers == std::vector<std::uint64_t>{2});
  }
  SECTION("a call to a peer that has ended fails at once, outcome unknown") {
    // Guards against the outcome "not run" for a call that a killed node had
    // already forwarded to its server.
    Nodes.call();
    Nodes.runFor(20);
    Nodes.Callee->Links.shutDown();
    Nodes.closeCalleeLink();
    Nodes.runFor(50);
    REQUIRE(Nodes.Got.has_value());
    CHECK(Nodes.Got->Outcome == CallOutcome::Unknown);
  }
}

TEST_CASE("A call outlives the silence of its node", "[agent]") {
  // Guards against running work that is given up, or whose answer is dropped,
  // because its node was silent for a while.
  NodePair Nodes;
  Nodes.call();
  Nodes.runFor(1200);
  Nodes.Caller->Links.tick();
  Nodes.Caller->Links.tick();
  CHECK(Nodes.SilenceReports == 1);
  CHECK_FALSE(Nodes.Got.has_value());
  CHECK(Nodes.Callee->CancelledCallNumbers.empty());
  Nodes.Callee->answer(1, "late");
  Nodes.runFor(20);
  REQUIRE(Nodes.Got.has_value());
  CHECK(Nodes.Got->Body == "late");
}

TEST_CASE("The loss and the return of a peer are each reported once",
          "[agent]") {
  // Guards against the loss of a peer that does not appear in the log.
  NodePair Nodes;
  Nodes.Caller->Links.tick();
  CHECK(Nodes.Caller->AvailabilityChanges.empty());
  Nodes.Callee->Links.shutDown();
  Nodes.closeCalleeLink();
  Nodes.runFor(50);
  Nodes.Caller->Links.tick();
  Nodes.Caller->Links.tick();
  CHECK(Nodes.Caller->AvailabilityChanges == std::vector<bool>{false});
  Nodes.Callee.reset();
  Nodes.Callee.emplace(Nodes.Loop, NodePair::SecondIp + Nodes.Port, 33);
  Nodes.runFor(50);
  Nodes.Caller->Links.tick();
  Nodes.runFor(50);
  Nodes.Caller->Links.tick();
  CHECK(Nodes.Caller->AvailabilityChanges == std::vector<bool>{false, true});
}

namespace {

/// A peer whose end of the connections the test controls frame by frame.
class FakePeer {
public:
  FakePeer(EventLoop &Loop, const std::string &Address)
      : Loop(Loop), Listener(Poco::Net::SocketAddress(Address)) {}

  /// Accepts the next connection and sends a Hello frame with number `Link`.
  void accept(std::uint64_t Link) {
    REQUIRE(Listener.poll({1, 0}, Poco::Net::Socket::SELECT_READ));
    Socket = Listener.acceptConnection();
    std::string Bytes;
    encodeFrame(HelloFrame{22, Link}, Loop.now(), Bytes);
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
  }
  /// Returns all frames that have arrived.
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
  void closeConnection() { Socket.close(); }

private:
  EventLoop &Loop;
  Poco::Net::ServerSocket Listener;
  Poco::Net::StreamSocket Socket;
};

template <class Kind>
std::optional<Kind> firstFrameOf(const std::vector<PeerFrame> &Frames) {
  for (const PeerFrame &Frame : Frames)
    if (const auto *Found = std::get_if<Kind>(&Frame))
      return *Found;
  return std::nullopt;
}

} // namespace

TEST_CASE("A resume request repeats the connections of a lost resume request",
          "[agent]") {
  // Guards against a call that runs twice. The connection with the first Resume
  // frame is lost too; a peer that never read that frame cannot tell from the
  // second connection alone which calls ran.
  EventLoop Loop;
  const auto RunFor = [&](int Ms) {
    Loop.callAt(Loop.now() + std::chrono::milliseconds(Ms),
                [&] { Loop.stop(); });
    Loop.run();
    Loop.clearStop();
  };
  const std::string Port = ":" + std::to_string(freePort());
  FakePeer Peer(Loop, "127.0.0.2" + Port);
  TestNode Caller(Loop, "127.0.0.1" + Port, 11);
  Caller.Links.setPeers({"127.0.0.2"});
  RunFor(20);
  Peer.accept(1);
  RunFor(20);
  CallRequest Request;
  Request.Deadline = Loop.now() + std::chrono::seconds(5);
  REQUIRE(Caller.Links.findLiveLink("127.0.0.2"));
  Caller.Links.findLiveLink("127.0.0.2")
      ->call(std::move(Request), [](CallResult &&) {});
  RunFor(20);
  const auto First = Peer.read();
  REQUIRE(firstFrameOf<HelloFrame>(First));
  REQUIRE(firstFrameOf<CallFrame>(First));
  Peer.closeConnection();
  RunFor(20);
  Peer.accept(2);
  RunFor(20);
  const auto Second = firstFrameOf<HelloFrame>(Peer.read());
  REQUIRE(Second);
  Peer.closeConnection();
  RunFor(20);
  Peer.accept(3);
  RunFor(20);
  const auto Resume = firstFrameOf<ResumeFrame>(Peer.read());
  REQUIRE(Resume);
  const std::uint64_t FirstLink = firstFrameOf<HelloFrame>(First)->LinkNumber;
  CHECK(Resume->LostLinkNumbers ==
        std::vector<std::uint64_t>{FirstLink, Second->LinkNumber});
  REQUIRE(Resume->Calls.size() == 1);
  CHECK(Resume->Calls[0].Id == firstFrameOf<CallFrame>(First)->Id);
  CHECK(Resume->Calls[0].SentOn == FirstLink);
}
