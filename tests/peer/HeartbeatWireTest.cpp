#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

#include "peer/HeartbeatWire.h"

using namespace pollenwick;

namespace {

MembershipDatagram sampleDatagram() {
  MembershipDatagram Out;
  Out.Beat.Sender = {HostId("cobros-1"), StartId(7), 42, Liveness::Alive, true};
  Out.Beat.RevisionNumber = Revision(9);
  Out.Beat.RevisionRoot[3] = 5;
  Out.Beat.Updates.push_back(
      {HostId("galeria-2"), StartId(8), 43, Liveness::Dead, false});
  Suspicion Entry;
  Entry.Subject.Bytes[0] = 1;
  Entry.Crash = {HostId("cobros-1"), StartId(7), 2};
  Entry.Age = std::chrono::seconds(3);
  Out.Suspicions.push_back(Entry);
  return Out;
}

} // namespace

TEST_CASE("Encoding and decoding a membership datagram preserves it",
          "[peer]") {
  // Guards against a field that is encoded but not decoded.
  const MembershipDatagram Sent = sampleDatagram();
  const auto Got = decodeDatagram(encodeDatagram(Sent));
  REQUIRE(Got);
  CHECK(Got->Beat.Sender == Sent.Beat.Sender);
  CHECK(Got->Beat.RevisionNumber == Sent.Beat.RevisionNumber);
  CHECK(Got->Beat.RevisionRoot == Sent.Beat.RevisionRoot);
  CHECK(Got->Beat.Updates == Sent.Beat.Updates);
  REQUIRE(Got->Suspicions.size() == 1);
  CHECK(Got->Suspicions[0].Subject == Sent.Suspicions[0].Subject);
  CHECK(Got->Suspicions[0].Crash == Sent.Suspicions[0].Crash);
  CHECK(Got->Suspicions[0].Age == Sent.Suspicions[0].Age);
}

TEST_CASE("Bytes that are not a membership datagram are rejected",
          "[peer][fuzz]") {
  // Guards against invalid data on the membership port that crashes the
  // process.
  rc::prop("random bytes",
           [](const std::string &Bytes) { decodeDatagram(Bytes); });
  rc::prop("a damaged datagram", [] {
    std::string Bytes = encodeDatagram(sampleDatagram());
    const auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    Bytes[At] = *rc::gen::arbitrary<char>();
    Bytes.resize(*rc::gen::inRange<std::size_t>(0, Bytes.size() + 1));
    decodeDatagram(Bytes);
  });
  CHECK_FALSE(decodeDatagram(std::string()));
  CHECK_FALSE(decodeDatagram(std::string(MaxDatagramBytes, '\xff')));
}
