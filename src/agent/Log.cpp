#include "agent/Log.h"
#include "agent/StringUtil.h"

#include <unistd.h>

namespace pollenwick::agent {
namespace {

constexpr std::uint32_t RequestLinesPerSecond = 40;
constexpr std::size_t RingLines = 2000;

void appendEscaped(std::string &Out, std::string_view Text) {
  for (const char C : Text) {
    if (C == '"' || C == '\\')
      Out.append(1, '\\').append(1, C);
    else if (static_cast<unsigned char>(C) < 0x20)
      Out.append(1, ' ');
    else
      Out.append(1, C);
  }
}

} // namespace

LogLine::LogLine(std::string_view Event, Instant Now) {
  Text = concat("{\"at_us\":", Now.time_since_epoch().count(), ",\"event\":\"",
                Event, "\"");
}

LogLine &LogLine::field(std::string_view Name, std::string_view Value) {
  appendAll(Text, ",\"", Name, "\":\"");
  appendEscaped(Text, Value);
  Text.append(1, '"');
  return *this;
}

LogLine &LogLine::field(std::string_view Name, std::int64_t Value) {
  appendAll(Text, ",\"", Name, "\":", Value);
  return *this;
}

std::string LogLine::finish() && {
  Text.append("}\n");
  return std::move(Text);
}

LogWriter::LogWriter(std::string TheNode)
    : Node(std::move(TheNode)), Writer([this] { writeLoop(); }) {}

LogWriter::~LogWriter() {
  {
    const std::scoped_lock Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_one();
  Writer.join();
}

void LogWriter::finish(Instant Now, std::chrono::milliseconds Limit) {
  tick(Now);
  std::unique_lock Lock(Mutex);
  Stopping = true;
  Wake.notify_one();
  Written.wait_for(Lock, Limit, [this] { return Ended; });
}

void LogWriter::push(std::string &&Line) {
  const std::scoped_lock Lock(Mutex);
  if (Ring.size() >= RingLines) {
    ++Dropped;
    return;
  }
  Ring.push_back(std::move(Line));
}

void LogWriter::request(std::string_view Reason, LogLine &&Line, Instant Now) {
  if (Now - SecondBegan >= std::chrono::seconds(1)) {
    SecondBegan = Now;
    LinesThisSecond = 0;
  }
  if (++LinesThisSecond > RequestLinesPerSecond) {
    const auto Found = Summed.find(Reason);
    if (Found == Summed.end())
      Summed.emplace(Reason, 1);
    else
      ++Found->second;
    return;
  }
  push(std::move(Line.field("node", Node)).finish());
}

void LogWriter::state(LogLine &&Line) {
  push(std::move(Line.field("node", Node)).finish());
}

void LogWriter::tick(Instant Now) {
  for (const auto &[Reason, Count] : Summed)
    push(std::move(LogLine("requests-summed", Now)
                       .field("reason", Reason)
                       .field("count", static_cast<std::int64_t>(Count)))
             .finish());
  Summed.clear();
  std::uint64_t Lost = 0;
  bool Pending = false;
  {
    const std::scoped_lock Lock(Mutex);
    std::swap(Lost, Dropped);
    Pending = !Ring.empty();
  }
  if (Lost > 0)
    push(std::move(LogLine("log-lines-dropped", Now)
                       .field("count", static_cast<std::int64_t>(Lost)))
             .finish());
  if (Pending || Lost > 0)
    Wake.notify_one();
}

void LogWriter::writeLoop() {
  std::unique_lock Lock(Mutex);
  while (true) {
    Wake.wait(Lock, [this] { return Stopping || !Ring.empty(); });
    std::deque<std::string> Lines;
    Lines.swap(Ring);
    const bool Last = Stopping;
    Lock.unlock();
    std::string Batch;
    for (const std::string &Line : Lines)
      Batch.append(Line);
    for (std::size_t At = 0; At < Batch.size();) {
      const ssize_t Put =
          ::write(STDOUT_FILENO, Batch.data() + At, Batch.size() - At);
      // A closed standard output ends logging, not the agent.
      if (Put <= 0)
        break;
      At += static_cast<std::size_t>(Put);
    }
    Lock.lock();
    if (!Last)
      continue;
    Ended = true;
    Written.notify_one();
    return;
  }
}

} // namespace pollenwick::agent
