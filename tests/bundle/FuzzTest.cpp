#include <catch2/catch.hpp>

#include <random>

#include "SampleBundle.h"
#include "bundle/Check.h"
#include "bundle/Published.h"
#include "bundle/Source.h"

using namespace pollenwick;

namespace {

constexpr std::uint32_t Seed = 20261204;

// Passes the text to all parsers. They may accept or reject it, but must not
// throw, and each error must have a message.
void exerciseParsers(const std::string &Text) {
  const absl::StatusOr<Bundle> Source = parseBundle(Text);
  if (Source.ok())
    checkBundle(*Source);
  else if (Source.status().message().size() < 10)
    FAIL("error without a clear message");
  if (const auto Head = parsePointer(Text);
      !Head.ok() && Head.status().message().size() < 10)
    FAIL("error without a clear message");
  RevisionPointer Head;
  const Digest Sum = sha256(Text);
  Head.Chunks = {{"any", Sum, static_cast<std::uint32_t>(Text.size())}};
  (void)assembleBundle(Head, {{Sum, Text}});
}

std::string messageOf(const std::string &Text) {
  return std::string(parseBundle(Text).status().message());
}

} // namespace

TEST_CASE("No input makes the parsers throw, hang or exhaust memory",
          "[fuzz]") {
  std::mt19937 Random(Seed);
  const std::string Source = formatBundle(sampleBundle());
  const std::string Head = encodePointer(encodeBundle(sampleBundle())->Head);

  SECTION("truncated documents are handled") {
    for (std::size_t Size = 0; Size < Source.size(); Size += 7)
      exerciseParsers(Source.substr(0, Size));
    for (std::size_t Size = 0; Size < Head.size(); ++Size)
      exerciseParsers(Head.substr(0, Size));
    CHECK(messageOf(Source.substr(0, Source.size() / 2)).find("cut short") !=
          std::string::npos);
  }

  SECTION("random bytes are handled, alone and inside a document") {
    for (int Round = 0; Round < 500; ++Round) {
      std::string Noise(Random() % 200, '\0');
      for (char &C : Noise)
        C = static_cast<char>(Random());
      exerciseParsers(Noise);
      std::string Mixed = Round % 2 == 0 ? Source : Head;
      for (int Count = 0; Count < 3; ++Count)
        Mixed[Random() % Mixed.size()] = static_cast<char>(Random());
      exerciseParsers(Mixed);
    }
  }

  SECTION("JSON tokens in random order are handled") {
    const std::vector<std::string> Tokens{
        "{",    "}",       "[",   "]",     ",",          ":",
        "null", "true",    "-1",  "1e999", "\"id\"",     "\"hosts\"",
        "\"",   "\\u0000", "0.5", "\"a\"", "\"routes\"", "\"calls\"",
        "\xff", "1",       "\n"};
    for (int Round = 0; Round < 1000; ++Round) {
      std::string Text = "{\"revision\":1,";
      for (int Count = 0; Count < 20; ++Count)
        Text += Tokens[Random() % Tokens.size()];
      exerciseParsers(Text);
    }
  }

  SECTION("deep nesting is rejected before parsing") {
    // Guards against a stack overflow in the recursive parser.
    for (const std::size_t Depth : {9U, 100U, 1'000'000U}) {
      const std::string Open(Depth, '[');
      exerciseParsers("{\"hosts\":" + Open);
      exerciseParsers("{\"hosts\":" + Open + std::string(Depth, ']') + "}");
      CHECK(messageOf("{\"hosts\":" + Open).find("nesting") !=
            std::string::npos);
    }
  }

  SECTION("errors for invalid numbers and types name the path of the field") {
    for (const std::string Value :
         {"99999999999999999999999999", "-1", "1e999", "1.5", "\"7\"", "null",
          "true", "[]", "{}", "18446744073709551615", "1e308"}) {
      exerciseParsers("{\"revision\":" + Value + "}");
      CHECK_FALSE(parseBundle("{\"revision\":" + Value + "}").ok());
      const std::string Customer =
          R"({"revision":1,"tenants":[{"id":"a","burst":1,"rate":)" + Value +
          "}]}";
      exerciseParsers(Customer);
      if (Value != "1.5")
        CHECK(parseBundle(Customer).status().ok() == false);
    }
    CHECK(messageOf("{\"revision\":0}").find("revision is 0") !=
          std::string::npos);
    CHECK(messageOf(R"({"revision":1,"hosts":[7]})").find("hosts[0] is 7") !=
          std::string::npos);
  }

  SECTION("a document with too many values is rejected before parsing") {
    // Guards against a small document whose parsed form takes much memory.
    std::string Text = "{\"hosts\":[";
    for (int I = 0; I < 500'000; ++I)
      Text += "1,";
    CHECK(messageOf(Text).find("more than") != std::string::npos);
    exerciseParsers(Text);
    exerciseParsers(std::string(MaxSourceBytes + 1, ' '));
  }

  SECTION("unknown and repeated fields are rejected") {
    // Guards against a misspelled field whose value silently stays at the
    // default.
    CHECK(messageOf(R"({"revision":1,"host":[]})").find("host is no known") !=
          std::string::npos);
    CHECK(messageOf(R"({"revision":1,"revision":2})").find("twice") !=
          std::string::npos);
  }
}
