#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

#include "core/calls/RunningCalls.h"
#include "core/once/Ticket.h"

using namespace pollenwick;

TEST_CASE("Ticket and handle texts of callers are read safely",
          "[once][fuzz]") {
  // Guards against header values that end a node, or that pass the MAC after
  // a change.
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

  rc::prop("any bytes", [](const std::string &Bytes) {
    parseTicket(Bytes);
    parseHandle(Bytes);
  });
  SECTION("no text with one changed byte passes the MAC as another ticket") {
    constexpr int Bytes = 256;
    // The last character has bits that Base64 ignores, so that three further
    // texts decode to the same ticket; its sequence decides, not its text.
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
  SECTION("an overlong text is refused") {
    CHECK_FALSE(parseTicket(std::string(MaxTicketTextBytes + 1, 'a')));
  }
}
