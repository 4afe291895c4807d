#include "agent/Log.h"
#include "agent/StringUtil.h"

#include <unistd.h>

namespace pollenwick::agent {
namespace {

constexpr std::uint32_t MaxRequestLinesPerSecond = 40;
constexpr std::size_t MaxQueuedLines = 2000;

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

LogWriter::LogWriter(std::string TheNodeName)
    : NodeName(std::move(TheNodeName)), Writer([this] { writeLoop(); }) {}

LogWriter::~LogWriter() {
  {
    const std::scoped_lock Lock(Mutex);
    Stopping = true;
  }
  WakeWriter.notify_one();
  Writer.join();
}

void LogWriter::finish(Instant Now, std::chrono::milliseconds Timeout) {
  tick(Now);
  std::unique_lock Lock(Mutex);
  Stopping = true;
  WakeWriter.notify_one();
  WriterFinished.wait_for(Lock, Timeout, [this] { return WriterEnded; });
}

void LogWriter::enqueue(std::string &&Line) {
  const std::scoped_lock Lock(Mutex);
  if (Queue.size() >= MaxQueuedLines) {
    ++DroppedLines;
    return;
  }
  Queue.push_back(std::move(Line));
}

void LogWriter::logRequest(std::string_view Reason, LogLine &&Line,
                           Instant Now) {
  if (Now - CurrentSecondStart >= std::chrono::seconds(1)) {
    CurrentSecondStart = Now;
    LinesThisSecond = 0;
  }
  if (++LinesThisSecond > MaxRequestLinesPerSecond) {
    const auto Found = SuppressedByReason.find(Reason);
    if (Found == SuppressedByReason.end())
      SuppressedByReason.emplace(Reason, 1);
    else
      ++Found->second;
    return;
  }
  enqueue(std::move(Line.field("node", NodeName)).finish());
}

void LogWriter::logStateChange(LogLine &&Line) {
  enqueue(std::move(Line.field("node", NodeName)).finish());
}

void LogWriter::tick(Instant Now) {
  for (const auto &[Reason, Count] : SuppressedByReason)
    enqueue(std::move(LogLine("requests-summed", Now)
                          .field("reason", Reason)
                          .field("count", static_cast<std::int64_t>(Count)))
                .finish());
  SuppressedByReason.clear();
  std::uint64_t Lost = 0;
  bool Pending = false;
  {
    const std::scoped_lock Lock(Mutex);
    std::swap(Lost, DroppedLines);
    Pending = !Queue.empty();
  }
  if (Lost > 0)
    enqueue(std::move(LogLine("log-lines-dropped", Now)
                          .field("count", static_cast<std::int64_t>(Lost)))
                .finish());
  if (Pending || Lost > 0)
    WakeWriter.notify_one();
}

void LogWriter::writeLoop() {
  std::unique_lock Lock(Mutex);
  while (true) {
    WakeWriter.wait(Lock, [this] { return Stopping || !Queue.empty(); });
    std::deque<std::string> Lines;
    Lines.swap(Queue);
    const bool IsLastBatch = Stopping;
    Lock.unlock();
    std::string Batch;
    for (const std::string &Line : Lines)
      Batch.append(Line);
    for (std::size_t Offset = 0; Offset < Batch.size();) {
      const ssize_t WrittenBytes =
          ::write(STDOUT_FILENO, Batch.data() + Offset, Batch.size() - Offset);
      // If standard output is closed, drop the lines and keep the agent
      // running.
      if (WrittenBytes <= 0)
        break;
      Offset += static_cast<std::size_t>(WrittenBytes);
    }
    Lock.lock();
    if (!IsLastBatch)
      continue;
    WriterEnded = true;
    WriterFinished.notify_one();
    return;
  }
}

} // namespace pollenwick::agent
