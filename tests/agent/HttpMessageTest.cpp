#include <catch2/catch.hpp>

#include <string>
#include <string_view>
#include <vector>

#include <rapidcheck.h>

#include "agent/HttpMessage.h"

using namespace pollenwick::agent;

namespace {

enum class ParseOutcome { Incomplete, Done, Malformed };

struct ParseResult {
  ParseOutcome Outcome = ParseOutcome::Incomplete;
  std::size_t ParsedBytes = 0;
  std::string Body;

  bool operator==(const ParseResult &) const = default;
};

std::ostream &operator<<(std::ostream &Out, const ParseResult &Result) {
  return Out << "outcome " << static_cast<int>(Result.Outcome) << ", "
             << Result.ParsedBytes << " bytes, body '" << Result.Body << "'";
}

/// Presents the pieces as a connection does: unparsed bytes are kept and
/// presented again together with the next piece.
template <typename MessageParser>
ParseResult parsePieces(const std::vector<std::string> &Pieces) {
  IncrementalParser<MessageParser> Parser;
  Parser.header_limit(1024);
  Parser.body_limit(1024);
  ParseResult Result;
  std::string Unparsed;
  for (const std::string &Piece : Pieces) {
    Unparsed += Piece;
    boost::system::error_code Error;
    const std::size_t Parsed = Parser.parse(Unparsed, Error);
    Unparsed.erase(0, Parsed);
    Result.ParsedBytes += Parsed;
    if (Error) {
      Result = {ParseOutcome::Malformed, 0, ""};
      return Result;
    }
    if (Parser.is_done()) {
      Result.Outcome = ParseOutcome::Done;
      break;
    }
    // Presenting the same bytes again must change nothing.
    RC_ASSERT(Parser.parse(Unparsed, Error) == 0U);
    RC_ASSERT(!Error);
  }
  Result.Body = Parser.get().body();
  return Result;
}

std::vector<std::string> splitRandomly(const std::string &Text) {
  std::vector<std::string> Pieces;
  for (std::size_t Begin = 0; Begin < Text.size();) {
    const auto Size = *rc::gen::weightedOneOf<std::size_t>(
        {{4, rc::gen::inRange<std::size_t>(1, 4)},
         {1, rc::gen::inRange<std::size_t>(1, 64)}});
    Pieces.push_back(Text.substr(Begin, Size));
    Begin += Size;
  }
  return Pieces;
}

/// Returns a message of which most are well formed up to the body, followed by
/// parts of chunked bodies and other bytes in any order.
std::string randomMessage(const std::string &FirstLine) {
  const auto Head = *rc::gen::element<std::string>(
      FirstLine + "\r\nTransfer-Encoding: chunked\r\n\r\n",
      FirstLine + "\r\nContent-Length: 5\r\n\r\n", FirstLine + "\r\n\r\n",
      FirstLine + "\r\n", "");
  const auto Parts = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>(
          "0\r\n", "\r\n", "0;a=b\r\n", "5\r\nhello\r\n", "1\r\nx\r\n",
          "000\r\n", "0\r\n\r\n", "X-More: 1\r\n", " folded\r\n", "\r", "\n",
          "a", ";", "ffffffffffffffff\r\n", "GET / HTTP/1.1\r\n",
          std::string(1, '\0'), std::string(300, 'a')));
  std::string Message = Head;
  for (const std::string &Part : Parts)
    Message += Part;
  return Message;
}

template <typename MessageParser>
void checkSplitsAreEquivalent(const std::string &FirstLine) {
  const std::string Message = randomMessage(FirstLine);
  RC_PRE(!Message.empty());
  const std::vector<std::string> Pieces = splitRandomly(Message);
  const ParseResult Split = parsePieces<MessageParser>(Pieces);
  // The first error may be found before or after later bytes arrive, so only
  // results without an error have to agree.
  const ParseResult Whole = parsePieces<MessageParser>({Message});
  if (Whole.Outcome == ParseOutcome::Done ||
      Split.Outcome == ParseOutcome::Done)
    RC_ASSERT(Split == Whole);
}

} // namespace

TEST_CASE("The timeout of a Keep-Alive header is bounded", "[agent]") {
  // Guards against a signed overflow when it is added to a time.
  const auto TimeoutOf = [](const std::string &Value) {
    HeaderFields Headers;
    Headers.set("Keep-Alive", Value);
    return keepAliveTimeoutSeconds(Headers);
  };
  CHECK(TimeoutOf("timeout=5, max=100") == 5);
  CHECK(TimeoutOf("timeout=0") == 0);
  CHECK(TimeoutOf("timeout=99999999999999") == 24 * 60 * 60);
  CHECK_FALSE(TimeoutOf("timeout=99999999999999999999").has_value());
  CHECK_FALSE(TimeoutOf("timeout=-5").has_value());
  CHECK_FALSE(TimeoutOf("timeout=").has_value());
}

TEST_CASE("A message means the same however it is split", "[agent]") {
  // Guards against an assertion of the parser that ends the process when the
  // last chunk's "0\r\n" arrives alone, or with fewer than two more bytes.
  SECTION("a response without a body, in chunks, byte by byte") {
    const std::string Message =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    std::vector<std::string> Pieces;
    for (const char Byte : Message)
      Pieces.emplace_back(1, Byte);
    const ParseResult Result = parsePieces<ResponseParser>(Pieces);
    CHECK(Result == ParseResult{ParseOutcome::Done, Message.size(), ""});
  }
  SECTION("a request without headers, byte by byte") {
    const std::string Message = "GET / HTTP/1.1\r\n\r\n";
    std::vector<std::string> Pieces;
    for (const char Byte : Message)
      Pieces.emplace_back(1, Byte);
    const ParseResult Result = parsePieces<RequestParser>(Pieces);
    CHECK(Result == ParseResult{ParseOutcome::Done, Message.size(), ""});
  }
  SECTION("any response") {
    CHECK(rc::check(
        [] { checkSplitsAreEquivalent<ResponseParser>("HTTP/1.1 200 OK"); }));
  }
  SECTION("any request") {
    CHECK(rc::check(
        [] { checkSplitsAreEquivalent<RequestParser>("POST / HTTP/1.1"); }));
  }
}
