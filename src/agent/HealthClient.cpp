#include "agent/HealthClient.h"

#include <utility>

#include "agent/StringUtil.h"
#include "core/coldstart/ColdReport.h"

namespace pollenwick::agent {
namespace {

constexpr Duration RequestInterval = std::chrono::seconds(1);
/// A request waits for a slot of the server, so an answer that takes longer
/// comes from a server that is full.
constexpr Duration AnswerTimeout = std::chrono::seconds(2);
constexpr int TcpUserTimeoutMs = 2000;
constexpr std::uint32_t MaxHeaderBytes = 16 * 1024;
constexpr std::size_t MaxBodyBytes = std::size_t{64} * 1024;
constexpr int MaxInterimAnswers = 8;

} // namespace

HealthClient::HealthClient(EventLoop &TheLoop,
                           const PlatformAdapter &TheProtocol,
                           LogWriter &TheLog, Metrics &TheCounters,
                           std::string TheAddress,
                           std::function<void(Duration)> ReportHandler)
    : Loop(TheLoop), Protocol(TheProtocol), Log(TheLog), Counters(TheCounters),
      Address(std::move(TheAddress)), OnReport(std::move(ReportHandler)) {}

void HealthClient::setTarget(const HealthTarget &New) {
  if (New == Target)
    return;
  Target = New;
  abandon();
  if (NextRequest != 0)
    Loop.cancelTimer(std::exchange(NextRequest, 0));
  if (!Target.Path.empty())
    sendRequest();
}

void HealthClient::sendRequest() {
  NextRequest =
      Loop.callAt(Loop.now() + RequestInterval, [this] { sendRequest(); });
  if (Transport)
    return;
  Transport = connectStream(Loop, Address, *this, TcpUserTimeoutMs);
  if (!Transport) {
    finish("unreachable");
    return;
  }
  InterimAnswers = 0;
  Timeout = Loop.callAt(Loop.now() + AnswerTimeout, [this] {
    Timeout = 0;
    finish("timeout");
  });
  Transport->send(concat("GET ", Target.Path, " HTTP/1.1\r\nHost: ", Address,
                         "\r\nConnection: close\r\n\r\n"));
}

void HealthClient::abandon() {
  if (Timeout != 0)
    Loop.cancelTimer(std::exchange(Timeout, 0));
  if (Transport) {
    Transport->close();
    Loop.deferRelease(std::move(Transport));
    Transport.reset();
  }
  Parser.reset();
  UnparsedBytes.clear();
}

void HealthClient::finish(std::string_view Outcome) {
  abandon();
  Counters.incrementCounter("health_answers_total", Outcome);
  if (LoggedOutcome == Outcome)
    return;
  LoggedOutcome = Outcome;
  Log.logStateChange(std::move(LogLine("health-check", Loop.now())
                                   .field("server", Target.ServerId)
                                   .field("outcome", Outcome)));
}

std::string_view HealthClient::evaluate(const ResponseMessage &Answer) {
  const std::string_view Id = headerValue(Answer, Protocol.ServerIdHeader);
  if (Id != Target.ServerId)
    return Id.empty() ? "no-id" : "other-id";
  const std::string_view Text =
      headerValue(Answer, Protocol.ColdRemainingHeader);
  const auto Remaining = coldRemaining(parseInteger(Text));
  if (Remaining)
    OnReport(*Remaining);
  else if (!Text.empty())
    return "bad-cold-time";
  return Answer.result_int() == 200 ? "healthy" : "unhealthy";
}

void HealthClient::onData(std::string_view Bytes) {
  UnparsedBytes.append(Bytes);
  std::string_view Rest = UnparsedBytes;
  while (Transport && !Rest.empty()) {
    if (!Parser) {
      Parser.emplace();
      Parser->header_limit(MaxHeaderBytes);
      Parser->body_limit(MaxBodyBytes);
    }
    boost::system::error_code Error;
    const std::size_t Parsed = Parser->parse(Rest, Error);
    Rest.remove_prefix(Parsed);
    if (Error) {
      finish("unreadable");
      return;
    }
    if (!Parser->is_done()) {
      if (Parsed == 0)
        break;
      continue;
    }
    const ResponseMessage Answer = Parser->release();
    Parser.reset();
    if (isFinalStatus(Answer.result_int())) {
      finish(evaluate(Answer));
      return;
    }
    if (!isInterimStatus(Answer.result_int()) ||
        ++InterimAnswers > MaxInterimAnswers) {
      finish("unreadable");
      return;
    }
  }
  UnparsedBytes.erase(0, UnparsedBytes.size() - Rest.size());
  if (UnparsedBytes.size() > MaxHeaderBytes)
    finish("unreadable");
}

void HealthClient::onClosed(const StreamEnd &End) {
  if (Parser && End.Reason == StreamCloseReason::Closed) {
    // The end of the connection marks the end of an answer without a length.
    boost::system::error_code Error;
    Parser->put_eof(Error);
    if (!Error && Parser->is_done()) {
      const ResponseMessage Answer = Parser->release();
      finish(evaluate(Answer));
      return;
    }
  }
  finish(Parser ? "unreadable" : "unreachable");
}

} // namespace pollenwick::agent
