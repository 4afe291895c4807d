#ifndef POLLENWICK_AGENT_LOG_H
#define POLLENWICK_AGENT_LOG_H

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "pollenwick/Time.h"

namespace pollenwick::agent {

/// Builds one log line, a JSON object, field by field.
class LogLine {
public:
  LogLine(std::string_view Event, Instant Now);
  LogLine &field(std::string_view Name, std::string_view Value);
  LogLine &field(std::string_view Name, std::int64_t Value);
  /// Returns the complete line with its line break.
  std::string finish() &&;

private:
  std::string Text;
};

/// Writes lines to standard output on its own thread, so that a caller never
/// blocks. Request lines above the limit per second are counted by reason and
/// lines that do not fit into the queue are counted; `tick` reports both.
class LogWriter {
public:
  explicit LogWriter(std::string NodeName);
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  /// Logs a line about one request. Above the limit per second, lines are only
  /// counted under `Reason`.
  void logRequest(std::string_view Reason, LogLine &&Line, Instant Now);
  /// Logs a line about a change of state; not limited per second.
  void logStateChange(LogLine &&Line);
  /// Logs the counts of suppressed and dropped lines and wakes the writer.
  void tick(Instant Now);
  /// Waits until all lines are written and the writer has ended, but at most
  /// `Timeout`, because standard output may be blocked.
  void finish(Instant Now, std::chrono::milliseconds Timeout);

private:
  void enqueue(std::string &&Line);
  void writeLoop();

  std::string NodeName;
  Instant CurrentSecondStart;
  std::uint32_t LinesThisSecond = 0;
  std::map<std::string, std::uint64_t, std::less<>> SuppressedByReason;
  std::mutex Mutex;
  std::condition_variable WakeWriter;
  std::condition_variable WriterFinished;
  std::deque<std::string> Queue;
  std::uint64_t DroppedLines = 0;
  bool Stopping = false;
  bool WriterEnded = false; ///< The writer has written its last line.
  std::thread Writer;
};

} // namespace pollenwick::agent

#endif
