#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

#include "core/calls/RunningCalls.h"
#include "core/once/Ticket.h"

using namespace pollenwick;

TEST_CASE("Ticket and call handle texts from callers are parsed safely",
          "[once][fuzz]") {
  // Guards against header values that crash a node, and against an altered
  // ticket that still passes the MAC check.
  Ticket Sample;
  Sample.Issuer = {HostId("catalogo-1"), StartId(7)};
  Sample.Sequence = 3;
  Sample.Customer = CustomerId("casa-azul");
  Sample.Route = RouteId("cobros/deposit");
  Sample.Expiry = Instant(std::chrono::seconds(60));
  const MacKey Key{1, 2, 3};
  Sample.AuthTag = computeTicketMac(Key, Sample);
  const std::string Text = encodeTicket(Sample);
  REQUIRE(parseTicket(Text));
  REQUIRE(verifyTicketMac(Key, *parseTicket(Text)));

  rc::prop("parsing any bytes does not crash", [](const std::string &Bytes) {
    parseTicket(Bytes);
    parseCallHandle(Bytes);
  });
  SECTION(
      "no text with one changed byte passes the MAC check as another ticket") {
    constexpr int Bytes = 256;
    // Base64 ignores some bits of the last character, so three other texts
    // decode to the same ticket. They are harmless, because the sequence of a
    // ticket, not its text, decides whether it was used.
    int Passed = 0;
    for (std::size_t At = 0; At < Text.size(); ++At)
      for (int Byte = 0; Byte < Bytes; ++Byte) {
        std::string Changed = Text;
        Changed[At] = static_cast<char>(Byte);
        const auto Read = parseTicket(Changed);
        if (Read && verifyTicketMac(Key, *Read) && encodeTicket(*Read) != Text)
          ++Passed;
      }
    CHECK(Passed == 0);
  }
  SECTION("a text above the maximum size is refused") {
    CHECK_FALSE(parseTicket(std::string(MaxTicketTextBytes + 1, 'a')));
  }
}
