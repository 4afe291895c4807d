#include <catch2/catch.hpp>

#include <random>

#include "agent/PeerWire.h"

using namespace pollenwick;
using namespace pollenwick::agent;

namespace {

const Instant Now(std::chrono::seconds(50));

std::vector<PeerFrame> decodeAll(const std::string &Bytes,
                                 std::size_t ChunkBytes) {
  FrameReader Reader;
  std::vector<PeerFrame> Frames;
  for (std::size_t At = 0; At < Bytes.size(); At += ChunkBytes)
    REQUIRE(Reader
                .feed(std::string_view(Bytes).substr(At, ChunkBytes), Now,
                      [&](PeerFrame &&Frame) {
                        Frames.push_back(std::move(Frame));
                      })
                .ok());
  return Frames;
}

} // namespace

TEST_CASE("Large bodies of any length arrive as they were sent", "[agent]") {
  // Guards against the padding of a body that is sent in place, and against the
  // bytes around a body that stays in the frame it came in.
  MemoryAccount Account;
  const std::size_t Size =
      GENERATE(LargeBytes - 1, LargeBytes, LargeBytes + 3, 3 * LargeBytes + 7);
  CallFrame Call{9, {}};
  // The header fills more than the first segment of the message.
  Call.Request.Headers = std::string(16'000, 'h');
  Call.Request.Body = std::string(Size, 'x');
  AnswerFrame Answer{9, {}};
  Answer.Answer.Status = 200;
  Answer.Answer.Load.Running = 4;
  Answer.Answer.Body = std::string(Size, 'y');
  std::string Bytes;
  encodeFrame(Call, Now, Bytes);
  encodeFrame(Answer, Now, Bytes);
  encodeFrame(HelloFrame{77, 3}, Now, Bytes);
  for (const std::size_t ChunkBytes : {std::size_t{1000}, Bytes.size()}) {
    FrameReader Reader(&Account);
    std::vector<PeerFrame> Frames;
    for (std::size_t At = 0; At < Bytes.size(); At += ChunkBytes) {
      REQUIRE(Reader
                  .feed(std::string_view(Bytes).substr(At, ChunkBytes), Now,
                        [&](PeerFrame &&Frame) {
                          Frames.push_back(std::move(Frame));
                        })
                  .ok());
      REQUIRE(Reader.reserve());
    }
    REQUIRE(Frames.size() == 3U);
    CHECK(std::get<CallFrame>(Frames[0]).Request.Headers ==
          Call.Request.Headers);
    CHECK(std::get<CallFrame>(Frames[0]).Request.Body == Call.Request.Body);
    CHECK(std::get<AnswerFrame>(Frames[1]).Answer.Body == Answer.Answer.Body);
    CHECK(std::get<AnswerFrame>(Frames[1]).Answer.Load.Running == 4U);
    CHECK(std::get<HelloFrame>(Frames[2]).LinkNumber == 3U);
    if (Size >= LargeBytes && ChunkBytes < Size)
      CHECK(Account.held(MemoryKind::Frames) >= 2 * Size);
    Frames.clear();
    CHECK(Account.held() < LargeBytes);
  }
}

TEST_CASE("Frames are decoded as they were sent, however the bytes are split",
          "[agent]") {
  CallFrame Call{9, {}};
  Call.Request.RequestId = "r-1";
  Call.Request.Deadline = Now + std::chrono::milliseconds(750);
  Call.Request.Headers = "Host: a\r\n";
  Call.Request.Body = std::string(100'000, 'x');
  Call.Request.Retryable = true;
  AnswerFrame Answer{9, {}};
  Answer.Answer.Outcome = CallOutcome::NotRun;
  Answer.Answer.ReachedServer = true;
  Answer.Answer.Cause = "queue-too-long";
  std::string Bytes;
  encodeFrame(Call, Now, Bytes);
  Answer.Answer.Load.FailureRate = 0.25;
  Answer.Answer.Load.RequestsPerS = 2.9;
  Answer.Answer.Load.RequestsLeft = 3;
  Answer.Answer.Load.LimitHeard = true;
  Answer.Answer.Load.ServerLeaving = true;
  Answer.Answer.Load.ServerStartedAtUnixMs = 1'700'000'000'000;
  Answer.Answer.UnsentLength = 4000;
  encodeFrame(Answer, Now, Bytes);
  encodeFrame(HelloFrame{77, 3}, Now, Bytes);
  encodeFrame(ResumeFrame{{2, 3}, {{8, 2}, {9, 3}}}, Now, Bytes);
  for (const std::size_t ChunkBytes :
       {std::size_t{1000}, std::size_t{7}, Bytes.size()}) {
    const auto Frames = decodeAll(Bytes, ChunkBytes);
    REQUIRE(Frames.size() == 4);
    const auto &First = std::get<CallFrame>(Frames[0]);
    CHECK(First.Request.Body == Call.Request.Body);
    CHECK(First.Request.Deadline == Call.Request.Deadline);
    CHECK(First.Request.Retryable);
    const auto &Second = std::get<AnswerFrame>(Frames[1]);
    CHECK(Second.Answer.Outcome == CallOutcome::NotRun);
    CHECK(Second.Answer.Cause == "queue-too-long");
    CHECK(Second.Answer.Load.FailureRate == Approx(0.25));
    CHECK(Second.Answer.Load.RequestsPerS == Approx(2.9));
    CHECK(Second.Answer.Load.RequestsLeft == 3);
    CHECK(Second.Answer.Load.LimitHeard);
    CHECK(Second.Answer.Load.ServerLeaving);
    CHECK(Second.Answer.Load.ServerStartedAtUnixMs == 1'700'000'000'000);
    CHECK(Second.Answer.UnsentLength == 4000U);
    CHECK(std::get<HelloFrame>(Frames[2]).Incarnation == 77);
    CHECK(std::get<HelloFrame>(Frames[2]).LinkNumber == 3);
    const auto &Fourth = std::get<ResumeFrame>(Frames[3]);
    CHECK(Fourth.LostLinkNumbers == std::vector<std::uint64_t>{2, 3});
    REQUIRE(Fourth.Calls.size() == 2);
    CHECK(Fourth.Calls[1].Id == 9);
    CHECK(Fourth.Calls[1].SentOn == 3);
  }
}

TEST_CASE(
    "Bytes that are not valid frames make the frame reader return an error",
    "[agent]") {
  // Guards against a stray connection whose random bytes crash the node or
  // exhaust its memory.
  std::mt19937 Random(20261204);
  for (int Round = 0; Round < 300; ++Round) {
    std::string Bytes(8 + Random() % 400, '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random());
    FrameReader Reader;
    const absl::Status Result = Reader.feed(Bytes, Now, [](PeerFrame &&) {});
    CHECK((Result.ok() || !Result.message().empty()));
  }
  SECTION("a frame above the size limit is rejected at its first bytes") {
    const std::string Huge("\0\0\0\0\xff\xff\xff\x7f", 8);
    CHECK_FALSE(FrameReader().feed(Huge, Now, [](PeerFrame &&) {}).ok());
  }
}

TEST_CASE("A status is decoded as it was sent, and its encoding is small",
          "[agent]") {
  StatusFrame Status;
  Status.Incarnation = 0x1234567890abcdef;
  Status.RulesRevision = 1700;
  Status.ServersRevision = 1811;
  Status.Service = "cereria";
  Status.ServerId = "cereria-3f2a";
  Status.Load.Running = 11;
  Status.Load.MaxRunning = 19;
  Status.Load.MeanServiceTime = std::chrono::milliseconds(55);
  Status.Load.RecentCalls = 17;
  Status.SourceReadTime = std::chrono::milliseconds(70'000);
  Status.OfferedSlotMicros = 8'123'456;
  Status.AvailableSlotMicros = 912'345'678;
  Status.Runs = 51'234;
  Status.CustomerCounts = {{"parish-7", 512, 530}, {"parish-8", 77, 77}};
  Status.RouteCounts = {{"wick-lookup@1", 400, 410}, {"deposit@0", 90, 90}};
  Status.NestedCallCounts = {{"galeria", 4321, 0}};
  Status.Crashes = {{0xfedcba0987654321, {2, 5}}};
  std::string Bytes;
  encodeFrame(Status, Now, Bytes);
  const auto Frames = decodeAll(Bytes, Bytes.size());
  REQUIRE(Frames.size() == 1);
  const auto &Decoded = std::get<StatusFrame>(Frames[0]);
  CHECK(Decoded.Incarnation == Status.Incarnation);
  CHECK(Decoded.ServerId == Status.ServerId);
  CHECK(Decoded.Load.MeanServiceTime == Status.Load.MeanServiceTime);
  CHECK(Decoded.Load.RecentCalls == 17);
  CHECK(Decoded.SourceReadTime == Status.SourceReadTime);
  REQUIRE(Decoded.CustomerCounts.size() == 2);
  CHECK(Decoded.CustomerCounts[0].Name == "parish-7");
  CHECK(Decoded.CustomerCounts[0].B == 530);
  REQUIRE(Decoded.Crashes.size() == 1);
  CHECK(Decoded.Crashes[0].Fingerprint == 0xfedcba0987654321);
  CHECK(Decoded.Crashes[0].Runs.Crashes == 2);
  CHECK(Decoded.Crashes[0].Runs.Completions == 5);
  const auto Relayed = decodeAll(
      [&] {
        std::string Frame;
        encodeFrame(RelayedStatusFrame{"10.0.0.1", packStatus(Status)}, Now,
                    Frame);
        encodeFrame(HeartbeatFrame{}, Now, Frame);
        return Frame;
      }(),
      7);
  REQUIRE(Relayed.size() == 2);
  const auto &Passed = std::get<RelayedStatusFrame>(Relayed[0]);
  CHECK(Passed.Origin == "10.0.0.1");
  REQUIRE(unpackStatus(Passed.Packed).ok());
  CHECK(unpackStatus(Passed.Packed)->Runs == Status.Runs);
  CHECK_FALSE(unpackStatus("\xff\xff garbage").ok());
  CHECK(std::holds_alternative<HeartbeatFrame>(Relayed[1]));
  // Guards against reports that need more bandwidth than the calls at low load:
  // each node sends four per second to each peer, and each of 100 nodes may use
  // 1 Mbit/s.
  CHECK(Bytes.size() <= 312);
}

TEST_CASE("A malformed packed status makes the frame reader return an error",
          "[agent]") {
  // Guards against malformed packed bytes that expand to more memory than a
  // status may need, or that crash the node.
  StatusFrame Status;
  std::string Bytes;
  Status.Service = std::string(64, 's');
  encodeFrame(Status, Now, Bytes);
  std::mt19937 Random(20261205);
  int Refused = 0;
  for (int Round = 0; Round < 500; ++Round) {
    std::string Broken = Bytes;
    for (int I = 0; I < 4; ++I)
      Broken[24 + Random() % (Broken.size() - 24)] =
          static_cast<char>(Random() % 4 == 0 ? 0xff : Random());
    FrameReader Reader;
    const absl::Status Result = Reader.feed(Broken, Now, [](PeerFrame &&) {});
    Refused += Result.ok() ? 0 : 1;
    CHECK((Result.ok() || !Result.message().empty()));
  }
  CHECK(Refused > 0);
}

TEST_CASE("A report of changed counts, merged with the known ones, is complete",
          "[agent]") {
  // Guards against unchanged counts that get lost at the receiver because only
  // changed ones are sent.
  StatusFrame Before;
  Before.CustomerCounts = {{"parish-7", 5, 6}, {"parish-8", 1, 1}};
  StatusFrame Latest = Before;
  Latest.CustomerCounts[0] = {"parish-7", 8, 9};
  StatusFrame Changes = changesSince(Latest, Before);
  REQUIRE(Changes.CustomerCounts.size() == 1);
  mergeStatus(Changes, Before);
  REQUIRE(Changes.CustomerCounts.size() == 2);
  CHECK(Changes.CustomerCounts[0].A == 8);
  CHECK(Changes.CustomerCounts[1].A == 1);
}
